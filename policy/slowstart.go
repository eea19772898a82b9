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
	// lowRateSlowStartSafety replaces slowStartSafety for relays with a low rate (hasLowRate). Together with
	// the second probes of half of the relays whose first one failed, the total stays below two thirds of
	// what overloads the destination.
	lowRateSlowStartSafety = 0.42
	// slowStartBurst is the share of the budget for one OverloadWindow that may be sent at once.
	slowStartBurst = 1.0 / 3
)

// slowStartState limits the calls to one endpoint while it is ejected or in slow start.
type slowStartState struct {
	active      bool         // whether the endpoint has recovered and is in slow start
	recoveredAt instant.Time // start of the last slow start; 0 for never
	bucket      tokenBucket  // calls that the budget allows
}

// limitedBySlowStart reports whether the slow start budget limits the calls to an endpoint.
func (ep *endpoint) limitedBySlowStart() bool { return ep.outlier.ejected || ep.slowStart.active }

// startSlowStart ends the ejection of an endpoint and starts its slow start with the given number of tokens.
func (d *Dispatcher) startSlowStart(ep *endpoint, tokens float64, source healthSource) {
	d.setEjected(ep, false)
	ep.slowStart = slowStartState{active: true, recoveredAt: d.now, bucket: tokenBucket{tokens, d.now}}
	ep.outlier.consecutiveFailures, ep.queue.outageSuspected = 0, false
	// These failures belong to the outage. If they remained, messages that failed here would keep avoiding
	// this endpoint.
	clear(ep.outlier.classFailures)
	d.emit(PersistHealth{Endpoint: ep.ID, At: d.now, SecondHand: source == secondHand})
}

// slowStartTokens returns the number of calls that the slow start budget of an endpoint allows now. It ends a
// slow start that has lasted for SlowStartWindow.
func (d *Dispatcher) slowStartTokens(ep *endpoint) float64 {
	recovered := d.timeSinceRecovery(ep)
	if ep.slowStart.active && recovered >= d.settings.SlowStartWindow {
		ep.slowStart.active = false
	}
	rate := d.slowStartBudget(ep, recovered)
	burst := math.Max(1, slowStartBurst*rate*d.settings.OverloadWindow.Seconds())
	return ep.slowStart.bucket.refill(d.now, rate, burst)
}

// timeSinceRecovery returns the time since an endpoint recovered, at most SlowStartWindow; it is 0 while the
// endpoint is ejected.
func (d *Dispatcher) timeSinceRecovery(ep *endpoint) time.Duration {
	if ep.outlier.ejected {
		return 0
	}
	return min(d.now.Sub(ep.slowStart.recoveredAt), d.settings.SlowStartWindow)
}

// slowStartBudget returns the calls a second that this relay may make to an endpoint at the given time after
// its recovery: its part of what all relays together may send without overloading the destination
// (Settings.OverloadFactor). If the destination has no listed rate, one call a second per relay is assumed.
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
