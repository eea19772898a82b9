package policy

import (
	"testing"
	"time"
)

// Guards against a successor that ignores the calls in flight of its predecessor: they occupy slots, a failed
// one is retried, and one whose message is already complete only frees its slot.
func TestCallsInFlightAtHandover(t *testing.T) {
	s := basicSettings()
	s.Slots = 2
	d := start(t, s, Endpoint{ID: "a", Destination: 0}, Endpoint{ID: "b", Destination: 1},
		Endpoint{ID: "c", Destination: 2})
	inherited := func(id string, dest int, ep string, call int, completed bool) Event {
		return Arrived{ID: id, Destination: dest, TimeLeft: 9 * time.Second, Resumed: true,
			Completed:     completed,
			PriorAttempts: []PriorAttempt{{Endpoint: ep, SentAt: moment(-ms), InFlight: true, Call: call}}}
	}
	expect(t, "both slots are in use by inherited calls",
		d.Handle(0, []Event{inherited("m1", 0, "a", 7, false), inherited("m2", 1, "b", 8, true),
			Arrived{ID: "held", Destination: 2, TimeLeft: 9 * time.Second, Resumed: true}}), "")
	expect(t, "the end of a completed message's call frees its slot",
		d.Handle(moment(10*ms),
			[]Event{AttemptEnded{ID: "m2", Endpoint: "b", Outcome: OK, Latency: 11 * ms}}), "held>c")
	if d.messages.byID["m2"] != nil {
		t.Error("message m2 is still held after its last attempt ended")
	}
	expect(t, "a failed inherited call is retried",
		d.Handle(moment(20*ms),
			[]Event{AttemptEnded{ID: "m1", Endpoint: "a", Outcome: Reset, Latency: 21 * ms}}), "m1>a")
	for _, c := range d.endpoints["a"].calls {
		if c.number == 7 {
			t.Error("call 7 of the predecessor still counts as in flight after it ended")
		}
	}
}

// Guards against a successor that starts without the Retry-After, ejections, latencies and send rates that
// its predecessor learned. State of endpoints that are no longer listed is skipped.
func TestExportState(t *testing.T) {
	s := basicSettings()
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
	expect(t, "during the inherited Retry-After", d.Handle(moment(200*ms), events), "")
	expect(t, "shortly before the end of the inherited Retry-After", d.Handle(moment(2*time.Second), nil), "")
	expect(t, "after the inherited Retry-After", d.Handle(moment(2200*ms), nil), "m>a")
	if !d.endpoints["b"].outlier.ejected || d.endpoints["b"].queue.latency.mean != 0.7 {
		t.Errorf("endpoint b: ejected %v, mean latency %v; want true and 0.7",
			d.endpoints["b"].outlier.ejected,
			d.endpoints["b"].queue.latency.mean)
	}
	if got, want := d.endpoints["a"].queue.limiter.rate, old.endpoints["a"].queue.limiter.rate; got != want {
		t.Errorf("inherited send rate %v, want %v", got, want)
	}
}
