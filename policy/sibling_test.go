package policy

import (
	"math"
	"testing"
	"time"
)

// suspiciousSiblings returns a relay as suspiciousRelay does, for a destination of several endpoints: the call at "a"
// has failed and been withdrawn, and no call has ever been made to the others.
func suspiciousSiblings(t *testing.T, outcome Outcome) *Dispatcher {
	t.Helper()
	s := basicSettings()
	s.FleetSize, s.Weights, s.Gossip = 33, WeightsNominal, true
	d := start(t, s, Endpoint{ID: "a", Weight: 33})
	deliver(d, time.Second, "before", OK)
	d.Handle(moment(2*time.Second), []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "b", Weight: 33}, {ID: "c", Weight: 33}}}})
	d.Handle(moment(10*time.Second), []Event{arrive("told", 0)})
	failed := d.messages.byID["told"].attempts[0].call.endpoint.ID
	d.Handle(moment(10020*ms), []Event{AttemptEnded{ID: "told", Endpoint: failed, Outcome: outcome},
		Withdrawn{ID: "told"}})
	return d
}

// TestFailureLimitsCallsToSiblings guards against a relay that has met an outage at one endpoint and sends its queued
// messages to the other endpoints of the destination without a limit.
func TestFailureLimitsCallsToSiblings(t *testing.T) {
	for _, outcome := range []Outcome{Failed, Reset, ConnectError, TimedOut} {
		d := suspiciousSiblings(t, outcome)
		// Its part of the budget of all endpoints together is 0.4 to 2 calls a second, and has saved one call.
		if sends := sendsBetween(d, 14*time.Second, 16*time.Second); sends > 2 {
			t.Errorf("outcome %v: %d calls in the 2 s after a return, want at most 2", outcome, sends)
		}
	}
}

// TestRejectionLimitsCallsToSiblings guards against a relay whose call a destination has rejected in an outage, and
// which sends to its other endpoints without a limit, or to all of them for a while after the Retry-After.
func TestRejectionLimitsCallsToSiblings(t *testing.T) {
	d := suspiciousSiblings(t, Rejected)
	d.Handle(moment(10030*ms), []Event{arrive("with wait", 0)})
	d.queues[0].circuit.extendRetryAfter(d.now, 3500*ms)
	if sends := sendsBetween(d, 13600*ms, 15600*ms); sends > 2 {
		t.Errorf("%d calls in the 2 s after a Retry-After and a return, want at most 2", sends)
	}
}

// TestEndpointJoinsSuspicion guards against an endpoint that is listed in an outage, or in a slow start, of its
// destination and counts as healthy.
func TestEndpointJoinsSuspicion(t *testing.T) {
	d := suspiciousSiblings(t, Failed)
	add := func(at time.Duration, id string) *endpoint {
		d.Handle(moment(at), []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: id, Weight: 33}}}})
		return d.endpoints[id]
	}
	inOutage := add(11*time.Second, "in outage")
	d.now = moment(12 * time.Second)
	if !d.limitedBySlowStart(inOutage) {
		t.Error("an endpoint that was listed in an outage is not limited")
	}
	for _, ep := range d.endpoints {
		d.startSlowStart(ep, 0, firstHand)
	}
	if inRamp := add(13*time.Second, "in slow start"); !d.limitedBySlowStart(inRamp) ||
		inRamp.slowStart.recoveredAt != moment(12*time.Second) {
		t.Errorf("an endpoint that was listed in a slow start: %+v, want it to be in the same one", inRamp.slowStart)
	}
}

// TestRemovedEndpointLeavesSuspicion guards against siblings that count as healthy again because the endpoint that
// failed was removed in the outage.
func TestRemovedEndpointLeavesSuspicion(t *testing.T) {
	d := suspiciousSiblings(t, Failed)
	d.Handle(moment(11*time.Second), []Event{EndpointsUpdated{Complete: true, Endpoints: []Endpoint{{ID: "c", Weight: 33}}}})
	if !d.limitedBySlowStart(d.endpoints["c"]) {
		t.Error("the sibling of a removed endpoint that had failed is not limited")
	}
}

// TestSuccessClearsSibling guards against slow start for an endpoint that answers while another one fails.
func TestSuccessClearsSibling(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
	a, b := d.endpoints["a"], d.endpoints["b"]
	b.outlier.lastSuccessAt, b.outlier.successesSince = moment(time.Second), moment(time.Second)
	d.now = moment(2 * time.Second)
	d.recordFailure(a, &call{endpoint: a, sentAt: moment(1900 * ms)}, 1)
	d.now = moment(2100 * ms)
	b.succeededCallAt = moment(2050 * ms)
	d.recordSuccess(b, true)
	d.now = moment(10 * time.Second)
	if d.limitedBySlowStart(b) {
		t.Error("an endpoint with a success after the failure of another one is limited")
	}
}

// TestIsolatedFailureLimitsNoSibling guards against slow start for endpoints of a destination that answer right after a
// failure at another one, and against taking a later answer for a sign that there was no outage.
func TestIsolatedFailureLimitsNoSibling(t *testing.T) {
	for _, tt := range []struct {
		name    string
		sentAt  time.Duration // of the successful call, after the failure
		limited bool
	}{{"first retry", 100 * ms, false}, {"later call", 700 * ms, true}} {
		s := basicSettings()
		s.FleetSize, s.Weights = 33, WeightsNominal
		d := start(t, s, Endpoint{ID: "a", Weight: 33}, Endpoint{ID: "b", Weight: 33}, Endpoint{ID: "c", Weight: 33})
		a, b, c := d.endpoints["a"], d.endpoints["b"], d.endpoints["c"]
		c.outlier.lastSuccessAt = moment(time.Second)
		d.now = moment(10 * time.Second)
		d.recordFailure(a, &call{endpoint: a, sentAt: moment(9900 * ms)}, errorResponseWeight)
		b.succeededCallAt = d.now.Add(tt.sentAt)
		d.now = b.succeededCallAt.Add(50 * ms)
		d.recordSuccess(b, true)
		d.now = moment(14 * time.Second)
		if d.limitedBySlowStart(b) != tt.limited || d.limitedBySlowStart(c) != tt.limited {
			t.Errorf("%s: limited b %v and c %v, want %v", tt.name, d.limitedBySlowStart(b), d.limitedBySlowStart(c), tt.limited)
		}
	}
}

// TestRecoveryReportEndsSuspicion guards against relays that take an endpoint for failing until a success of their own
// although another relay has reported its recovery.
func TestRecoveryReportEndsSuspicion(t *testing.T) {
	d := suspiciousSiblings(t, Failed)
	d.Handle(moment(12*time.Second), []Event{GossipReceived{Message: encodeEndpointMessage(endpointRecoveredType, "c")}})
	if c := d.endpoints["c"]; !c.slowStart.active || c.slowStart.recoveredAt != moment(12*time.Second) {
		t.Errorf("after a report of its recovery: %+v, want a slow start from then on", c.slowStart)
	}
}

// TestQueueBudgetWithinRule guards against a fleet whose calls to several endpoints exceed what their destination
// withstands although they keep the budget of each endpoint.
func TestQueueBudgetWithinRule(t *testing.T) {
	for _, relays := range []int{2, 5, 33, 300} {
		for _, endpoints := range []int{2, 3, 8} {
			for n := 1.0; n <= 500; n *= 1.3 { // calls that the settings allow the destination in OverloadWindow
				s := basicSettings()
				s.FleetSize, s.Weights = relays, WeightsNominal
				weight := n / (s.OverloadFactor * s.SlowStartInitialShare * s.OverloadWindow.Seconds())
				var list []Endpoint
				for i := range endpoints {
					list = append(list, Endpoint{ID: string(rune('a' + i)), Weight: weight})
				}
				d := start(t, s, list...)
				for _, ep := range d.endpoints {
					d.suspectUnanswered(ep, 0)
				}
				d.now = moment(time.Second)
				budget := d.queueBudget(d.queues[0], 0) * float64(relays) * s.OverloadWindow.Seconds()
				saved := math.Max(float64(relays), slowStartBurst*budget) // if all relays have saved tokens
				spread := 3 * math.Sqrt(budget)                           // if their tokens are spread at random
				if budget+math.Min(saved, spread) > withstoodCalls(n)+1e-9 {
					t.Errorf("%d relays, %d endpoints: budget %.1f calls, and %.1f more at once, want at most %.1f for %.1f allowed",
						relays, endpoints, budget, math.Min(saved, spread), withstoodCalls(n), n)
				}
			}
		}
	}
}

// TestQueueBudgetTakesTokens guards against a relay that makes a call to each endpoint of a destination at once, where its
// part of the budget allows a single one.
func TestQueueBudgetTakesTokens(t *testing.T) {
	d := suspiciousSiblings(t, Failed)
	for _, ep := range d.endpoints {
		ep.slowStart.bucket.reset(1, moment(14*time.Second))
	}
	d.queues[0].slowStartBucket.reset(1, moment(14*time.Second))
	if sends := sendsBetween(d, 14*time.Second, 14200*ms); sends != 1 {
		t.Errorf("%d calls at once, want 1", sends)
	}
}

// TestIdleFleetMeetsCrowd guards against relays that save a token each while they have nothing to send, and that all send
// when a crowd of messages meets a destination that is back.
func TestIdleFleetMeetsCrowd(t *testing.T) {
	for _, endpoints := range []int{1, 3} {
		s := basicSettings()
		s.FleetSize, s.Weights = 200, WeightsNominal
		var list []Endpoint
		for i := range endpoints {
			list = append(list, Endpoint{ID: string(rune('a' + i)), Weight: 12.5}) // 10 calls are allowed in OverloadWindow
		}
		sends := 0
		for seed := range s.FleetSize {
			d, err := New(s, int64(seed))
			if err != nil {
				t.Fatal(err)
			}
			d.Handle(0, []Event{EndpointsUpdated{Complete: true, Endpoints: list}})
			for _, ep := range d.endpoints {
				d.suspectUnanswered(ep, 0)
			}
			for at := 300 * time.Second; at < 300*time.Second+s.OverloadWindow; at += 500 * ms {
				for _, action := range d.Handle(moment(at), []Event{arrive(at.String(), 0)}) {
					if _, ok := action.(Send); ok {
						sends++
					}
				}
			}
		}
		if highest := int(withstoodCalls(10)); sends == 0 || sends > highest {
			t.Errorf("%d endpoints: %d calls to a cold destination, want 1 to %d", endpoints, sends, highest)
		}
	}
}
