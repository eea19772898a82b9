package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// basicSettings returns valid settings with one class for each Effect, the NotIdempotent one ordered, and
// three kinds of destinations: without batches, with batches of 5, and with separate routes.
func basicSettings() Settings {
	idempotent := Class{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1}
	withKey, notIdempotent := idempotent, idempotent
	withKey.Effect, withKey.IdempotencyWindow = IdempotentWithKey, 4*time.Second
	notIdempotent.Effect, notIdempotent.Ordered = NotIdempotent, true
	return Settings{
		FleetSize:             1,
		Slots:                 4,
		QueueCapacity:         100,
		MaxAttempts:           8,
		CanCancel:             true,
		BatchInterval:         5 * ms,
		SlowStartInitialShare: 0.2,
		SlowStartWindow:       10 * time.Second,
		OverloadFactor:        2,
		OverloadWindow:        2 * time.Second,
		MaxRetryAfter:         3 * time.Second,
		Kinds:                 []Kind{{MaxBatch: 1}, {MaxBatch: 5}, {MaxBatch: 1, SeparateRoutes: true}},
		Classes:               []Class{idempotent, withKey, notIdempotent},
	}
}

// start returns a dispatcher that got the complete list of the given endpoints at time 0.
func start(t *testing.T, s Settings, eps ...Endpoint) *Dispatcher {
	t.Helper()
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	d.Handle(0, []Event{EndpointsUpdated{Complete: true, Endpoints: eps}})
	return d
}

// arrive returns the arrival of a message for destination 0, with key "k" and 10 s until it expires.
func arrive(id string, class int) Event {
	return Arrived{ID: id, Class: class, TimeLeft: 10 * time.Second, Key: "k"}
}

// summary renders the actions on messages, and Subscribe, in short form, separated by spaces. It leaves out
// timeouts, reasons and all other actions.
func summary(actions []Action) string {
	var out []string
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			out = append(out, a.ID+">"+a.Endpoint)
		case Reject:
			out = append(out, "reject "+a.ID)
		case Fail:
			out = append(out, "fail "+a.ID)
		case Cancel:
			out = append(out, fmt.Sprintf("cancel %s/%d", a.ID, a.Attempt))
		case Subscribe:
			out = append(out, "subscribe")
		}
	}
	return strings.Join(out, " ")
}

// actionAs returns an action as type A, and ends the test if it has another type.
func actionAs[A Action](t *testing.T, action Action) A {
	t.Helper()
	as, ok := action.(A)
	if !ok {
		t.Fatalf("got action %T %+v, want a %T", action, action, as)
	}
	return as
}

// expect checks that actions have the wanted summary; what describes the situation in the failure message.
func expect(t *testing.T, what string, actions []Action, want string) {
	t.Helper()
	if got := summary(actions); got != want {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}
