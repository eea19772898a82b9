package policy

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// Messages of one call are marked as such, and a call holds no more than its number and its size allow.
func TestBatch(t *testing.T) {
	s := plain()
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
		t.Errorf("calls %q, want %q", got, want)
	}
}

// The end of one message's time ends the call for all: those that may run out of time before a usual call
// ends travel with their like, and the others are not given up with them.
func TestNearDeadlineInABatch(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a", Kind: 1})
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
		t.Errorf("calls %q, want %q", got, want)
	}
}

func TestTurns(t *testing.T) {
	s := plain()
	s.Slots = 3
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	other := Arrived{ID: "n", Destination: 1, TimeLeft: time.Second}
	expect(t, "fewest calls out first",
		d.Handle(0, []Event{arrive("m1", 0), arrive("m2", 0), arrive("m3", 0), other}),
		"m1>a n>b m2>a")
}

func TestRoutes(t *testing.T) {
	s := plain()
	s.ZoneCost = []float64{0.06, 0}
	d := start(t, s, Endpoint{ID: "a", Kind: 2}, Endpoint{ID: "b", Kind: 2, Zone: 1})
	expect(t, "the cheaper of two idle routes", d.Handle(0, []Event{arrive("m", 0)}), "m>b")
	d.queues[1].latency.mean, d.queues[1].latency.byClass[0] = 5, 5
	expect(t, "the faster at a fee", d.Handle(0, []Event{arrive("n", 0)}), "n>a")
}

// TestUrgentFirst guards against slots given to what can wait, where few slots make every turn a tie.
func TestUrgentFirst(t *testing.T) {
	s := plain()
	s.Slots = 1
	s.Classes[1].LatencyObjective = 8 * time.Second
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	expect(t, "one slot", d.Handle(0, []Event{Arrived{ID: "patient", Class: 1, TimeLeft: 10 * time.Second},
		Arrived{ID: "urgent", Destination: 1, TimeLeft: 10 * time.Second}}), "urgent>b")
}
