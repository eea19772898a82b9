package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

const (
	// slowStartSafety is the share of the overload rule's budget that is used while a destination warms up:
	// the rest is for uneven shares among the relays and for chance.
	slowStartSafety = 0.8
	// lowRateSlowStartSafety replaces slowStartSafety where many relays have less than a call each in the
	// rule's window. With second probes of half of the relays whose first one failed, the total stays under
	// two thirds of what overloads the destination.
	lowRateSlowStartSafety = 0.42
	// slowStartBurst is the share of a window's budget that may be sent at once.
	slowStartBurst = 1.0 / 3
)

// slowStartTokens is what the budget of a sick or ramping endpoint allows to be sent now.
func (d *Dispatcher) slowStartTokens(ep *endpoint) float64 {
	if ep.slowStart.active && d.timeSinceRecovery(ep) >= d.settings.SlowStartWindow {
		ep.slowStart.active = false
	}
	rate := d.slowStartBudget(ep, d.timeSinceRecovery(ep))
	return ep.slowStart.bucket.refill(d.now, rate, math.Max(1, slowStartBurst*rate*d.settings.OverloadWindow.Seconds()))
}

// timeSinceRecovery is how long an endpoint has been back.
func (d *Dispatcher) timeSinceRecovery(ep *endpoint) time.Duration {
	if ep.outlier.ejected {
		return 0
	}
	return min(d.now.Sub(ep.slowStart.recoveredAt), d.settings.SlowStartWindow)
}

// slowStartBudget is the calls a second that this relay may make to an endpoint that has been back for so
// long: its part of what the rule on returning destinations allows. Where no weight is told, one call in each
// span of the rule.
func (d *Dispatcher) slowStartBudget(ep *endpoint, back time.Duration) float64 {
	share := 1.0
	if d.settings.SlowStartWindow > 0 {
		share = d.settings.SlowStartInitialShare + (1-d.settings.SlowStartInitialShare)*float64(back)/float64(d.settings.SlowStartWindow)
	}
	weight := ep.queue.limiter.listedRate
	if weight == 0 {
		weight = float64(d.settings.FleetSize)
	}
	safety := slowStartSafety
	if d.hasLowRate(ep.queue) {
		safety = lowRateSlowStartSafety
	}
	all := safety * d.settings.OverloadFactor * share * weight
	return all * d.trafficShare(ep.queue) / d.relayCount() / float64(max(1, len(ep.queue.endpoints)))
}

// slowStartState limits the calls to one endpoint while it is ejected or warms up.
type slowStartState struct {
	active      bool
	recoveredAt instant.Time // first success after an outage; 0 for never
	bucket      tokenBucket
}

// limitedBySlowStart reports whether an endpoint gets only what the slow start budget allows.
func (ep *endpoint) limitedBySlowStart() bool { return ep.outlier.ejected || ep.slowStart.active }

// startSlowStart starts the ramp of an endpoint that was sick, with what of a call may go at once.
func (d *Dispatcher) startSlowStart(ep *endpoint, tokens float64, hearsay bool) {
	d.setEjected(ep, false)
	ep.slowStart.active, ep.slowStart.recoveredAt, ep.outlier.consecutiveFailures, ep.queue.outageSuspected = true, d.now, 0, false
	ep.slowStart.bucket.tokens, ep.slowStart.bucket.updatedAt = tokens, d.now
	clear(ep.outlier.classFailures) // the outage's: else none that failed there would ever try it again
	d.emit(PersistHealth{Endpoint: ep.ID, At: d.now, SecondHand: hearsay})
}

// initialTokens is what a budget of less than a call a span starts with: a chance part of a call, so that of
// many relays with a call in a minute each some try at any time, and the total is what the rule allows.
func (d *Dispatcher) initialTokens(ep *endpoint) float64 {
	return math.Max(0, d.random.Float64()-d.slowStartBudget(ep, d.timeSinceRecovery(ep))*d.settings.OverloadWindow.Seconds())
}
