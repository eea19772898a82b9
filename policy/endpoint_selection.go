package policy

import "cmp"

// selectEndpoint returns the endpoint of a queue that a message is sent to, or nil if none may get a call. An
// ejected endpoint that may be probed comes first. Among the healthy ones, those in the target zone are
// preferred, then those with the fewest calls in flight, and then the one that was used last, since its
// connection is open. See preferred for the full order.
func (d *Dispatcher) selectEndpoint(q *queue, m *message) *endpoint {
	var best *endpoint
	zone := d.targetZone(q)
	for _, ep := range q.endpoints {
		// A retry is not used as a probe of an ejected endpoint, unless the queue has no other endpoint.
		retryAtEjected := ep.outlier.ejected && len(m.attempts) > 0 && len(q.endpoints) > 1
		if retryAtEjected || ep.canaryWithheld(d.now) || !d.acceptsCall(ep) ||
			d.avoidsZone(ep, m) || !d.retryAllowed(m, ep) {
			continue
		}
		if best == nil || d.preferred(m, zone, ep, best) {
			best = ep
		}
	}
	return best
}

// preferred reports whether a message is sent to endpoint a rather than to b.
func (d *Dispatcher) preferred(m *message, zone int, a, b *endpoint) bool {
	return cmp.Or(
		compareBools(a.outlier.ejected, b.outlier.ejected),       // an ejected one that passed mayProbe
		compareBools(a.hasBaseline(d.now), b.hasBaseline(d.now)), // a canary that has credit for a call
		compareBools(b.unresponsive(d.now), a.unresponsive(d.now)),
		cmp.Compare(m.failureScore(b), m.failureScore(a)),
		compareBools(d.settings.Zones && a.Zone == zone, d.settings.Zones && b.Zone == zone),
		cmp.Compare(len(b.calls), len(a.calls)),
		compareBools(a.Zone == d.settings.Zone, b.Zone == d.settings.Zone),
		cmp.Compare(a.lastUsedAt, b.lastUsedAt)) > 0
}

// compareBools compares two values, with false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// failureScore returns a penalty for sending a message to an endpoint: the consecutive failures of the
// message's class there, plus one if the message's last attempt was made there. Classes are counted apart
// because an endpoint may fail one class and serve the others.
func (m *message) failureScore(ep *endpoint) float64 {
	score := ep.outlier.classFailures[m.Class]
	if last := len(m.attempts) - 1; last >= 0 && m.attempts[last].call.endpoint == ep {
		score++
	}
	return score
}

// acceptsCall reports whether an endpoint may get another call now.
func (d *Dispatcher) acceptsCall(ep *endpoint) bool {
	if ep.Draining || ep.Removed || d.now < ep.resourceBackoff.until {
		return false
	}
	if !ep.connections.allows(len(ep.calls)) {
		return false
	}
	if ep.outlier.ejected {
		return d.mayProbe(ep)
	}
	if d.limitedBySlowStart(ep) && !d.slowStartAllows(ep) {
		return false
	}
	return !ep.unresponsive(d.now) || len(ep.calls) < maxUnhealthyCalls
}

// mayProbe reports whether an ejected endpoint may get a probe now. Where the fleet takes turns (probeTurn),
// that is from this relay's turn on, if no probe is in flight; elsewhere it is as the slow start budget and
// maxUnhealthyCalls allow.
func (d *Dispatcher) mayProbe(ep *endpoint) bool {
	probes := ep.probesInFlight()
	if turn := d.probeTurn(ep); turn > 0 {
		return probes == 0 && d.now >= turn
	}
	return probes < maxUnhealthyCalls && d.slowStartAllows(ep)
}
