package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestDrainingOrRemovedEndpointGetsNoCalls(t *testing.T) {
	s := basicSettings()
	s.Slots = 8
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b"})
	d.Handle(0, []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "a", Draining: true}}}})
	expect(t, "draining", d.Handle(1, []Event{arrive("m", 0), arrive("n", 0)}), "m>b n>b")
	d.Handle(2, []Event{EndpointsUpdated{Complete: true, Endpoints: []Endpoint{{ID: "c"}}}})
	expect(t, "removed from the list", d.Handle(3, []Event{arrive("o", 0)}), "o>c")
}

func TestSubscribeAgainAfterWatchFailed(t *testing.T) {
	s := basicSettings()
	s.Subscribe = true
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	expect(t, "at the start", d.Handle(0, nil), "subscribe")
	expect(t, "watch failed", d.Handle(moment(ms), []Event{WatchFailed{}}), "")
	expect(t, "after the delay", d.Handle(moment(ms+resubscribeDelay), []Event{TimerFired{}}), "subscribe")
}

// Endpoints and routes that are replaced again and again must be removed from the state; otherwise it grows
// without bound, and each batch iterates over all of it.
func TestReplacedEndpointsAreRemoved(t *testing.T) {
	for kind := range 3 {
		d := start(t, basicSettings())
		for i := range 200 {
			now := time.Duration(i) * time.Second
			d.Handle(moment(now),
				[]Event{EndpointsUpdated{Complete: true,
					Endpoints: []Endpoint{{ID: fmt.Sprint("a", i), Kind: kind},
						{ID: fmt.Sprint("b", i), Kind: kind}}}, arrive(fmt.Sprint("m", i), 0)})
			for id, m := range d.messages.byID {
				d.Handle(moment(now+100*ms),
					[]Event{AttemptEnded{ID: id, Endpoint: m.attempts[0].call.endpoint.ID, Outcome: OK,
						Completed: true}})
			}
		}
		if len(d.endpoints) != 2 || len(d.queues) > 3 || len(d.destinations) != 1 ||
			len(d.active)+len(d.messages.byID)+len(d.messages.unfinished) != 0 {
			t.Errorf(
				"kind %d: %d endpoints, %d queues, %d active queues, %d messages; want 2, at most 3, 0 and "+
					"0, with one destination and no unfinished message",
				kind, len(d.endpoints), len(d.queues),
				len(d.active), len(d.messages.byID))
		}
	}
}

// The state must stay usable when the list becomes empty while calls are in flight, an endpoint comes back
// with another weight and zone, and the clock jumps back or far ahead.
func TestEndpointListEmptyAndFilledAgain(t *testing.T) {
	for kind := range 3 {
		s := basicSettings()
		s.Weights = WeightsNominal
		d := start(t, s, Endpoint{ID: "a", Kind: kind, Weight: 5})
		expect(t, "sent", d.Handle(moment(time.Second), []Event{arrive("m", 0)}), "m>a")
		expect(t, "no endpoint listed", d.Handle(moment(2*time.Second),
			[]Event{EndpointsUpdated{Complete: true}, arrive("n", 0)}), "")
		expect(t, "outcome of the call in flight",
			d.Handle(0, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Completed: true}}), "")
		expect(t, "relisted", d.Handle(moment(3*time.Second), []Event{EndpointsUpdated{Endpoints: []Endpoint{
			{ID: "a", Kind: kind, Weight: 7, Zone: 1}}}}), "n>a")
		expect(t, "clock far ahead",
			d.Handle(moment(1000*time.Hour),
				[]Event{AttemptEnded{ID: "n", Endpoint: "a", Outcome: OK, Completed: true},
					arrive("o", 0)}), "o>a")
		if d.slots.inUse != 1 || len(d.messages.byID) != 1 {
			t.Errorf("kind %d: %d calls in flight and %d messages, want 1 of each", kind, d.slots.inUse,
				len(d.messages.byID))
		}
	}
}
