package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

const (
	// slowStartSafety is the share that the relays use of the calls that a destination in slow start can take
	// by Settings.OverloadFactor. The rest allows for uneven traffic among the relays and for chance.
	slowStartSafety = 0.8
	// smallBudget is the number of calls below which an endpoint withstands a larger excess.
	smallBudget = 30
	// smallBudgetExcess and largeBudgetExcess are the calls that an endpoint withstands beyond its budget:
	// that many for each square root of a small or a large budget, and once more.
	smallBudgetExcess = 3.0
	largeBudgetExcess = 2.0
	// burstDeviations is the excess of random calls over their mean, in square roots of the mean, that is
	// provided for.
	burstDeviations = 3.0
	// slowStartBurst is the share of the budget for one OverloadWindow that may be sent at once.
	slowStartBurst = 1.0 / 3
)

// slowStartState limits the calls to one endpoint while it is ejected or in slow start.
type slowStartState struct {
	active      bool         // whether the endpoint has recovered and is in slow start
	recoveredAt instant.Time // start of the last slow start; 0 for never
	// afterEjection is whether the slow start followed an ejection, rather than a suspicion alone.
	afterEjection bool
	bucket        tokenBucket // calls that the budget allows
}

// limitedBySlowStart reports whether the slow start budget limits the calls to an endpoint.
func (d *Dispatcher) limitedBySlowStart(ep *endpoint) bool {
	return ep.outlier.ejected || ep.slowStart.active || d.limitedBySuspicion(ep)
}

// startSlowStart ends the ejection of an endpoint and starts its slow start with the given number of tokens.
func (d *Dispatcher) startSlowStart(ep *endpoint, tokens float64, source healthSource) {
	wasEjected := ep.outlier.ejected
	d.setEjected(ep, false)
	refillFrom := max(d.now, ep.slowStart.bucket.updatedAt) // later if calls were brought forward
	ep.slowStart = slowStartState{
		active:        true,
		recoveredAt:   d.now,
		afterEjection: wasEjected,
		bucket:        tokenBucket{tokens, refillFrom},
	}
	ep.outlier.consecutiveFailures, ep.queue.outageSuspected = 0, false
	// These failures belong to the outage. If they remained, messages that failed here would keep avoiding
	// this endpoint.
	clear(ep.outlier.classFailures)
	d.restartSlowStarts(ep.queue)
	ep.outlier.notified, ep.outlier.suspicionRecorded = false, false
	ep.outlier.clearSiblingFailure()
	d.endSiblingSuspicions(ep.queue)
	d.emit(PersistHealth{Endpoint: ep.ID, At: d.now, SecondHand: source == secondHand})
}

// restartSlowStarts lets the endpoints of a queue that are in slow start begin it again, when another one
// recovers: most outages end for all endpoints of a destination at once, and an endpoint that answers a part
// of its calls during an outage may succeed before its end.
func (d *Dispatcher) restartSlowStarts(q *queue) {
	for _, other := range q.endpoints {
		if other.slowStart.active {
			other.slowStart.recoveredAt = d.now
		}
	}
}

// slowStarting reports whether an endpoint is in a slow start that has not ended. It lasts for OverloadWindow
// longer than the endpoint needs after its recovery, at the full budget: where an outage failed only a part
// of the calls, the first success may have come before its end.
func (d *Dispatcher) slowStarting(ep *endpoint) bool {
	if !ep.slowStart.active {
		return false
	}
	end := ep.slowStart.recoveredAt.Add(d.settings.SlowStartWindow + d.settings.OverloadWindow)
	return d.suspected(ep) || d.now < end
}

// slowStartTokens returns the number of calls that the slow start budget of an endpoint allows now. It ends a
// slow start whose time is over.
func (d *Dispatcher) slowStartTokens(ep *endpoint) float64 {
	if ep.slowStart.active && !d.slowStarting(ep) {
		ep.slowStart.active = false
	}
	rate := d.slowStartBudget(ep, d.timeSinceRecovery(ep))
	if d.hasQueueBudget(ep.queue) {
		burst := math.Max(1, slowStartBurst*rate*d.settings.OverloadWindow.Seconds())
		return ep.slowStart.bucket.refill(d.now, rate, burst)
	}
	return d.refillSlowStart(&ep.slowStart.bucket, rate)
}

// timeSinceRecovery returns the time since an endpoint recovered, at most SlowStartWindow; it is 0 while the
// endpoint is ejected or suspected.
func (d *Dispatcher) timeSinceRecovery(ep *endpoint) time.Duration {
	if ep.outlier.ejected || d.suspected(ep) {
		return 0
	}
	return min(d.now.Sub(ep.slowStart.recoveredAt), d.settings.SlowStartWindow)
}

// slowStartBudget returns the calls a second that this relay may make to an endpoint at the given time after
// its recovery: its part of what all relays together may send (fleetBudget).
//
// The budget holds for the sum over all relays, whatever each of them knows, as long as every relay that has
// met the outage, or cannot know whether it has, takes no more than its part.
func (d *Dispatcher) slowStartBudget(ep *endpoint, sinceRecovery time.Duration) float64 {
	return d.fleetBudget(ep, sinceRecovery) * d.trafficShare(ep.queue) / d.relayCount() /
		d.settings.OverloadWindow.Seconds()
}

// fleetBudget returns the calls that all relays together may make to an endpoint within OverloadWindow, at
// the given time after its recovery. Where the queue has a budget as well, these may be as many as the
// endpoint withstands.
func (d *Dispatcher) fleetBudget(ep *endpoint, sinceRecovery time.Duration) float64 {
	allowed, relays := d.allowedCalls(ep, sinceRecovery), d.relayCount()
	switch {
	case d.hasQueueBudget(ep.queue):
		return largestBudget(allowed, relays)
	case ep.wasEjected():
		return plannedCalls(allowed, relays)
	}
	return math.Max(plannedCalls(allowed, relays), certainBudget(allowed, relays))
}

// wasEjected reports whether an endpoint is ejected, or in a slow start that followed an ejection.
func (ep *endpoint) wasEjected() bool { return ep.outlier.ejected || ep.slowStart.afterEjection }

// allowedCalls returns the calls that the settings allow an endpoint within OverloadWindow, at the given time
// after its recovery. If the destination has no listed rate, one call a second per relay is assumed. A rough
// rate is taken as exact.
func (d *Dispatcher) allowedCalls(ep *endpoint, sinceRecovery time.Duration) float64 {
	rate := ep.queue.limiter.listedRate
	if rate == 0 {
		rate = float64(d.settings.FleetSize)
	}
	endpoints := float64(max(1, len(ep.queue.endpoints)))
	capacity := rate * d.settings.slowStartShare(sinceRecovery) / endpoints
	return d.settings.OverloadFactor * capacity * d.settings.OverloadWindow.Seconds()
}

// withstoodCalls returns how many calls within OverloadWindow an endpoint in slow start withstands, by the
// operators' rule on cold destinations, if the settings allow it n calls then.
func withstoodCalls(n float64) float64 { return n + toleratedExcess(n) }

// toleratedExcess returns how many calls beyond the n calls that the settings allow an endpoint withstands.
func toleratedExcess(n float64) float64 {
	if n < smallBudget {
		return smallBudgetExcess * (1 + math.Sqrt(n))
	}
	return largeBudgetExcess * (1 + math.Sqrt(n))
}

// plannedCalls returns how many calls within OverloadWindow the relays together plan for where the settings
// allow n calls.
func plannedCalls(n, relays float64) float64 {
	return math.Min(slowStartSafety*n, largestBudget(n, relays))
}

// largestBudget returns the largest budget of which the relays make no more calls in any OverloadWindow than
// an endpoint withstands that the settings allow n calls. Of many relays, the tokens are spread at random, so
// that the sum exceeds the budget by at most burstDeviations of its square root.
func largestBudget(n, relays float64) float64 {
	root := (math.Sqrt(burstDeviations*burstDeviations+4*withstoodCalls(n)) - burstDeviations) / 2
	return math.Max(certainBudget(n, relays), root*root)
}

// certainBudget returns the largest budget of which the relays make no more calls in any OverloadWindow than
// an endpoint withstands that the settings allow n calls, whatever chance does. Beyond their budget, they
// make calls for which they have saved tokens: at most slowStartBurst of the budget, or one for each relay.
func certainBudget(n, relays float64) float64 {
	withstood := withstoodCalls(n)
	return math.Min(withstood-relays, withstood/(1+slowStartBurst))
}

// advanceProbe allows a call to an endpoint now, since most outages end for all endpoints of a destination at
// once. The call is brought forward from the budget, unless the endpoint tolerates that many more calls. In a
// large fleet (wholeTokensFit), the relays that recover would together exceed the budget, and another relay
// probes soon.
func (d *Dispatcher) advanceProbe(ep *endpoint) {
	missing := 1 - d.slowStartTokens(ep)
	broughtForward := ep.slowStart.bucket.updatedAt > d.now
	if !d.limitedBySlowStart(ep) || missing <= 0 || broughtForward || !d.wholeTokensFit(ep) {
		return
	}
	refillFrom := d.now
	if d.relayCount() > smallBudgetExcess {
		budget := d.slowStartBudget(ep, d.timeSinceRecovery(ep))
		refillFrom = refillFrom.Add(tokenDelay(missing, budget))
	}
	ep.slowStart.bucket.reset(1, refillFrom)
}

// wholeTokensFit reports whether each relay may make one call at once to an endpoint that has just come back:
// all of them together stay within the budget of one OverloadWindow, or within what the endpoint tolerates
// beyond it.
func (d *Dispatcher) wholeTokensFit(ep *endpoint) bool {
	relays := d.relayCount()
	perWindow := d.fleetBudget(ep, 0)
	return relays <= math.Max(perWindow, toleratedExcess(perWindow))
}

// firstTokens returns the number of tokens with which an endpoint starts that this process knows to have
// failed, but whose budget it has not used yet.
func (d *Dispatcher) firstTokens(ep *endpoint) float64 {
	if d.wholeTokensFit(ep) {
		return 1
	}
	return d.initialTokens(ep)
}

// slowStartShare returns the share of its full capacity that a destination has at the given time after its
// recovery.
func (s *Settings) slowStartShare(sinceRecovery time.Duration) float64 {
	if s.SlowStartWindow <= 0 {
		return 1.0
	}
	initial := s.SlowStartInitialShare
	return initial + (1-initial)*float64(sinceRecovery)/float64(s.SlowStartWindow)
}

// initialTokens returns the fraction of a token that a budget of less than one call per OverloadWindow
// starts with. It is random, so that of many relays with about one call a minute each some probe at any
// time, while the total does not overload the destination. Larger budgets start with 0 tokens.
func (d *Dispatcher) initialTokens(ep *endpoint) float64 {
	perWindow := d.slowStartBudget(ep, d.timeSinceRecovery(ep)) * d.settings.OverloadWindow.Seconds()
	return math.Max(0, d.random.Float64()-perWindow)
}
