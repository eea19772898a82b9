package policy

import (
	"testing"
	"time"
)

// What the process before has out holds slots here too, and its end counts as that of an own call: one that
// failed is sent again, one whose message is over only gives its slot back.
func TestCallsInFlightAtAHandover(t *testing.T) {
	s := plain()
	s.Slots = 2
	d := start(t, s, Endpoint{ID: "a", Destination: 0}, Endpoint{ID: "b", Destination: 1},
		Endpoint{ID: "c", Destination: 2})
	out := func(id string, dest int, ep string, call int, completed bool) Event {
		return Arrived{ID: id, Destination: dest, TimeLeft: 9 * time.Second, Resumed: true,
			Completed:     completed,
			PriorAttempts: []PriorAttempt{{Endpoint: ep, SentAt: moment(-ms), InFlight: true, Call: call}}}
	}
	expect(t, "both slots are taken",
		d.Handle(0, []Event{out("m1", 0, "a", 7, false), out("m2", 1, "b", 8, true),
			Arrived{ID: "held", Destination: 2, TimeLeft: 9 * time.Second, Resumed: true}}), "")
	expect(t, "the message that is over gives its slot back",
		d.Handle(moment(10*ms),
			[]Event{AttemptEnded{ID: "m2", Endpoint: "b", Outcome: OK, Latency: 11 * ms}}), "held>c")
	if d.messages.byID["m2"] != nil {
		t.Error("the message that is over is still held")
	}
	expect(t, "a call that broke is made again",
		d.Handle(moment(20*ms),
			[]Event{AttemptEnded{ID: "m1", Endpoint: "a", Outcome: Reset, Latency: 21 * ms}}), "m1>a")
	for _, c := range d.endpoints["a"].calls {
		if c.number == 7 {
			t.Error("the call of the process before is still out")
		}
	}
}

// What a dispatcher has learned is the next one's from the start, but for endpoints that are no longer
// listed.
func TestExportState(t *testing.T) {
	s := plain()
	s.Weights = WeightsNominal
	list := []Endpoint{{ID: "a", Destination: 0, Weight: 10}, {ID: "b", Destination: 1, Weight: 10},
		{ID: "c", Destination: 2, Weight: 10}}
	old := start(t, s, list...)
	old.Handle(0, []Event{Arrived{ID: "m", TimeLeft: 9 * time.Second}})
	old.Handle(moment(100*ms),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected, RetryAfter: 2 * time.Second,
			Latency: 100 * ms}})
	old.eject(old.endpoints["b"])
	old.endpoints["b"].queue.latency.record(0, 0.7)
	d := start(t, s, list[:2]...)
	events := []Event{Arrived{ID: "m", TimeLeft: 9 * time.Second, Resumed: true}}
	for _, l := range old.ExportState() {
		events = append([]Event{l}, events...)
	}
	expect(t, "in the told wait", d.Handle(moment(200*ms), events), "")
	expect(t, "and still", d.Handle(moment(2*time.Second), nil), "")
	expect(t, "after it", d.Handle(moment(2200*ms), nil), "m>a")
	if !d.endpoints["b"].outlier.ejected || d.endpoints["b"].queue.latency.mean != 0.7 {
		t.Errorf("b: ejected %v, mean %v", d.endpoints["b"].outlier.ejected,
			d.endpoints["b"].queue.latency.mean)
	}
	if got, want := d.endpoints["a"].queue.limiter.rate, old.endpoints["a"].queue.limiter.rate; got != want {
		t.Errorf("send rate %v, want %v", got, want)
	}
}
