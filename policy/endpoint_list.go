package policy

import (
	"slices"
	"time"

	"milletsail/internal/instant"
)

// resubscribeDelay is the time before a failed watch of the endpoint list is started again.
const resubscribeDelay = 500 * time.Millisecond

// endpointWatch is the watch of the endpoint list.
type endpointWatch struct {
	subscribeAt   instant.Time // when to subscribe next
	firstListedAt instant.Time // when the first entries came; never before that
}

// updateEndpoints takes in a change of the list.
func (d *Dispatcher) updateEndpoints(e EndpointsUpdated) {
	d.watch.firstListedAt = min(d.watch.firstListedAt, d.now)
	for _, entry := range e.Endpoints {
		if d.affectsState(entry) {
			d.updateEndpoint(entry, d.now)
		}
	}
	if e.Complete {
		named := map[string]bool{}
		for _, entry := range e.Endpoints {
			named[entry.ID] = true
		}
		for _, q := range slices.Clone(d.queues) {
			for _, ep := range append([]*endpoint(nil), q.endpoints...) {
				if !named[ep.ID] {
					d.removeEndpoint(ep)
				}
			}
		}
	}
	for _, q := range slices.Clone(d.active) {
		if len(q.waiting) > 0 && !q.acceptsCalls() {
			d.reroute(q)
		}
	}
}

// updateEndpoint takes in one entry of the list, as told at a moment.
func (d *Dispatcher) updateEndpoint(e Endpoint, at instant.Time) {
	ep := d.endpoints[e.ID]
	if e.Removed {
		if ep != nil {
			d.removeEndpoint(ep)
		}
		return
	}
	cold := false
	if ep == nil {
		dest := d.destination(e.Destination)
		if ep = d.endpoints[e.ID]; ep == nil { // loading the destination may have brought it
			ep = d.addEndpoint(dest, e, at)
			cold = ep.queue.outageSuspected
		}
	}
	d.startCanary(ep, e)
	d.updateAvailability(ep, func() { ep.Endpoint = e })
	d.setListedRate(ep.queue, e.Weight, at)
	if cold { // at a destination that is out it is as cold as the others
		d.eject(ep)
	}
}

// addEndpoint adds an endpoint that is listed since a moment to its destination.
func (d *Dispatcher) addEndpoint(dest *destination, e Endpoint, since instant.Time) *endpoint {
	ep := &endpoint{outlier: newOutlierDetector(len(d.settings.Classes)), queue: dest.queues[0]}
	d.endpoints[e.ID] = ep
	kind := Kind{MaxBatch: 1}
	if e.Kind >= 0 && e.Kind < len(d.settings.Kinds) {
		kind = d.settings.Kinds[e.Kind]
	}
	if kind.SeparateRoutes && (len(ep.queue.endpoints) > 0 || len(dest.queues) > 1) {
		ep.queue = d.addQueue(dest, 1, true, since)
	}
	ep.queue.maxBatch, ep.queue.separateRoute, ep.queue.kind = max(1, kind.MaxBatch), kind.SeparateRoutes, e.Kind
	ep.queue.endpoints = append(ep.queue.endpoints, ep)
	return ep
}

// removeEndpoint forgets an endpoint that left the list; calls out there still end.
func (d *Dispatcher) removeEndpoint(ep *endpoint) {
	d.updateAvailability(ep, func() { ep.Removed = true })
	if ep.canary != nil {
		d.canaryCount--
	}
	delete(d.endpoints, ep.ID)
	ep.queue.endpoints = remove(ep.queue.endpoints, ep)
	d.removeUnusedQueue(ep.queue)
}
