package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestEffects(t *testing.T) {
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
		d := start(t, plain(), Endpoint{ID: "a"})
		expect(t, "arrival", d.Handle(0, []Event{arrive("m", tt.class)}), "m>a")
		got := d.Handle(moment(time.Second),
			[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: tt.outcome, Completed: tt.outcome == OK}})
		expect(t, fmt.Sprintf("class %d, outcome %d", tt.class, tt.outcome), got, tt.want)
	}
}

func TestIdempotencyWindowEndsRetries(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	d.Handle(0, []Event{arrive("m", 1)})
	got := d.Handle(moment(3995*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: TimedOut}})
	expect(t, "memory gone", got, "reject m")
}

// A call that brings a message again has to be written while the receiver knows it: its connection may take
// long.
func TestWrittenWithinIdempotencyWindow(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	within := func(actions []Action) time.Duration { return actionAs[Send](t, actions[0]).WriteTimeout }
	if got := within(d.Handle(0, []Event{arrive("m", 1)})); got != 0 {
		t.Errorf("first attempt: within %v", got)
	}
	if got := within(d.Handle(moment(time.Second),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: ConnectError}})); got != 0 {
		t.Errorf("after one that never ran: within %v", got)
	}
	again := d.Handle(moment(3*time.Second),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Attempt: 1, Outcome: Reset}})
	if got := within(again); got != 2*time.Second-10*ms {
		t.Errorf("after one that may have run: within %v", got)
	}
	safe := start(t, plain(), Endpoint{ID: "a"})
	safe.Handle(0, []Event{arrive("m", 0)})
	if got := within(safe.Handle(moment(time.Second),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Reset}})); got != 0 {
		t.Errorf("a safe class: within %v", got)
	}
}

func TestNotIdempotentHasNoTimeout(t *testing.T) {
	for i, want := range []bool{true, true, false} {
		d := start(t, plain(), Endpoint{ID: "a"})
		got := d.Handle(0, []Event{Arrived{ID: fmt.Sprint("m", i), Class: i, TimeLeft: 10 * time.Second}})
		if send := actionAs[Send](t, got[0]); (send.Timeout > 0) != want {
			t.Errorf("class %d: time-out %v", i, send.Timeout)
		}
	}
}

// TestNoAttemptWithoutTime guards against attempts that take a slot and cannot end in time.
func TestNoAttemptWithoutTime(t *testing.T) {
	d := start(t, plain())
	d.Handle(0, []Event{arrive("m", 0)})
	d.queues[0].latency.record(0, 0.5)
	expect(t, "0.6 s left, 0.5 s needed", d.Handle(moment(9400*ms), []Event{TimerFired{}}), "")
	expect(t, "0.4 s left, 0.5 s needed", d.Handle(moment(9600*ms), []Event{TimerFired{}}), "reject m")
}
