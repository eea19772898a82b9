package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"milletsail/internal/instant"
)

// A Retry-After in a successful response has to pause the queue just as one in a rejection does.
func TestRetryAfterWithDelivery(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	d.Handle(moment(ms), []Event{arrive("m", 0)})
	d.Handle(moment(100*ms),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Completed: true, RetryAfter: time.Second}})
	expect(t, "during the Retry-After", d.Handle(moment(200*ms), []Event{arrive("n", 0)}), "")
	expect(t, "after the Retry-After", d.Handle(moment(1100*ms), []Event{TimerFired{}}), "n>a")
}

// A Retry-After pauses all endpoints of a destination, but with separate routes only the rejecting one.
func TestRetryAfter(t *testing.T) {
	for _, tt := range []struct {
		kind int
		want string
	}{{0, ""}, {2, "n>b"}} {
		d := start(t, basicSettings(), Endpoint{ID: "a", Kind: tt.kind}, Endpoint{ID: "b", Kind: tt.kind})
		d.Handle(0, []Event{arrive("m", 0)})
		d.Handle(moment(ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected,
			RetryAfter: time.Second}, Withdrawn{ID: "m"}})
		expect(t, fmt.Sprint("kind ", tt.kind), d.Handle(moment(500*ms), []Event{arrive("n", 0)}), tt.want)
	}
}

// TestRetryAfterCancelsUnwrittenCalls guards against calls that are written after a Retry-After was received,
// because they were decided before it. It applies to all endpoints of the destination, and to no other
// destination.
func TestRetryAfterCancelsUnwrittenCalls(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b"}, Endpoint{ID: "c", Destination: 1})
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
		t.Errorf("canceled unwritten calls to %v, want those to a and b", canceled)
	}
}

// A Retry-After in the first outcome of a batch has to apply before the other outcomes of its call arrive.
func TestRetryAfterOfBatch(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a", Kind: 1})
	expect(t, "one call", d.Handle(0, []Event{arrive("m", 0), arrive("n", 0)}), "m>a n>a")
	if d.slots.inUse != 1 {
		t.Errorf("%d calls in flight, want one batch", d.slots.inUse)
	}
	got := d.Handle(moment(ms),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected, RetryAfter: time.Second},
			arrive("o", 0)})
	expect(t, "during the Retry-After", got, "")
}

// TestOpenCircuitEndsInSlowStart guards against relays that send at full rate after the Retry-After of a
// destination that was down, and against an outage that a success from before the Retry-After ends.
func TestOpenCircuitEndsInSlowStart(t *testing.T) {
	s := basicSettings()
	s.Weights, s.Slots = WeightsNominal, 8
	d := start(t, s, Endpoint{ID: "a", Weight: 8})
	ep := d.endpoints["a"]
	d.Handle(moment(500*ms), []Event{arrive("n", 0)})
	d.Handle(moment(600*ms),
		[]Event{AttemptEnded{ID: "n", Endpoint: "a", Outcome: Rejected, RetryAfter: 2 * time.Second}})
	if ep.outlier.ejected {
		t.Error("ejected after a Retry-After of 2 s, want an ejection only above circuitOpenAfter")
	}
	d.Handle(moment(3400*ms), []Event{arrive("m", 0)})
	d.Handle(moment(3500*ms), []Event{arrive("o", 0)})
	d.Handle(moment(3600*ms),
		[]Event{AttemptEnded{ID: "o", Endpoint: "a", Outcome: Rejected, RetryAfter: 6 * time.Second}})
	d.Handle(moment(3700*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Completed: true}})
	if !ep.outlier.ejected {
		t.Error("not ejected after a Retry-After of 6 s")
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
		t.Errorf("%d calls after the Retry-After, want at least 1 and at most %d", sent, budget)
	}
}

// TestBackoffHasJitter guards against relays that are rejected together and all resume at the same time.
func TestBackoffHasJitter(t *testing.T) {
	s := basicSettings()
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
		t.Errorf("five relays resume at %d different times, want at least 4", len(seen))
	}
}

// TestSecondProbesInLargeFleet guards against hundreds of relays whose further probes overload a destination
// that is in slow start. With 4 calls a second listed, the even share is 0.01 for each of 400 relays and 2
// for each of 2.
func TestSecondProbesInLargeFleet(t *testing.T) {
	for _, tt := range []struct {
		relays          int
		outcome         Outcome
		retryAfter      time.Duration
		lowest, highest int // bounds of the relays, of 40, that eject the endpoint after one failure
	}{{400, Rejected, 0, 10, 30}, {400, ConnectError, 0, 10, 30}, {400, Rejected, time.Second, 40, 40},
		{2, Rejected, 0, 0, 0}, {2, ConnectError, 0, 0, 0}} {
		ejected := 0
		for seed := range int64(40) {
			s := basicSettings()
			s.FleetSize, s.Weights = tt.relays, WeightsNominal
			d, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			d.Handle(0, []Event{EndpointsUpdated{Complete: true, Endpoints: []Endpoint{{ID: "a", Weight: 4}}},
				arrive("m", 0)})
			d.Handle(moment(ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: tt.outcome,
				RetryAfter: tt.retryAfter}})
			if d.endpoints["a"].outlier.ejected {
				ejected++
			}
			d.recordRejection(d.queues[0], limitMessage{})
			if d.recordRejection(d.queues[0], limitMessage{}); tt.relays > 2 &&
				!d.endpoints["a"].outlier.ejected {
				t.Errorf("%d relays, outcome %d: not ejected after three failures", tt.relays, tt.outcome)
			}
		}
		if ejected < tt.lowest || ejected > tt.highest {
			t.Errorf("%d relays, outcome %d, Retry-After %v: %d of 40 ejected the endpoint after one "+
				"failure, want %d to %d", tt.relays, tt.outcome, tt.retryAfter, ejected, tt.lowest,
				tt.highest)
		}
	}
}

func TestCircuitBreakerCountsRejections(t *testing.T) {
	var circuit circuitBreaker
	if circuit.countRejection(0, 0) {
		t.Error("counts as down after one rejection")
	}
	for _, at := range []time.Duration{time.Second, 2 * time.Second, circuitOpenAfter} {
		if circuit.countRejection(moment(at), 0) {
			t.Errorf("counts as down after rejections for %v, want it only after more than circuitOpenAfter",
				at)
		}
	}
	if !circuit.countRejection(moment(circuitOpenAfter+ms), 0) {
		t.Error("does not count as down after rejections for longer than circuitOpenAfter")
	}
	if again := new(circuitBreaker); !again.countRejection(0, circuitOpenAfter+ms) {
		t.Error("does not count as down with a Retry-After longer than circuitOpenAfter")
	}
}

func TestCircuitBreakerPauses(t *testing.T) {
	var circuit circuitBreaker
	circuit.extendRetryAfter(0, time.Second)
	circuit.extendRetryAfter(0, 500*ms) // must not shorten the first
	if !circuit.paused(moment(999*ms)) || circuit.paused(moment(time.Second)) {
		t.Errorf("paused until %v, want 1s", circuit.pausedUntil())
	}
	circuit.extendRetryAfter(moment(time.Second), time.Duration(1<<63-1))
	if circuit.retryAfterUntil != never {
		t.Errorf("the longest possible Retry-After ends at %v, want never", circuit.retryAfterUntil)
	}
}

func TestCircuitBreakerBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var circuit circuitBreaker
	now := time.Second
	for _, base := range []time.Duration{initialBackoff, 2 * initialBackoff, 4 * initialBackoff} {
		pause := circuit.nextBackoff(moment(now), random)
		if pause < base/2 || pause > base*3/2 {
			t.Errorf("backoff of %v, want %v with at most 50 percent of jitter", pause, base)
		}
		now += pause
		circuit.backoffUntil = moment(now)
	}
	if circuit.nextBackoff(moment(now+time.Minute), random); circuit.backoff != initialBackoff {
		t.Errorf("backoff of %v a minute after the last pause, want initialBackoff", circuit.backoff)
	}
}
