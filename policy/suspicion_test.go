package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// suspiciousRelay returns one relay of a fleet of 33, whose part of the slow start budget of endpoint "a" is
// less than one call per OverloadWindow, and which has just had a success there and then, a while later, a call
// with the given outcome.
func suspiciousRelay(t *testing.T, outcome Outcome) (*Dispatcher, *endpoint) {
	t.Helper()
	s := basicSettings()
	s.FleetSize, s.Weights, s.Gossip = 33, WeightsNominal, true
	d := start(t, s, Endpoint{ID: "a", Weight: 8})
	deliver(d, time.Second, "before", OK)
	deliver(d, 10*time.Second, "told", outcome)
	d.Handle(moment(10200*ms), []Event{Withdrawn{ID: "told"}})
	return d, d.endpoints["a"]
}

// deliver lets a message arrive, and its call to endpoint "a" end 20 ms later.
func deliver(d *Dispatcher, at time.Duration, id string, outcome Outcome) {
	d.Handle(moment(at), []Event{arrive(id, 0)})
	d.Handle(moment(at+20*ms), []Event{AttemptEnded{ID: id, Endpoint: "a", Outcome: outcome,
		Completed: outcome == OK}})
}

// sendsBetween lets ten messages a second arrive, all of whose calls succeed, and returns the number of calls.
func sendsBetween(d *Dispatcher, from, until time.Duration) (sends int) {
	var ended []Event
	for at := from; at < until; at += 100 * ms {
		actions := d.Handle(moment(at), append(ended, arrive(fmt.Sprint("n", at), 0)))
		ended = nil
		for _, a := range actions {
			if send, ok := a.(Send); ok {
				sends++
				ended = append(ended, AttemptEnded{ID: send.ID, Endpoint: send.Endpoint, Outcome: OK, Completed: true})
			}
		}
	}
	return sends
}

// TestSingleFailureLimitsCalls guards against a relay that has met an outage by one call, which ejects nothing,
// and sends its queued messages without a limit when the endpoint is back and cold.
func TestSingleFailureLimitsCalls(t *testing.T) {
	for _, outcome := range []Outcome{Failed, Reset, ConnectError, TimedOut, Rejected} {
		d, ep := suspiciousRelay(t, outcome)
		ep.outlier.ejected = false // a relay with a low rate may eject at once; see probeBudgetSpent
		ep.slowStart.bucket.reset(1, moment(14*time.Second))
		// Its part of the budget is 0.08 to 0.4 calls a second; without a limit it would send 0.24 a second.
		if sends := sendsBetween(d, 14*time.Second, 18*time.Second); sends > 2 {
			t.Errorf("outcome %v: %d calls in the 4 s after a return, want at most 2", outcome, sends)
		}
		if !ep.slowStart.active {
			t.Errorf("outcome %v: not in slow start after the first success", outcome)
		}
	}
}

// TestFailureBesideSuccessesLimitsNothing guards against an endpoint that gets few calls for long after a
// single ordinary error.
func TestFailureBesideSuccessesLimitsNothing(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	ep := d.endpoints["a"]
	for i := range 10 {
		deliver(d, time.Duration(i)*100*ms, fmt.Sprint("m", i), OK)
	}
	deliver(d, time.Second, "error", Failed)
	d.Handle(moment(1100*ms), []Event{AttemptEnded{ID: "error", Endpoint: "a", Attempt: 1, Outcome: OK,
		Completed: true}})
	if d.limitedBySlowStart(ep) || ep.outlier.notified {
		t.Errorf("limited: %v, notified: %v after an error between successes, want neither",
			d.limitedBySlowStart(ep), ep.outlier.notified)
	}
}

// TestNextProcessKnowsFailure guards against a process that starts in an outage and sends without a limit,
// since the failures that its predecessor counted ended with it.
func TestNextProcessKnowsFailure(t *testing.T) {
	s := basicSettings()
	s.FleetSize, s.Weights = 33, WeightsNominal
	d := start(t, s, Endpoint{ID: "a", Weight: 8})
	d.Handle(moment(time.Second), []Event{arrive("m", 0)})
	var recorded []PersistSuspicion
	for _, a := range d.Handle(moment(1020*ms),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Failed}}) {
		if suspicion, ok := a.(PersistSuspicion); ok {
			recorded = append(recorded, suspicion)
		}
	}
	if want := (PersistSuspicion{Endpoint: "a", Suspected: true, At: moment(1020 * ms)}); len(recorded) != 1 ||
		recorded[0] != want {
		t.Fatalf("recorded after a failure: %+v, want %+v", recorded, want)
	}
	for name, restored := range map[string]Event{
		"recorded failure": StateRestored{Endpoint: "a", Ejected: true, At: moment(1020 * ms)},
		"call in flight at the end of the process": Arrived{ID: "m", TimeLeft: 9 * time.Second, Resumed: true,
			PriorAttempts: []PriorAttempt{{Endpoint: "a", SentAt: moment(500 * ms), Interrupted: true}}},
		"slow start": StateRestored{Endpoint: "a", At: moment(1020 * ms)},
	} {
		next := start(t, s, Endpoint{ID: "a", Weight: 8})
		next.Handle(moment(2*time.Second), []Event{restored})
		if sends := sendsBetween(next, 3*time.Second, 6*time.Second); sends > 1 {
			t.Errorf("%s: %d calls in 3 s, want at most 1", name, sends)
		}
	}
}

// TestSlowStartRestartsWithSibling guards against an endpoint that answers a part of its calls in an outage: its
// slow start, which began during the outage, would end too early.
func TestSlowStartRestartsWithSibling(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
	a, b := d.endpoints["a"], d.endpoints["b"]
	d.eject(a)
	d.eject(b)
	d.recordSuccess(a, true)
	d.now = moment(8 * time.Second)
	d.recordSuccess(b, true)
	if got := d.timeSinceRecovery(a); got != 0 {
		t.Errorf("time since the recovery of a after that of b: %v, want 0", got)
	}
}

// TestFailureThatOverlapsReturn guards against a stalled call that ends after the first success of an endpoint
// that is back, and which tells of the outage only then.
func TestFailureThatOverlapsReturn(t *testing.T) {
	s := basicSettings()
	s.FleetSize, s.Weights = 33, WeightsNominal
	d := start(t, s, Endpoint{ID: "a", Weight: 800})
	d.Handle(moment(time.Second), []Event{arrive("stalled", 0)})
	deliver(d, 5*time.Second, "first", OK)
	d.Handle(moment(6*time.Second), []Event{AttemptEnded{ID: "stalled", Endpoint: "a", Outcome: TimedOut}})
	ep := d.endpoints["a"]
	if !ep.slowStart.active || ep.slowStart.recoveredAt != moment(5020*ms) {
		t.Errorf("slow start: %v since %v, want one since the first success at 5.02s", ep.slowStart.active,
			time.Duration(ep.slowStart.recoveredAt))
	}
}

// TestFleetBudgetWithinRule guards against a fleet that exceeds what an endpoint withstands although each relay
// keeps its part: because of saved tokens or chance.
func TestFleetBudgetWithinRule(t *testing.T) {
	for _, relays := range []int{1, 2, 5, 33, 300} {
		for n := 1.0; n <= 500; n *= 1.3 { // calls that the settings allow in OverloadWindow
			s := basicSettings()
			s.FleetSize, s.Weights = relays, WeightsNominal
			listed := n / (s.OverloadFactor * s.SlowStartInitialShare * s.OverloadWindow.Seconds())
			d := start(t, s, Endpoint{ID: "a", Weight: listed})
			budget := d.fleetBudget(d.endpoints["a"], 0)
			saved := math.Max(float64(relays), slowStartBurst*budget) // if all relays have saved tokens
			spread := 3 * math.Sqrt(budget)                           // if their tokens are spread at random
			if budget+math.Min(saved, spread) > withstoodCalls(n)+1e-9 {
				t.Errorf("%d relays: budget %.1f calls, and %.1f more at once, want at most %.1f for %.1f allowed",
					relays, budget, math.Min(saved, spread), withstoodCalls(n), n)
			}
		}
	}
}
