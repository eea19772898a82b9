package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// plain are settings with one safe class, and room for everything.
func plain() Settings {
	return Settings{FleetSize: 1, Slots: 4, QueueCapacity: 100, MaxAttempts: 8, CanCancel: true,
		BatchInterval: 5 * ms, SlowStartInitialShare: 0.2, SlowStartWindow: 10 * time.Second, OverloadFactor: 2, OverloadWindow: 2 * time.Second,
		MaxRetryAfter: 3 * time.Second, Kinds: []Kind{{MaxBatch: 1}, {MaxBatch: 5}, {MaxBatch: 1, SeparateRoutes: true}},
		Classes: []Class{{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1, Effect: Idempotent},
			{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1, Effect: IdempotentWithKey, IdempotencyWindow: 4 * time.Second},
			{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1, Effect: NotIdempotent, Ordered: true}}}
}

func start(t *testing.T, s Settings, eps ...Endpoint) *Dispatcher {
	t.Helper()
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	d.Handle(0, []Event{EndpointsUpdated{Complete: true, Endpoints: eps}})
	return d
}

func arrive(id string, class int) Event {
	return Arrived{ID: id, Class: class, TimeLeft: 10 * time.Second, Key: "k"}
}

// summary lists actions in short, without timers and time-outs.
func summary(actions []Action) string {
	var out []string
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			out = append(out, a.ID+">"+a.Endpoint)
		case Reject:
			out = append(out, "refuse "+a.ID)
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

func expect(t *testing.T, what string, actions []Action, want string) {
	t.Helper()
	if got := summary(actions); got != want {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}
