package handover

import (
	"errors"
	"testing"
)

// The steps are allowed in their order alone, and nothing but the end follows the transfer.
func TestSteps(t *testing.T) {
	messages := map[State]Message{StateRequested: {Step: stepRequest}, StateOffered: {Offer: &Offer{}},
		StateReady:       {Step: stepReady},
		StateTransferred: {Step: stepTransfer}}
	for from := StateConnected; from <= StateTransferred; from++ {
		for to, m := range messages {
			next, err := from.next(m)
			if allowed := to == from+1; allowed != (err == nil) || allowed && next != to {
				t.Errorf("%v in state %v: %v, %v", to, from, next, err)
			}
			if refused := new(TransitionError); err != nil && (!errors.As(err, &refused) || refused.From != from || next != from) {
				t.Errorf("%v in state %v: %v, %v", to, from, next, err)
			}
		}
		if _, err := from.next(Message{Answered: 1}); err == nil {
			t.Errorf("a message that is no step is one in state %v", from)
		}
	}
}

// The names of states are those in logs.
func TestStateNames(t *testing.T) {
	for state, want := range map[State]string{StateConnected: "connected", StateTransferred: "transferred", -1: "State(-1)",
		9: "State(9)"} {
		if got := state.String(); got != want {
			t.Errorf("%d: %s, want %s", state, got, want)
		}
	}
}
