package handover

import (
	"fmt"
	"slices"
)

// State is how far a handover has come. Both processes go through the same states, each when it sends or receives the message
// that leads to the next one.
type State int

const (
	// StateConnected is that of a new link.
	StateConnected State = iota
	// StateRequested follows the successor's request for the state directory.
	StateRequested
	// StateOffered follows the predecessor's offer. Nothing may change in the predecessor until the transfer.
	StateOffered
	// StateReady follows the successor's message that it can take over what was offered.
	StateReady
	// StateTransferred follows the predecessor's release of the state directory. The successor decides from now on, and both
	// exchange what concerns the predecessor's connections and calls.
	StateTransferred
)

// stateNames are for logs and errors.
var stateNames = [...]string{"connected", "requested", "offered", "ready", "transferred"}

// String returns the state's name.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("State(%d)", int(s))
	}
	return stateNames[s]
}

// transitions are all that are allowed. A link may also be closed in any state: before the transfer that leaves the predecessor
// the owner.
var transitions = map[State][]State{
	StateConnected:   {StateRequested},
	StateRequested:   {StateOffered},
	StateOffered:     {StateReady},
	StateReady:       {StateTransferred},
	StateTransferred: {},
}

// The protocol's steps, as Message.Step has them.
const (
	stepRequest  = "ask"
	stepReady    = "ready"
	stepTransfer = "yours"
)

// stateAfter returns the state that a message of the protocol leads to; ok is false for any other message.
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

// TransitionError says that a message came, or was to be sent, that the state of a link does not allow.
type TransitionError struct {
	// From is the state of the link.
	From State
	// Step is that of the message, if it has one.
	Step string
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("step %q in state %v of a handover", e.Step, e.From)
}

// next returns the state after a message, or a TransitionError.
func (s State) next(m Message) (State, error) {
	state, ok := stateAfter(m)
	if !ok || !slices.Contains(transitions[s], state) {
		return s, &TransitionError{From: s, Step: m.Step}
	}
	return state, nil
}
