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

// slowStartState limits the calls to one endpoint while it is ejected or warms up.
type slowStartState struct {
	active      bool
	recoveredAt instant.Time // first success after an outage; 0 for never
	bucket      tokenBucket
}

// limitedBySlowStart reports whether an endpoint gets only what the slow start budget allows.
func (ep *endpoint) limitedBySlowStart() bool { return ep.outlier.ejected || ep.slowStart.active }

// startSlowStart ends the ejection of an endpoint and starts its slow start with a number of calls, or part
// of one, saved up.
func (d *Dispatcher) startSlowStart(ep *endpoint, tokens float64, source healthSource) {
	d.setEjected(ep, false)
	ep.slowStart = slowStartState{active: true, recoveredAt: d.now, bucket: tokenBucket{tokens, d.now}}
	ep.outlier.consecutiveFailures, ep.queue.outageSuspected = 0, false
	// These failures were the outage's: with them, no message that failed there would be sent there again.
	clear(ep.outlier.classFailures)
	d.emit(PersistHealth{Endpoint: ep.ID, At: d.now, SecondHand: source == secondHand})
}

// slowStartTokens is the number of calls that the budget of an ejected or warming endpoint allows now. It
// ends a slow start whose time is over.
func (d *Dispatcher) slowStartTokens(ep *endpoint) float64 {
	recovered := d.timeSinceRecovery(ep)
	if ep.slowStart.active && recovered >= d.settings.SlowStartWindow {
		ep.slowStart.active = false
	}
	rate := d.slowStartBudget(ep, recovered)
	burst := math.Max(1, slowStartBurst*rate*d.settings.OverloadWindow.Seconds())
	return ep.slowStart.bucket.refill(d.now, rate, burst)
}

// timeSinceRecovery is the time since an endpoint recovered: 0 while it is ejected, the slow start window at
// most.
func (d *Dispatcher) timeSinceRecovery(ep *endpoint) time.Duration {
	if ep.outlier.ejected {
		return 0
	}
	return min(d.now.Sub(ep.slowStart.recoveredAt), d.settings.SlowStartWindow)
}

// slowStartBudget is the number of calls a second that this relay may make to an endpoint some time after it
// recovered: its part of what the overload rule allows all relays. Where no rate is listed, it is one call a
// relay in each window of the rule.
func (d *Dispatcher) slowStartBudget(ep *endpoint, sinceRecovery time.Duration) float64 {
	share := d.settings.slowStartShare(sinceRecovery)
	rate := ep.queue.limiter.listedRate
	if rate == 0 {
		rate = float64(d.settings.FleetSize)
	}
	safety := slowStartSafety
	if d.hasLowRate(ep.queue) {
		safety = lowRateSlowStartSafety
	}
	allRelays := safety * d.settings.OverloadFactor * share * rate
	return allRelays * d.trafficShare(ep.queue) / d.relayCount() / float64(max(1, len(ep.queue.endpoints)))
}

// slowStartShare is the share of its capacity that a destination has some time after it recovered.
func (s *Settings) slowStartShare(sinceRecovery time.Duration) float64 {
	if s.SlowStartWindow <= 0 {
		return 1.0
	}
	initial := s.SlowStartInitialShare
	return initial + (1-initial)*float64(sinceRecovery)/float64(s.SlowStartWindow)
}

// initialTokens is the part of a call that is saved up at the begin of a budget of less than a call a window.
// It is random, so that of many relays with a call in a minute each some probe at any time, and the total is
// what the rule allows.
func (d *Dispatcher) initialTokens(ep *endpoint) float64 {
	perWindow := d.slowStartBudget(ep, d.timeSinceRecovery(ep)) * d.settings.OverloadWindow.Seconds()
	return math.Max(0, d.random.Float64()-perWindow)
}
