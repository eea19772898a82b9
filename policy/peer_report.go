package policy

import "milletsail/internal/instant"

// peerReport is what other relays report of an endpoint or a destination, with the times by this relay's
// clock.
type peerReport struct {
	observers  int
	rank       int          // this relay's turn to probe, from 0
	oldestAt   instant.Time // first observation
	newestAt   instant.Time // last observation
	validUntil instant.Time
}

// valid reports whether there is a report that may still be used.
func (r peerReport) valid(now instant.Time) bool { return r.observers > 0 && now < r.validUntil }

// handlePeerSuspected takes in what other relays report. This relay's own observations take precedence if
// they are younger than the first of the others.
func (d *Dispatcher) handlePeerSuspected(suspected PeerSuspected) {
	report := peerReport{
		observers:  suspected.Observers,
		rank:       suspected.Rank,
		oldestAt:   d.now.Add(-suspected.OldestAge),
		newestAt:   d.now.Add(-suspected.NewestAge),
		validUntil: d.now.Add(suspected.ValidFor),
	}
	valid := report.valid(d.now)
	if ep := d.lookUpEndpoint(suspected.Endpoint, valid); ep != nil {
		// Used for zones and probe turns alone: among many relays, single errors soon make minObservers.
		ep.peerReport = report
		if suspected.RecentObservers >= minObservers {
			ep.outlier.lastFailureAt = max(ep.outlier.lastFailureAt, report.newestAt)
		}
		return
	}
	queue := d.sharedQueue(suspected.Destination, valid && suspected.Endpoint == "")
	if suspected.Endpoint == "" && queue != nil {
		d.applyDestinationReport(queue, report)
	}
}

// applyDestinationReport ejects the endpoints of a destination that enough relays have found to reject
// everything for circuitOpenAfter.
func (d *Dispatcher) applyDestinationReport(q *queue, report peerReport) {
	q.peerReport = report
	lasting := d.now.Sub(report.oldestAt) > circuitOpenAfter
	if report.observers < minObservers || !lasting || q.lastSuccessAt >= report.oldestAt {
		return
	}
	for _, ep := range q.endpoints {
		if ep.slowStart.recoveredAt < report.oldestAt {
			d.ejectEndpoint(ep, secondHand)
		}
	}
}

// handleGossip takes in a message of another relay: a rejection counts like an own one, but not for health;
// an ejected endpoint may have recovered, or one may not have accepted a connection; or a canary has had an
// outcome.
func (d *Dispatcher) handleGossip(message []byte) {
	d.fleet.lastGossipAt = d.now
	recovered := d.endpoints[decodeEndpointMessage(endpointRecoveredType, message)]
	if recovered != nil && recovered.outlier.ejected && d.mayRecover(recovered) {
		// All relays receive it at once, so saved tokens would be a call of each.
		d.startSlowStart(recovered, d.random.Float64(), secondHand)
	}
	if ep := d.endpoints[decodeEndpointMessage(connectErrorType, message)]; ep != nil {
		ep.connections.errorAt = d.now
	}
	d.handleCanaryMessage(message)
	if limit, ok := decodeLimitMessage(message); ok {
		d.handleLimitMessage(limit)
	}
}

// handleLimitMessage takes in that a destination has rejected or accepted a call of another relay.
func (d *Dispatcher) handleLimitMessage(limit limitMessage) {
	queue := d.sharedQueue(limit.destination, !limit.accepted)
	switch {
	case queue == nil:
	case limit.accepted:
		d.closeCircuit(queue, limit)
	default:
		queue.circuit.announcedUntil = max(queue.circuit.announcedUntil, d.openCircuit(queue, limit))
	}
}
