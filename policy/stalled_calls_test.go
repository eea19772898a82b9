package policy

import (
	"math"
	"testing"
	"time"
)

// The message of a lost call must be retried without waiting for its deadline: the call is canceled once a
// later call to the endpoint has succeeded and it has taken unresponsiveFactor times the usual latency.
func TestLostCallIsRetried(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.latency.record(0, 0.1)
	d.Handle(0, []Event{arrive("lost", 0)})
	d.Handle(moment(50*ms), []Event{arrive("m", 0)})
	expect(t, "not overtaken", d.Handle(moment(140*ms), []Event{TimerFired{}}), "")
	d.Handle(moment(150*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Completed: true}})
	expect(t, "overtaken and late", d.Handle(moment(700*ms), []Event{TimerFired{}}), "cancel lost/0")
	expect(t, "canceled and retried",
		d.Handle(moment(705*ms), []Event{AttemptEnded{ID: "lost", Endpoint: "a", Outcome: Canceled}}),
		"lost>a")
}

// Calls that hang must not occupy all slots while other messages wait.
func TestSlotOfAStalledCallIsFreed(t *testing.T) {
	s := basicSettings()
	s.Slots = 2
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1}, Endpoint{ID: "c", Destination: 2})
	d.queues[0].latency.record(0, 0.1)
	d.queues[1].latency.record(0, 0.1)
	at := func(id string,
		dest int) Event {
		return Arrived{ID: id, Destination: dest, TimeLeft: 10 * time.Second}
	}
	d.Handle(0, []Event{at("m", 0)})
	d.Handle(moment(100*ms), []Event{at("n", 1)})
	expect(t, "no slot is wanted", d.Handle(moment(900*ms), []Event{TimerFired{}}), "")
	expect(t, "a slot is wanted", d.Handle(moment(1000*ms), []Event{at("o", 2)}), "cancel m/0")
}

// Where late calls mostly fail, slots must be freed earlier than where they mostly succeed.
func TestStalledCallFactor(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	if got := d.slots.stalledCallFactor(); got != unresponsiveFactor {
		t.Errorf("initial factor %v, want unresponsiveFactor", got)
	}
	d.slots.lateFailureShare = 0.9
	if got := d.slots.stalledCallFactor(); got != stalledFactor {
		t.Errorf("with a late failure share of 0.9: factor %v, want stalledFactor", got)
	}
}

// Calls that may not be retried would keep their slots until the deadline when their answers are lost, and
// in the end occupy all slots.
func TestSlotOfNotIdempotentCallIsFreed(t *testing.T) {
	s := basicSettings()
	s.Slots = 1
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	d.queues[0].latency.record(2, 0.1)
	d.slots.lateFailureShare = 0.9
	d.Handle(0, []Event{Arrived{ID: "m", Class: 2, TimeLeft: 20 * time.Second}})
	expect(t, "no slot is wanted", d.Handle(moment(3*time.Second), []Event{TimerFired{}}), "")
	expect(t, "a slot is wanted",
		d.Handle(moment(3100*ms), []Event{Arrived{ID: "n", Destination: 1, TimeLeft: 9 * time.Second}}),
		"cancel m/0")
	expect(t, "not sent twice",
		d.Handle(moment(3105*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Canceled}}),
		"fail m n>b")
}

// A pause of the relay's own process must not count as latency of the destination.
func TestRelayPauseIsNotLatency(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.latency.record(0, 0.1)
	d.Handle(0, []Event{arrive("m", 0)})
	d.Handle(moment(2*time.Second),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Latency: 100 * ms, Completed: true}})
	if math.Abs(q.latency.mean-0.1) > 1e-9 || d.slots.lateFailureShare != 0 {
		t.Errorf("after a pause of the relay: mean latency %v, want 0.1; late failure share %v, want 0",
			q.latency.mean, d.slots.lateFailureShare)
	}
}
