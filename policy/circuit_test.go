package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"milletsail/internal/instant"
)

// A wait that comes with a delivery binds as one that comes with a rejection.
func TestRetryAfterWithDelivery(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	d.Handle(moment(ms), []Event{arrive("m", 0)})
	d.Handle(moment(100*ms),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Completed: true, RetryAfter: time.Second}})
	expect(t, "while it waits", d.Handle(moment(200*ms), []Event{arrive("n", 0)}), "")
	expect(t, "after it", d.Handle(moment(1100*ms), []Event{TimerFired{}}), "n>a")
}

func TestRetryAfter(t *testing.T) {
	for _, tt := range []struct {
		kind int
		want string
	}{{0, ""}, {2, "n>b"}} { // a shared limit binds the destination, a route only itself
		d := start(t, plain(), Endpoint{ID: "a", Kind: tt.kind}, Endpoint{ID: "b", Kind: tt.kind})
		d.Handle(0, []Event{arrive("m", 0)})
		d.Handle(moment(ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected,
			RetryAfter: time.Second}, Withdrawn{ID: "m"}})
		expect(t, fmt.Sprint("kind ", tt.kind), d.Handle(moment(500*ms), []Event{arrive("n", 0)}), tt.want)
	}
}

// TestWaitOfABundle guards against a wait that is told with the first of several outcomes of one call. A wait
// binds calls that were decided before it and are not written yet, at all endpoints of the destination.
func TestRetryAfterCancelsUnwrittenCalls(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"}, Endpoint{ID: "b"}, Endpoint{ID: "c", Destination: 1})
	other := Arrived{ID: "m3", Destination: 1, TimeLeft: 10 * time.Second}
	expect(t, "sent", d.Handle(0, []Event{arrive("m1", 0), arrive("m2", 0), other}), "m1>a m3>c m2>b")
	var canceled []string
	for _, a := range d.Handle(moment(time.Second),
		[]Event{AttemptEnded{ID: "m1", Endpoint: "a", Outcome: Rejected, RetryAfter: time.Second}}) {
		if a, ok := a.(CancelUnwritten); ok {
			canceled = append(canceled, a.Endpoint)
		}
	}
	if !slices.Equal(canceled, []string{"a", "b"}) {
		t.Errorf("withheld: %v", canceled)
	}
}

func TestRetryAfterOfABatch(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a", Kind: 1})
	expect(t, "one call", d.Handle(0, []Event{arrive("m", 0), arrive("n", 0)}), "m>a n>a")
	if d.slots.inUse != 1 {
		t.Errorf("%d calls out, want one batch", d.slots.inUse)
	}
	got := d.Handle(moment(ms),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected, RetryAfter: time.Second},
			arrive("o", 0)})
	expect(t, "in the wait", got, "")
}

// TestOpenCircuitEndsInSlowStart guards against relays that wait as told while a destination is down, and
// come back all at once as to a warm one; and against an answer to a call from before that ends the outage.
func TestOpenCircuitEndsInSlowStart(t *testing.T) {
	s := plain()
	s.Weights, s.Slots = WeightsNominal, 8
	d := start(t, s, Endpoint{ID: "a", Weight: 8})
	ep := d.endpoints["a"]
	d.Handle(moment(500*ms), []Event{arrive("n", 0)})
	d.Handle(moment(600*ms),
		[]Event{AttemptEnded{ID: "n", Endpoint: "a", Outcome: Rejected, RetryAfter: 2 * time.Second}})
	if ep.outlier.ejected {
		t.Error("a wait as long as a span of counting is taken for an outage")
	}
	d.Handle(moment(3400*ms), []Event{arrive("m", 0)})
	d.Handle(moment(3500*ms), []Event{arrive("o", 0)})
	d.Handle(moment(3600*ms),
		[]Event{AttemptEnded{ID: "o", Endpoint: "a", Outcome: Rejected, RetryAfter: 6 * time.Second}})
	d.Handle(moment(3700*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Completed: true}})
	if !ep.outlier.ejected {
		t.Error("a destination that sent a Retry-After of 6 s is not taken for down")
	}
	sent := 0
	for at := 9300 * ms; at < 11600*ms; at += 100 * ms {
		for _, a := range d.Handle(moment(at), []Event{arrive(fmt.Sprint("p", at), 0)}) {
			if _, ok := a.(Send); ok {
				sent++
			}
		}
	}
	budget := int(s.OverloadFactor * s.SlowStartInitialShare * 8 * s.OverloadWindow.Seconds())
	if sent == 0 || sent > budget {
		t.Errorf("%d calls as it opens, want some and %d at most", sent, budget)
	}
}

// TestRelaysDoNotProbeInStep guards against relays that are rejected together and come back together.
func TestRelaysDoNotProbeInStep(t *testing.T) {
	s := plain()
	s.FleetSize, s.Weights = 400, WeightsNominal
	seen := map[instant.Time]bool{}
	for seed := range int64(5) {
		d, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		d.Handle(0, []Event{EndpointsUpdated{Complete: true, Endpoints: []Endpoint{{ID: "a", Weight: 4}}},
			arrive("m", 0)})
		d.Handle(moment(ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected}})
		seen[d.queues[0].circuit.backoffUntil] = true
	}
	if len(seen) < 4 {
		t.Errorf("five relays come back at %d moments", len(seen))
	}
}

// TestProbesOfALargeFleet guards against hundreds of relays whose further probes push over a destination that
// comes back in slow start: the even share of 4 calls a second is 0.01 for one of 400, and 2 for one of 2.
func TestProbesOfALargeFleet(t *testing.T) {
	for _, tt := range []struct {
		relays          int
		outcome         Outcome
		wait            time.Duration
		lowest, highest int // of 40 relays are sick after one
	}{{400, Rejected, 0, 10, 30}, {400, ConnectError, 0, 10, 30}, {400, Rejected, time.Second, 40, 40},
		{2, Rejected, 0, 0, 0}, {2, ConnectError, 0, 0, 0}} {
		ejected := 0
		for seed := range int64(40) {
			s := plain()
			s.FleetSize, s.Weights = tt.relays, WeightsNominal
			d, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			d.Handle(0, []Event{EndpointsUpdated{Complete: true, Endpoints: []Endpoint{{ID: "a", Weight: 4}}},
				arrive("m", 0)})
			d.Handle(moment(ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: tt.outcome,
				RetryAfter: tt.wait}})
			if d.endpoints["a"].outlier.ejected {
				ejected++
			}
			d.recordRejection(d.queues[0], limitMessage{})
			if d.recordRejection(d.queues[0], limitMessage{}); tt.relays > 2 &&
				!d.endpoints["a"].outlier.ejected {
				t.Errorf("%d relays, outcome %d: not ejected after more", tt.relays, tt.outcome)
			}
		}
		if ejected < tt.lowest || ejected > tt.highest {
			t.Errorf("%d relays, outcome %d, wait %v: %d of 40 ejected", tt.relays, tt.outcome, tt.wait,
				ejected)
		}
	}
}

func TestCircuitBreakerCountsRejections(t *testing.T) {
	var circuit circuitBreaker
	if circuit.countRejection(0, 0) {
		t.Error("down after one rejection")
	}
	for _, at := range []time.Duration{time.Second, 2 * time.Second, circuitOpenAfter} {
		if circuit.countRejection(moment(at), 0) {
			t.Errorf("down after rejections for %v", at)
		}
	}
	if !circuit.countRejection(moment(circuitOpenAfter+ms), 0) {
		t.Error("not down after rejections for longer")
	}
	if again := new(circuitBreaker); !again.countRejection(0, circuitOpenAfter+ms) {
		t.Error("not down with a long Retry-After")
	}
}

func TestCircuitBreakerPauses(t *testing.T) {
	var circuit circuitBreaker
	circuit.extendRetryAfter(0, time.Second)
	circuit.extendRetryAfter(0, 500*ms) // a shorter one ends no longer one
	if !circuit.paused(moment(999*ms)) || circuit.paused(moment(time.Second)) {
		t.Errorf("paused until %v", circuit.pausedUntil())
	}
	circuit.extendRetryAfter(moment(time.Second), time.Duration(1<<63-1))
	if circuit.retryAfterUntil != never {
		t.Errorf("the longest Retry-After ends at %v", circuit.retryAfterUntil)
	}
}

func TestCircuitBreakerBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var circuit circuitBreaker
	now := time.Second
	for _, base := range []time.Duration{initialBackoff, 2 * initialBackoff, 4 * initialBackoff} {
		pause := circuit.nextBackoff(moment(now), random)
		if pause < base/2 || pause > base*3/2 {
			t.Errorf("backoff of %v, want %v with jitter", pause, base)
		}
		now += pause
		circuit.backoffUntil = moment(now)
	}
	if circuit.nextBackoff(moment(now+time.Minute), random); circuit.backoff != initialBackoff {
		t.Errorf("backoff of %v a minute after the last one", circuit.backoff)
	}
}
