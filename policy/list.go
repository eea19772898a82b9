package policy

import (
	"math"
	"slices"

	"milletsail/internal/instant"
)

// This file holds changes of the list of endpoints.

// listed takes in a change of the list.
func (d *Dispatcher) listed(e EndpointsUpdated) {
	d.listedAt = min(d.listedAt, d.now)
	for _, entry := range e.Endpoints {
		if d.concerns(entry) {
			d.entry(entry, d.now)
		}
	}
	if e.Complete {
		named := map[string]bool{}
		for _, entry := range e.Endpoints {
			named[entry.ID] = true
		}
		for _, q := range slices.Clone(d.queues) {
			for _, ep := range append([]*endpoint(nil), q.eps...) {
				if !named[ep.ID] {
					d.drop(ep)
				}
			}
		}
	}
	for _, q := range slices.Clone(d.active) {
		if len(q.held) > 0 && !q.usable() {
			d.reroute(q)
		}
	}
}

// entry takes in one entry of the list, as told at a moment.
func (d *Dispatcher) entry(e Endpoint, at instant.Time) {
	ep := d.endpoints[e.ID]
	if e.Removed {
		if ep != nil {
			d.drop(ep)
		}
		return
	}
	cold := false
	if ep == nil {
		dest := d.dest(e.Destination)
		if ep = d.endpoints[e.ID]; ep == nil { // loading the destination may have brought it
			ep = d.addEndpoint(dest, e, at)
			cold = ep.q.ill
		}
	}
	d.arrives(ep, e)
	d.update(ep, func() { ep.Endpoint = e })
	d.weigh(ep.q, e.Weight, at)
	if cold { // at a destination that is out it is as cold as the others
		d.sicken(ep)
	}
}

// addEndpoint adds an endpoint that is listed since a moment to its destination.
func (d *Dispatcher) addEndpoint(dest *destination, e Endpoint, since instant.Time) *endpoint {
	ep := &endpoint{strikes: make([]float64, len(d.s.Classes)), q: dest.queues[0]}
	d.endpoints[e.ID] = ep
	kind := Kind{MaxBatch: 1}
	if e.Kind >= 0 && e.Kind < len(d.s.Kinds) {
		kind = d.s.Kinds[e.Kind]
	}
	if kind.SeparateRoutes && (len(ep.q.eps) > 0 || len(dest.queues) > 1) {
		ep.q = d.addQueue(dest, 1, true, since)
	}
	ep.q.bundle, ep.q.apart, ep.q.kind = max(1, kind.MaxBatch), kind.SeparateRoutes, e.Kind
	ep.q.eps = append(ep.q.eps, ep)
	return ep
}

// drop forgets an endpoint that left the list; calls out there still end.
func (d *Dispatcher) drop(ep *endpoint) {
	d.update(ep, func() { ep.Removed = true })
	if ep.trial != nil {
		d.onTrial--
	}
	delete(d.endpoints, ep.ID)
	ep.q.eps = remove(ep.q.eps, ep)
	d.forget(ep.q)
}

// weigh takes in the rate that a queue's destination is listed with since a moment.
func (d *Dispatcher) weigh(q *queue, weight float64, since instant.Time) {
	if d.s.Weights == WeightsOff || !(weight > 0) || math.IsInf(weight, 0) || weight == q.weight {
		return
	}
	q.weight = weight
	q.pace, q.cutAt = d.even(q), since
	q.tokens, q.tokensAt = math.Max(1, q.pace*burstSpan.Seconds()), since
}
