package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// Messages for destinations whose endpoints are all ejected must not use up the whole queue capacity, which
// messages for other destinations need.
func TestEjectedDestinationsLeaveQueueCapacity(t *testing.T) {
	s := basicSettings()
	s.QueueCapacity = 8
	d := start(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1}, Endpoint{ID: "c", Destination: 2})
	for _, id := range []string{"a", "b", "c"} {
		d.eject(d.endpoints[id])
		d.endpoints[id].slowStart.bucket.tokens = -100 // prevents probes
	}
	d.Handle(0, []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "d", Destination: 3}}}})
	var all []Action
	for i := range 9 {
		all = append(all, d.Handle(moment(ms),
			[]Event{Arrived{ID: fmt.Sprint(i), Destination: i % 3, TimeLeft: time.Hour}})...)
	}
	all = append(all, d.Handle(moment(ms),
		[]Event{Arrived{ID: "other", Destination: 3, TimeLeft: time.Hour}})...)
	expect(t, "last quarter of the capacity", all, "reject 6 reject 7 reject 8 other>d")
}

func TestDelayBound(t *testing.T) {
	tests := []struct {
		name          string
		u, x, τ, net  float64
		waiting, want bool
	}{
		{"u exactly τ", 2, 0.1, 2, 0, true, false},
		{"u above τ", 2.01, 0.1, 2, 0, false, true},
		{"nothing waiting", 0, 5, 3, 1, false, false},
		{"bound met exactly: 2(1.5+1-2) = 1", 1.5, 1, 2, 2, true, true},
		{"bound missed: 2(1.4+1-2) = 0.8", 1.4, 1, 2, 2, true, false},
		{"λ = r: no bound", 1.9, 5, 2, 0, true, false},
		{"λ below r: no bound", 1.9, 5, 2, -1, true, false},
		{"x = τ + 1/(λ-r): the bound is met whatever u > 0 is", 0.001, 2.5, 2, 2, true, true},
		{"no time left and idle", 0, 0.1, -0.1, 1, false, true},
		{"others waiting, but u is 0", 0, 9, 2, 2, true, false},
	}
	for _, tt := range tests {
		if got := exceedsDelayBound(tt.u, tt.x, tt.τ, tt.net, tt.waiting); got != tt.want {
			t.Errorf("%s: exceedsDelayBound returned %v, want the opposite", tt.name, got)
		}
	}
}

func TestArrivalRateAndVirtualQueue(t *testing.T) {
	var a decayingCounter
	if a.rate(0) != 0 {
		t.Error("the rate of a counter without any counts is not 0")
	}
	for i := range 400 {
		a.add(moment(time.Duration(i)*100*ms), 1)
	}
	if got := a.rate(moment(40 * time.Second)); math.Abs(got-10) > 0.3 {
		t.Errorf("10 arrivals a second: rate %v, want 10 within 0.3", got)
	}
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.latency.mean = 2
	for i, want := range []float64{0, 0, 1, 1} { // backlog 0, 2 and 4 s against τ = 3 s; a miss adds nothing
		q.admission.recordVirtualArrival(d.now, 3, q.sendInterval(d.now))
		if q.admission.misses.value != want {
			t.Errorf("arrival %d: %v misses of the virtual queue, want %v", i, q.admission.misses.value, want)
		}
		if i == 2 {
			d.now = moment(2 * time.Second) // by then the virtual backlog has fallen to 2 s
		}
	}
}

func TestNewDispatcherAdmitsByBasicRuleAlone(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	expect(t, "first message", d.Handle(0, []Event{arrive("m", 0)}), "m>a")
	if λ, r := d.queues[0].admission.arrivals.rate(0), d.queues[0].admission.misses.rate(0); λ <= 0 ||
		r != 0 {
		t.Errorf("after one admitted message: λ = %v, want above 0; r = %v, want 0", λ, r)
	}
}

// Without an age limit, an overloaded queue would deliver every message late, and messages of little value
// that can wait longer would fill it before urgent messages of more value.
func TestOverloadAgeLimit(t *testing.T) {
	s := basicSettings()
	s.Classes = []Class{
		// 80% of the value is left at 1.8 s.
		{LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 2},
		// 80% of the value is left at 8.8 s.
		{LatencyObjective: 4 * time.Second, Deadline: 16 * time.Second, PriorityWeight: 1,
			LateValueShare: 0.5},
		{LatencyObjective: 4 * time.Second, Deadline: 16 * time.Second, PriorityWeight: 4,
			LateValueShare: 0.5},
	}
	tests := []struct {
		class    int
		overload bool
		waiting  int // messages in the queue, which take 0.5 s each
		rejected bool
	}{
		{0, false, 8, false}, {0, true, 3, false}, {0, true, 5, true},
		{1, false, 20, false}, {1, true, 3, false}, {1, true, 5, true}, // limited by class 0
		{2, true, 17, false}, {2, true, 19, true},
	}
	for _, tt := range tests {
		d := start(t, s, Endpoint{ID: "a"})
		q := d.queues[0]
		q.latency.mean = 0.5
		for range tt.waiting {
			q.waiting = append(q.waiting,
				&message{class: &s.Classes[1], expiresAt: moment(time.Hour), queue: q})
		}
		if tt.overload {
			q.admission.arrivals.add(0, 100)
		}
		m := &message{Arrived: Arrived{ID: "m", Class: tt.class}, class: &d.settings.Classes[tt.class],
			expiresAt: moment(d.settings.Classes[tt.class].Deadline)}
		d.messages.unfinished = append(d.messages.unfinished, m)
		q.admission.misses.add(0, 1000) // λ−r < 0 turns the value-function bound off
		d.admit(m)
		if m.done != tt.rejected {
			t.Errorf("class %d, overload %v, %d waiting: rejected %v, want the opposite",
				tt.class, tt.overload, tt.waiting, m.done)
		}
	}
}

// One queue without endpoints must not fill the queue capacity that other destinations need.
func TestOneQueueDoesNotFillCapacity(t *testing.T) {
	s := basicSettings()
	s.QueueCapacity = 20
	d := start(t, s, Endpoint{ID: "b", Destination: 1}) // destination 0 has no endpoint
	rejected := 0
	for i := range 20 {
		got := d.Handle(0, []Event{Arrived{ID: fmt.Sprint("m", i), TimeLeft: 10 * time.Second}})
		if strings.HasPrefix(summary(got), "reject") {
			rejected++
		}
	}
	if rejected != 5 {
		t.Errorf("%d of 20 messages rejected, want the 5 above three quarters of the capacity", rejected)
	}
	expect(t, "message for another destination",
		d.Handle(0, []Event{Arrived{ID: "n", Destination: 1, TimeLeft: time.Second}}), "n>b")
}

// A message whose client gives it a short deadline must not count as old: under overload, the age limit would
// reject all of them.
func TestShortDeadlineIsNotAge(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.latency.mean = 0.5
	q.admission.arrivals.add(0, 100)
	q.admission.misses.add(0, 1000) // λ−r < 0 turns the value-function bound off
	expect(t, "2 s left of 10 s, nothing waiting",
		d.Handle(0, []Event{Arrived{ID: "m", TimeLeft: 2 * time.Second}}), "m>a")
}
