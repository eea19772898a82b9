package policy

import (
	"math"
	"testing"
	"time"
)

// TestLostCallIsRetried guards against single lost calls: one that a later call has overtaken is
// called off; one that nothing has overtaken stays while slots are free.
func TestLostCallIsRetried(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.latency.record(0, 0.1)
	d.Handle(0, []Event{arrive("lost", 0)})
	d.Handle(moment(50*ms), []Event{arrive("m", 0)})
	expect(t, "nothing overtook it", d.Handle(moment(140*ms), []Event{TimerFired{}}), "")
	d.Handle(moment(150*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Completed: true}})
	expect(t, "overtaken and late", d.Handle(moment(700*ms), []Event{TimerFired{}}), "cancel lost/0")
	expect(t, "sent again",
		d.Handle(moment(705*ms), []Event{AttemptEnded{ID: "lost", Endpoint: "a", Outcome: Canceled}}),
		"lost>a")
}

// TestSlotOfAStalledCallIsFreed guards against hangs that fill the slots.
func TestSlotOfAStalledCallIsFreed(t *testing.T) {
	s := plain()
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
	expect(t, "one is wanted", d.Handle(moment(1000*ms), []Event{at("o", 2)}), "cancel m/0")
}

// TestStalledCallFactor guards against slots lost to calls that will never be answered.
func TestStalledCallFactor(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	if got := d.slots.stalledCallFactor(); got != unresponsiveFactor {
		t.Errorf("at the start: %v", got)
	}
	d.slots.lateFailureShare = 0.9
	if got := d.slots.stalledCallFactor(); got != stalledFactor {
		t.Errorf("with late calls unanswered: %v", got)
	}
}

// TestLostAnswerOfNotIdempotentFreesItsSlot guards against answers lost at unsafe calls, which filled all
// slots.
func TestLostAnswerOfNotIdempotentFreesItsSlot(t *testing.T) {
	s := plain()
	s.Slots = 1
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	d.queues[0].latency.record(2, 0.1)
	d.slots.lateFailureShare = 0.9
	d.Handle(0, []Event{Arrived{ID: "m", Class: 2, TimeLeft: 20 * time.Second}})
	expect(t, "no slot is wanted", d.Handle(moment(3*time.Second), []Event{TimerFired{}}), "")
	expect(t, "one is wanted",
		d.Handle(moment(3100*ms), []Event{Arrived{ID: "n", Destination: 1, TimeLeft: 9 * time.Second}}),
		"cancel m/0")
	expect(t, "never twice",
		d.Handle(moment(3105*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Canceled}}),
		"fail m n>b")
}

// TestOwnStall guards against holding a relay's own pause against its destinations.
func TestOwnStall(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.latency.record(0, 0.1)
	d.Handle(0, []Event{arrive("m", 0)})
	d.Handle(moment(2*time.Second),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Latency: 100 * ms, Completed: true}})
	if math.Abs(q.latency.mean-0.1) > 1e-9 || d.slots.lateFailureShare != 0 {
		t.Errorf("mean %v, unanswered %v after a pause of our own", q.latency.mean, d.slots.lateFailureShare)
	}
}
