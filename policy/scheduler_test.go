package policy

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// Messages that are sent in one call must have the same call number, and a call must not exceed the limits on
// the number and the total size of its messages.
func TestBatchLimits(t *testing.T) {
	s := basicSettings()
	s.MaxBatchBytes = 100
	d := start(t, s, Endpoint{ID: "a", Kind: 1})
	var events []Event
	for i, size := range []int{30, 30, 30, 30, 90} {
		events = append(events, Arrived{ID: fmt.Sprint(i), TimeLeft: 10 * time.Second, Size: size})
	}
	calls := map[int]string{}
	for _, a := range d.Handle(moment(ms), events) {
		if a, ok := a.(Send); ok {
			calls[a.Call] += a.ID
		}
	}
	got := slices.Sorted(maps.Values(calls))
	if want := []string{"012", "3"}; !slices.Equal(got, want) {
		t.Errorf("messages by call: %q, want %q", got, want)
	}
}

// A call ends for all its messages when one of them expires. Messages that may expire before a usual call
// ends must therefore not be batched with others.
func TestBatchSeparatesMessagesNearDeadline(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a", Kind: 1})
	d.Handle(moment(ms), []Event{arrive("first", 0)})
	d.Handle(moment(time.Second),
		[]Event{AttemptEnded{ID: "first", Endpoint: "a", Outcome: OK, Latency: time.Second, Completed: true}})
	var events []Event
	for _, m := range []struct {
		id   string
		left time.Duration
	}{{"s1", 2 * time.Second}, {"l1", 9 * time.Second}, {"s2", 2500 * ms}, {"l2", 8 * time.Second}} {
		events = append(events, Arrived{ID: m.id, TimeLeft: m.left})
	}
	calls := map[int]string{}
	for _, a := range d.Handle(moment(1100*ms), events) {
		if a, ok := a.(Send); ok {
			calls[a.Call] += a.ID
		}
	}
	if got, want := slices.Sorted(maps.Values(calls)), []string{"l1l2", "s1s2"}; !slices.Equal(got, want) {
		t.Errorf("messages by call: %q, want %q", got, want)
	}
}

func TestDispatchPrefersQueueWithFewestCalls(t *testing.T) {
	s := basicSettings()
	s.Slots = 3
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	other := Arrived{ID: "n", Destination: 1, TimeLeft: time.Second}
	expect(t, "three slots, two destinations",
		d.Handle(0, []Event{arrive("m1", 0), arrive("m2", 0), arrive("m3", 0), other}),
		"m1>a n>b m2>a")
}

func TestRouteChoiceByZoneCostAndLatency(t *testing.T) {
	s := basicSettings()
	s.ZoneCost = []float64{0.06, 0}
	d := start(t, s, Endpoint{ID: "a", Kind: 2}, Endpoint{ID: "b", Kind: 2, Zone: 1})
	expect(t, "two idle routes, b in the cheaper zone", d.Handle(0, []Event{arrive("m", 0)}), "m>b")
	d.queues[1].latency.mean, d.queues[1].latency.byClass[0] = 5, 5
	expect(t, "route b slow", d.Handle(0, []Event{arrive("n", 0)}), "n>a")
}

// With few slots, all queues have equally few calls in flight; the slot must then go to the message that
// loses its value first.
func TestDispatchPrefersEarliestValueDeadline(t *testing.T) {
	s := basicSettings()
	s.Slots = 1
	s.Classes[1].LatencyObjective = 8 * time.Second
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	expect(t, "one slot", d.Handle(0, []Event{Arrived{ID: "patient", Class: 1, TimeLeft: 10 * time.Second},
		Arrived{ID: "urgent", Destination: 1, TimeLeft: 10 * time.Second}}), "urgent>b")
}
