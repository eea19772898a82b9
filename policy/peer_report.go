package policy

import (
	"slices"

	"milletsail/internal/instant"
)

// peerReport is the latest report of what other relays observe of an endpoint or a destination. Its times are
// by this relay's clock.
type peerReport struct {
	observers  int          // relays that report a problem; 0 for no report
	rank       int          // position of this relay in the order of probing, from 0
	oldestAt   instant.Time // time of the oldest report
	newestAt   instant.Time // time of the newest report
	validUntil instant.Time // end of the time in which the report may be used
}

// valid reports whether there is a report and it may still be used.
func (r peerReport) valid(now instant.Time) bool { return r.observers > 0 && now < r.validUntil }

// handlePeerSuspected stores a report of other relays on an endpoint or a destination, and acts on it if it
// concerns a destination.
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
		// A report on an endpoint does not eject it: in a large fleet, unrelated single errors soon add up to
		// minObservers. It only affects zone surveys and the turns to probe.
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

// applyDestinationReport ejects the endpoints of a destination if at least minObservers relays have had all
// calls rejected for circuitOpenAfter. A success at this relay since the oldest of these reports takes
// precedence, and endpoints that have recovered since then stay.
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

// handleGossip handles a message of another relay. A rejection pauses the queue for at most maxBackoff, and
// does not affect the health of its endpoints. The other messages report that an ejected endpoint has
// recovered, that an endpoint has refused a connection, or the outcome of a call to a canary.
func (d *Dispatcher) handleGossip(message []byte) {
	d.fleet.lastGossipAt = d.now
	recovered := d.endpoints[decodeEndpointMessage(endpointRecoveredType, message)]
	if recovered != nil && (recovered.outlier.ejected || d.suspected(recovered)) && d.mayRecover(recovered) {
		// All relays receive this at about the same time: with a whole token each, they would all send at
		// once.
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

// handleLimitMessage handles the report that a destination has rejected or accepted a call of another relay.
func (d *Dispatcher) handleLimitMessage(limit limitMessage) {
	queue := d.sharedQueue(limit.destination, !limit.accepted)
	switch {
	case queue == nil:
	case limit.accepted:
		d.recordAcceptance(queue)
		if slices.ContainsFunc(queue.endpoints, func(ep *endpoint) bool { return ep.outlier.notified }) {
			queue.acceptedElsewhereAt = max(queue.acceptedElsewhereAt, d.now.Add(-limit.callAge))
		}
		d.closeCircuit(queue, limit)
	default:
		queue.circuit.announcedUntil = max(queue.circuit.announcedUntil, d.openCircuit(queue, limit))
	}
}
