package policy

import "cmp"

// selectEndpoint chooses the endpoint of a queue that gets a message, or nil: an ejected one whose probe is
// due; else a healthy one in the zone that is due, with the fewest calls out, used last (so that its
// connection is idle).
func (d *Dispatcher) selectEndpoint(q *queue, m *message) *endpoint {
	var best *endpoint
	zone := d.targetZone(q)
	for _, ep := range q.endpoints {
		// An ejected endpoint is probed with a message's first attempt, unless it is the only one.
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

// preferred reports whether a is to be chosen before b for a message.
func (d *Dispatcher) preferred(m *message, zone int, a, b *endpoint) bool {
	return cmp.Or(
		compareBools(a.outlier.ejected, b.outlier.ejected),       // its probe is due
		compareBools(a.hasBaseline(d.now), b.hasBaseline(d.now)), // a canary's share is due
		compareBools(b.unresponsive(d.now), a.unresponsive(d.now)),
		cmp.Compare(m.failureScore(b), m.failureScore(a)),
		compareBools(d.settings.Zones && a.Zone == zone, d.settings.Zones && b.Zone == zone),
		cmp.Compare(len(b.calls), len(a.calls)),
		compareBools(a.Zone == d.settings.Zone, b.Zone == d.settings.Zone),
		cmp.Compare(a.lastUsedAt, b.lastUsedAt)) > 0
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// failureScore counts what speaks against an endpoint for a message: consecutive failures of its class there,
// and that the message's last attempt was made there. An endpoint may fail one class and serve the others.
func (m *message) failureScore(ep *endpoint) float64 {
	score := ep.outlier.classFailures[m.Class]
	if last := len(m.attempts) - 1; last >= 0 && m.attempts[last].call.endpoint == ep {
		score++
	}
	return score
}

// acceptsCall reports whether an endpoint may get a call now.
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
	if ep.slowStart.active && d.slowStartTokens(ep) < 1 {
		return false
	}
	return !ep.unresponsive(d.now) || len(ep.calls) < maxUnhealthyCalls
}

// mayProbe reports whether an ejected endpoint may get a probe now: in this relay's turn, where the fleet
// takes turns, else as the slow start budget allows.
func (d *Dispatcher) mayProbe(ep *endpoint) bool {
	probes := ep.probesInFlight()
	if turn := d.probeTurn(ep); turn > 0 {
		return probes == 0 && d.now >= turn
	}
	return probes < maxUnhealthyCalls && d.slowStartTokens(ep) >= 1
}
