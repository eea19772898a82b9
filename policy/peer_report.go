package policy

import "milletsail/internal/instant"

// handlePeerSuspected takes in what the fleet finds. Own findings that are younger than the first of the
// others' go before it.
func (d *Dispatcher) handlePeerSuspected(e PeerSuspected) {
	w := peerReport{e.Observers, e.Rank, d.now.Add(-e.OldestAge), d.now.Add(-e.NewestAge), d.now.Add(e.ValidFor)}
	binds := w.valid(d.now)
	if ep := d.lookUpEndpoint(e.Endpoint, binds); ep != nil {
		// For zones and turns alone: among many relays single errors soon make three witnesses.
		if ep.peerReport = w; e.RecentObservers >= minObservers {
			ep.outlier.lastFailureAt = max(ep.outlier.lastFailureAt, w.newestAt)
		}
		return
	}
	q := d.sharedQueue(e.Destination, binds && e.Endpoint == "")
	if e.Endpoint != "" || q == nil {
		return
	}
	q.peerReport = w
	if w.observers < minObservers || d.now.Sub(w.oldestAt) <= circuitOpenAfter || q.lastSuccessAt >= w.oldestAt {
		return
	}
	for _, ep := range q.endpoints {
		if ep.slowStart.recoveredAt < w.oldestAt {
			d.ejectEndpoint(ep, true)
		}
	}
}

// peerReport is what the fleet says, with the times by this relay's clock.
type peerReport struct {
	observers, rank                int
	oldestAt, newestAt, validUntil instant.Time
}

// valid tells whether the fleet says anything, and it is not too old to be used.
func (w peerReport) valid(now instant.Time) bool { return w.observers > 0 && now < w.validUntil }

// handleGossip takes in a note of another relay: it is evidence of a refusal like one of our own, but for
// health, or that an endpoint that is sick here has answered there, or has taken no connection.
func (d *Dispatcher) handleGossip(note []byte) {
	d.lastGossipAt = d.now
	if ep := d.endpoints[decodeEndpointMessage(endpointRecoveredType, note)]; ep != nil && ep.outlier.ejected && d.mayRecover(ep) {
		d.startSlowStart(ep, d.random.Float64(), true) // all hear at once, and saved tokens are a call of each
	}
	if ep := d.endpoints[decodeEndpointMessage(connectErrorType, note)]; ep != nil {
		ep.connections.errorAt = d.now
	}
	d.handleCanaryMessage(note)
	l, ok := decodeLimitMessage(note)
	if !ok {
		return
	}
	switch q := d.sharedQueue(l.destination, !l.accepted); {
	case q == nil:
	case l.accepted:
		d.closeCircuit(q, l)
	default:
		q.circuit.announcedUntil = max(q.circuit.announcedUntil, d.openCircuit(q, l))
	}
}
