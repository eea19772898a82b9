package policy

import (
	"slices"
	"time"

	"milletsail/internal/instant"
)

// resubscribeDelay is the time between the failure of a watch of the endpoint list and the start of a new
// one.
const resubscribeDelay = 500 * time.Millisecond

// endpointWatch is the state of the watch of the endpoint list.
type endpointWatch struct {
	subscribeAt   instant.Time // time at which to emit Subscribe; the constant never if none is planned
	firstListedAt instant.Time // time of the first EndpointsUpdated; until then, the constant never
}

// renewWatch subscribes to the endpoint list at the start, and after a failed watch when the delay has
// passed.
func (d *Dispatcher) renewWatch() {
	if d.now >= d.watch.subscribeAt {
		d.watch.subscribeAt = never
		d.emit(Subscribe{})
	}
}

// updateEndpoints applies a change of the endpoint list, and moves messages away from routes without usable
// endpoints.
func (d *Dispatcher) updateEndpoints(updated EndpointsUpdated) {
	d.watch.firstListedAt = min(d.watch.firstListedAt, d.now)
	for _, listed := range updated.Endpoints {
		if d.affectsState(listed) {
			d.updateEndpoint(listed, d.now)
		}
	}
	if updated.Complete {
		d.removeUnlisted(updated.Endpoints)
	}
	for _, q := range slices.Clone(d.active) {
		if len(q.waiting) > 0 && !q.acceptsCalls() {
			d.reroute(q)
		}
	}
}

// removeUnlisted removes the endpoints that a complete list does not name.
func (d *Dispatcher) removeUnlisted(complete []Endpoint) {
	listed := map[string]bool{}
	for _, entry := range complete {
		listed[entry.ID] = true
	}
	for _, q := range slices.Clone(d.queues) {
		for _, ep := range slices.Clone(q.endpoints) {
			if !listed[ep.ID] {
				d.removeEndpoint(ep)
			}
		}
	}
}

// updateEndpoint applies one entry of the list, which is valid since the given time.
func (d *Dispatcher) updateEndpoint(listed Endpoint, since instant.Time) {
	ep := d.endpoints[listed.ID]
	if listed.Removed {
		if ep != nil {
			d.removeEndpoint(ep)
		}
		return
	}
	joinsOutage := false
	if ep == nil {
		dest := d.destination(listed.Destination)
		if ep = d.endpoints[listed.ID]; ep == nil { // d.destination may have loaded it from the directory
			ep = d.addEndpoint(dest, listed, since)
			joinsOutage = ep.queue.outageSuspected
		}
	}
	d.startCanary(ep, listed)
	d.updateAvailability(ep, func() { ep.Endpoint = listed })
	d.setListedRate(ep.queue, listed.Weight, since)
	if joinsOutage { // the destination may be down, so a new endpoint needs a slow start as well
		d.eject(ep)
	}
}

// addEndpoint adds an endpoint, listed since the given time, to its destination.
func (d *Dispatcher) addEndpoint(dest *destination, listed Endpoint, since instant.Time) *endpoint {
	ep := &endpoint{outlier: newOutlierDetector(len(d.settings.Classes)), queue: dest.queues[0]}
	d.endpoints[listed.ID] = ep
	kind := Kind{MaxBatch: 1}
	if listed.Kind >= 0 && listed.Kind < len(d.settings.Kinds) {
		kind = d.settings.Kinds[listed.Kind]
	}
	if kind.SeparateRoutes && (len(ep.queue.endpoints) > 0 || len(dest.queues) > 1) {
		ep.queue = d.addQueue(dest, since)
	}
	queue := ep.queue
	queue.maxBatch, queue.separateRoute, queue.kind = max(1, kind.MaxBatch), kind.SeparateRoutes, listed.Kind
	d.joinQueue(ep)
	return ep
}

// joinQueue adds a new endpoint to its queue. If another one there may be in an outage or is in slow start,
// so may be or is the new one.
func (d *Dispatcher) joinQueue(ep *endpoint) {
	queue := ep.queue
	if len(queue.endpoints) == 1 && d.mayBeLimited(queue.endpoints[0]) {
		queue.slowStartBucket = queue.endpoints[0].slowStart.bucket
	}
	queue.endpoints = append(queue.endpoints, ep)
	for _, other := range queue.endpoints {
		o := &other.outlier
		switch {
		case other == ep || !d.maySuspect(ep):
		case o.ejected || o.notified || o.siblingFailedAt > 0:
			d.suspectSibling(ep)
		case d.slowStarting(other):
			ep.slowStart.active, ep.slowStart.recoveredAt = true, other.slowStart.recoveredAt
			ep.slowStart.bucket.reset(d.firstTokens(ep), d.now)
		}
	}
}

// removeEndpoint removes an endpoint that is no longer listed. Its calls in flight still get their outcomes.
func (d *Dispatcher) removeEndpoint(ep *endpoint) {
	d.updateAvailability(ep, func() { ep.Removed = true })
	if ep.canary != nil {
		d.canaryCount--
	}
	delete(d.endpoints, ep.ID)
	ep.queue.endpoints = remove(ep.queue.endpoints, ep)
	d.removeUnusedQueue(ep.queue)
}
