package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestRetryDependsOnEffectAndOutcome(t *testing.T) {
	tests := []struct {
		class   int
		outcome Outcome
		want    string
	}{
		{0, OK, ""}, {0, Failed, "m>a"}, {0, TimedOut, "m>a"}, {0, Reset, "m>a"}, {0, Canceled, "m>a"},
		{0, ConnectError, "m>a"}, {0, NotSent, "m>a"}, {0, Rejected, ""},
		{1, OK, ""}, {1, Failed, "m>a"}, {1, TimedOut, "m>a"}, {1, ConnectError, "m>a"},
		{2, OK, ""}, {2, Failed, "fail m"}, {2, TimedOut, "fail m"}, {2, Reset, "fail m"},
		{2, Canceled, "fail m"},
		{2, ConnectError, "m>a"}, {2, NotSent, "m>a"},
	}
	for _, tt := range tests {
		d := start(t, basicSettings(), Endpoint{ID: "a"})
		expect(t, "arrival", d.Handle(0, []Event{arrive("m", tt.class)}), "m>a")
		got := d.Handle(moment(time.Second),
			[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: tt.outcome, Completed: tt.outcome == OK}})
		expect(t, fmt.Sprintf("class %d, outcome %d", tt.class, tt.outcome), got, tt.want)
	}
}

func TestIdempotencyWindowEndsRetries(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	d.Handle(0, []Event{arrive("m", 1)})
	got := d.Handle(moment(3995*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: TimedOut}})
	expect(t, "5 ms before the end of the idempotency window", got, "reject m")
}

// A retry must be written while the destination still remembers the idempotency key. Connecting can take
// longer than that, and the message would be executed twice.
func TestRetryIsWrittenWithinIdempotencyWindow(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	writeTimeout := func(actions []Action) time.Duration { return actionAs[Send](t, actions[0]).WriteTimeout }
	if got := writeTimeout(d.Handle(0, []Event{arrive("m", 1)})); got != 0 {
		t.Errorf("first attempt: write timeout %v, want none", got)
	}
	if got := writeTimeout(d.Handle(moment(time.Second),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: ConnectError}})); got != 0 {
		t.Errorf("after an attempt that was not executed: write timeout %v, want none", got)
	}
	again := d.Handle(moment(3*time.Second),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Attempt: 1, Outcome: Reset}})
	if got := writeTimeout(again); got != 2*time.Second-10*ms {
		t.Errorf("after an attempt that may have been executed: write timeout %v, want 1.99s", got)
	}
	idempotent := start(t, basicSettings(), Endpoint{ID: "a"})
	idempotent.Handle(0, []Event{arrive("m", 0)})
	if got := writeTimeout(idempotent.Handle(moment(time.Second),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Reset}})); got != 0 {
		t.Errorf("idempotent class: write timeout %v, want none", got)
	}
}

func TestNotIdempotentHasNoTimeout(t *testing.T) {
	for i, want := range []bool{true, true, false} {
		d := start(t, basicSettings(), Endpoint{ID: "a"})
		got := d.Handle(0, []Event{Arrived{ID: fmt.Sprint("m", i), Class: i, TimeLeft: 10 * time.Second}})
		if send := actionAs[Send](t, got[0]); (send.Timeout > 0) != want {
			t.Errorf("class %d: response timeout %v, want one only if retryable", i, send.Timeout)
		}
	}
}

// An attempt that cannot end before the deadline would only take a slot from other messages.
func TestNoAttemptWithoutTimeLeft(t *testing.T) {
	d := start(t, basicSettings())
	d.Handle(0, []Event{arrive("m", 0)})
	d.queues[0].latency.record(0, 0.5)
	expect(t, "0.6 s left, 0.5 s needed", d.Handle(moment(9400*ms), []Event{TimerFired{}}), "")
	expect(t, "0.4 s left, 0.5 s needed", d.Handle(moment(9600*ms), []Event{TimerFired{}}), "reject m")
}
