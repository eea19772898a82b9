package handover

import (
	"fmt"
	"slices"
)

// State is the progress of a handover. Both processes pass through the same states: one enters a state when it sends the message
// that leads there, the other one when it receives that message.
type State int

const (
	// StateConnected is the state of a new link.
	StateConnected State = iota
	// StateRequested is entered with the successor's request for the state directory.
	StateRequested
	// StateOffered is entered with the predecessor's offer. From then until the transfer the predecessor changes none of its
	// state, because the offer would become stale.
	StateOffered
	// StateReady is entered with the successor's confirmation that it accepts the offer.
	StateReady
	// StateTransferred is entered after the predecessor has released the state directory. From then on the successor decides
	// about all messages, and the two processes exchange messages about the predecessor's client connections and calls.
	StateTransferred
)

// stateNames are the names of the states in logs and errors.
var stateNames = [...]string{"connected", "requested", "offered", "ready", "transferred"}

// String returns the state's name.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("State(%d)", int(s))
	}
	return stateNames[s]
}

// transitions lists the allowed next states of each state. A link may also be closed in any state; if that happens before the
// transfer, the predecessor remains the owner of the state directory.
var transitions = map[State][]State{
	StateConnected:   {StateRequested},
	StateRequested:   {StateOffered},
	StateOffered:     {StateReady},
	StateReady:       {StateTransferred},
	StateTransferred: {},
}

// Values of Message.Step. The offer is also a step, but is sent in Message.Offer.
const (
	stepRequest  = "ask"
	stepReady    = "ready"
	stepTransfer = "yours"
)

// stateAfter returns the state that a step of the protocol leads to; ok is false for a message that is not a step.
func stateAfter(m Message) (state State, ok bool) {
	switch {
	case m.Step == stepRequest:
		return StateRequested, true
	case m.Offer != nil:
		return StateOffered, true
	case m.Step == stepReady:
		return StateReady, true
	case m.Step == stepTransfer:
		return StateTransferred, true
	}
	return 0, false
}

// TransitionError reports a message, received or about to be sent, that the state of the link does not allow.
type TransitionError struct {
	// From is the state that the link was in.
	From State
	// Step is the message's step; empty for an offer and for a message that is not a step.
	Step string
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("handover: message with step %q not allowed in state %v", e.Step, e.From)
}

// next returns the state that a message leads to from s, or a TransitionError if s does not allow the message.
func (s State) next(m Message) (State, error) {
	state, ok := stateAfter(m)
	if !ok || !slices.Contains(transitions[s], state) {
		return s, &TransitionError{From: s, Step: m.Step}
	}
	return state, nil
}
