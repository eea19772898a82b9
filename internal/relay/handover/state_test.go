package handover

import (
	"errors"
	"testing"
)

// A process that accepted a step out of order could take over a state directory that was not released. Each state has to allow
// only the step to the next state, and StateTransferred none.
func TestStateAllowsOnlyNextStep(t *testing.T) {
	messages := map[State]Message{StateRequested: {Step: stepRequest}, StateOffered: {Offer: &Offer{}},
		StateReady:       {Step: stepReady},
		StateTransferred: {Step: stepTransfer}}
	for from := StateConnected; from <= StateTransferred; from++ {
		for to, m := range messages {
			next, err := from.next(m)
			if allowed := to == from+1; allowed != (err == nil) || allowed && next != to {
				t.Errorf("step to %v in state %v: got state %v, error %v; only the step to the next state is allowed",
					to, from, next, err)
			}
			if refused := new(TransitionError); err != nil && (!errors.As(err, &refused) || refused.From != from || next != from) {
				t.Errorf("rejected step to %v in state %v: got state %v, error %v; want the state unchanged and a TransitionError",
					to, from, next, err)
			}
		}
		if _, err := from.next(Message{Answered: 1}); err == nil {
			t.Errorf("state %v allows a message that is not a step of the protocol", from)
		}
	}
}

// The test guards the names of states in logs, and that a number without a state does not index past the names.
func TestStateNames(t *testing.T) {
	for state, want := range map[State]string{StateConnected: "connected", StateTransferred: "transferred", -1: "State(-1)",
		9: "State(9)"} {
		if got := state.String(); got != want {
			t.Errorf("state %d has the name %s, want %s", state, got, want)
		}
	}
}
