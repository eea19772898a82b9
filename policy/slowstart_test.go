package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestSlowStart simulates an outage with each kind of outcome and checks that the probes stay within the
// budget for a destination in slow start.
func TestSlowStart(t *testing.T) {
	s := basicSettings()
	s.Weights = WeightsNominal
	for _, outcome := range []Outcome{ConnectError, Failed, Reset, Rejected, TimedOut} {
		d := start(t, s, Endpoint{ID: "a", Weight: 5})
		sends, inFlight := 0, map[string]int{}
		for now := time.Duration(0); now < 24*time.Second; now += 20 * ms {
			var events []Event
			for id, n := range inFlight {
				events = append(events, AttemptEnded{ID: id, Endpoint: "a", Attempt: n, Outcome: outcome})
			}
			inFlight = map[string]int{}
			if now%(200*ms) == 0 {
				events = append(events, Arrived{ID: fmt.Sprint(now), TimeLeft: 10 * time.Second})
			}
			for _, a := range d.Handle(moment(now), events) {
				if a, ok := a.(Send); ok {
					inFlight[a.ID] = len(d.messages.byID[a.ID].attempts) - 1
					if now >= 20*time.Second {
						sends++
					}
				}
			}
		}
		// In 4 s the destination can take 2 × 0.2 × 5 × 4 = 8 calls without being overloaded.
		if sends > 8 || sends == 0 {
			t.Errorf("outcome %d: %d calls in 4 s of an outage, want 1 to 8", outcome, sends)
		}
	}
}

func TestSlowStartAfterSuccess(t *testing.T) {
	s := basicSettings()
	s.Weights, s.Slots = WeightsNominal, 40
	d := start(t, s, Endpoint{ID: "a", Weight: 10})
	ep := d.endpoints["a"]
	d.now = moment(time.Second)
	d.eject(ep)
	d.recordSuccess(ep, true)
	if got, want := d.slowStartBudget(ep, 0), slowStartSafety*2*0.2*10; math.Abs(got-want) > 1e-9 {
		t.Errorf("budget right after the recovery: %v, want %v", got, want)
	}
	if got, want := d.slowStartBudget(ep, 10*time.Second), slowStartSafety*2*10; math.Abs(got-want) > 1e-9 {
		t.Errorf("budget at the end of slow start: %v, want %v", got, want)
	}
	d.now = moment(12 * time.Second)
	if got, want := d.slowStartBudget(ep, d.timeSinceRecovery(ep)), slowStartSafety*2*10; math.Abs(got-want) > 1e-9 {
		t.Errorf("budget 1 s after the time that the endpoint needs: %v, want %v", got, want)
	}
	d.now = moment(14 * time.Second)
	if d.slowStartTokens(ep); ep.slowStart.active {
		t.Error("still in slow start 13 s after the recovery, want at most 12 s: SlowStartWindow and OverloadWindow")
	}
}

// TestNewEndpointOfAnEjectedDestination guards against all relays sending to a new endpoint at once while its
// destination is down.
func TestNewEndpointOfAnEjectedDestination(t *testing.T) {
	for _, removed := range []bool{false, true} { // whether the old endpoint is removed
		d := start(t, basicSettings(), Endpoint{ID: "a"})
		d.eject(d.endpoints["a"])
		d.Handle(moment(ms), []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "a", Removed: removed},
			{ID: "b"}}}})
		if !d.endpoints["b"].outlier.ejected {
			t.Errorf("old endpoint removed: %v: the new endpoint is not ejected", removed)
		}
		d.recordSuccess(d.endpoints["b"], true)
		d.Handle(moment(2*ms), []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "c"}}}})
		if d.endpoints["c"].outlier.ejected {
			t.Error("an endpoint that was listed after the recovery is ejected")
		}
	}
}
