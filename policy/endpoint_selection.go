package policy

import "cmp"

// selectEndpoint chooses where in a queue a message goes: a sick endpoint whose trial is due, else a healthy
// one with the fewest calls out, in the relay's own zone, with an idle connection, used last.
func (d *Dispatcher) selectEndpoint(q *queue, m *message) *endpoint {
	var best *endpoint
	home := d.targetZone(q)
	for _, ep := range q.endpoints {
		second := ep.outlier.ejected && len(m.attempts) > 0 && len(q.endpoints) > 1
		if second || d.canaryWithheld(ep) || !d.acceptsCall(ep) || d.avoidsZone(ep, m) || !d.retryAllowed(m, ep) {
			continue
		}
		if best == nil || d.preferred(m, home, ep, best) {
			best = ep
		}
	}
	return best
}

// preferred tells whether the first of two endpoints that are open is chosen for a message.
func (d *Dispatcher) preferred(m *message, home int, a, b *endpoint) bool {
	return cmp.Or(
		cmp.Compare(indicator(a.outlier.ejected), indicator(b.outlier.ejected)), // its trial is due
		cmp.Compare(indicator(d.hasBaseline(a)), indicator(d.hasBaseline(b))),   // its share is
		cmp.Compare(indicator(d.unresponsive(b)), indicator(d.unresponsive(a))),
		cmp.Compare(m.failureScore(b), m.failureScore(a)),
		cmp.Compare(indicator(d.settings.Zones && a.Zone == home), indicator(d.settings.Zones && b.Zone == home)),
		cmp.Compare(len(b.calls), len(a.calls)),
		cmp.Compare(indicator(a.Zone == d.settings.Zone), indicator(b.Zone == d.settings.Zone)),
		cmp.Compare(a.lastUsedAt, b.lastUsedAt)) > 0
}

// failureScore counts what speaks against an endpoint for a message: failures of its class in a row, and a
// try of its own, the last, that did not succeed. An endpoint may fail one class and serve the others.
func (m *message) failureScore(ep *endpoint) float64 {
	n := ep.outlier.classFailures[m.Class]
	if i := len(m.attempts); i > 0 && m.attempts[i-1].call.endpoint == ep {
		n++
	}
	return n
}

// acceptsCall tells whether an endpoint may get a call now.
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
	return !d.unresponsive(ep) || len(ep.calls) < maxUnhealthyCalls
}

// mayProbe reports whether an ejected endpoint may get a probe now: in this relay's turn, where the fleet
// takes turns, else as the slow start budget allows.
func (d *Dispatcher) mayProbe(ep *endpoint) bool {
	probes := ep.probesOut()
	if turn := d.probeTurn(ep); turn > 0 {
		return probes == 0 && d.now >= turn
	}
	return probes < maxUnhealthyCalls && d.slowStartTokens(ep) >= 1
}
