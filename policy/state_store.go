package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// stateIdleTimeout is the idle time after which state that is kept on demand may be dropped: the counters
	// have decayed, send rates have recovered, and latencies need not be what they were.
	stateIdleTimeout = 2 * time.Minute
	// maxEvictionsPerBatch bounds the destinations that one batch evicts.
	maxEvictionsPerBatch = 32
)

// onDemand tells whether state is kept only for destinations in use.
func (d *Dispatcher) onDemand() bool { return d.settings.Directory != nil && !d.settings.Zones }

// loadDestination fills the state of a destination from the directory. What is listed counts as listed since
// the first Listed: so its counters and its pace are what they would be had state been kept all the time.
func (d *Dispatcher) loadDestination(dest *destination) {
	endpoints, since := d.settings.Directory.Endpoints(dest.number), d.now
	if len(endpoints) > 0 {
		since = min(d.now, d.watch.firstListedAt)
	}
	d.addQueue(dest, since)
	d.markIdle(dest)
	for _, e := range endpoints {
		d.updateEndpoint(e, since)
	}
}

// lookUpEndpoint gives the state of a listed endpoint, or nil. Where that is kept on demand, it is loaded for
// a fact that binds.
func (d *Dispatcher) lookUpEndpoint(id string, binds bool) *endpoint {
	if ep := d.endpoints[id]; ep != nil || !binds || !d.onDemand() {
		return ep
	}
	if no, listed := d.settings.Directory.Destination(id); listed {
		d.destination(no)
	}
	return d.endpoints[id]
}

// sharedQueue gives the queue of a known destination whose endpoints share one, or nil. State is loaded as by
// lookUp.
func (d *Dispatcher) sharedQueue(no int, binds bool) *queue {
	dest := d.destinations[no]
	if dest == nil && binds && d.onDemand() && len(d.settings.Directory.Endpoints(no)) > 0 {
		dest = d.destination(no)
	}
	if dest == nil || dest.queues[0].separateRoute {
		return nil
	}
	return dest.queues[0]
}

// affectsState tells whether an entry of the list has a bearing on state that is kept.
func (d *Dispatcher) affectsState(e Endpoint) bool {
	if !d.onDemand() || d.endpoints[e.ID] != nil {
		return true
	}
	return !e.Removed && (d.destinations[e.Destination] != nil || d.joinsAsCanary(e))
}

// joinsAsCanary tells whether a listed endpoint is new beside an older one, so that it has to be on trial.
func (d *Dispatcher) joinsAsCanary(e Endpoint) bool {
	if !d.youngEnoughForCanary(e) {
		return false
	}
	return slices.ContainsFunc(d.settings.Directory.Endpoints(e.Destination), func(o Endpoint) bool { return !d.youngEnoughForCanary(o) })
}

// markIdle notes that a destination has become idle now.
func (d *Dispatcher) markIdle(dest *destination) {
	if !d.onDemand() {
		return
	}
	dest.idleSince = d.now
	if dest.idleElement == nil {
		dest.idleElement = d.idleDestinations.PushBack(dest)
	} else {
		d.idleDestinations.MoveToBack(dest.idleElement)
	}
}

// evictIdle drops the state of destinations that have been idle for long. It looks at the front of the idle
// ones alone, so that a batch does no work for the others.
func (d *Dispatcher) evictIdle() {
	for range maxEvictionsPerBatch {
		front := d.idleDestinations.Front()
		if front == nil {
			return
		}
		dest := front.Value.(*destination)
		switch {
		case d.now.Sub(dest.idleSince) < stateIdleTimeout:
			return
		case slices.ContainsFunc(dest.queues, func(q *queue) bool { return q.active }):
			d.idleDestinations.Remove(front) // it comes back when it is idle
			dest.idleElement = nil
		case slices.ContainsFunc(dest.queues, func(q *queue) bool { return !d.evictable(q) }):
			d.markIdle(dest) // looked at again after as long
		default:
			d.evict(dest)
		}
	}
}

// evict drops the state of a destination and its endpoints.
func (d *Dispatcher) evict(dest *destination) {
	d.idleDestinations.Remove(dest.idleElement)
	dest.idleElement = nil
	delete(d.destinations, dest.number)
	for _, q := range dest.queues {
		d.removeQueue(q)
		for _, ep := range q.endpoints {
			delete(d.endpoints, ep.ID)
		}
	}
}

// evictable tells whether nothing that is known of an idle queue binds: no wait, pause or finding of the
// fleet in force, no refusals or failures in a row, no outage or return from one, no connection limit, no
// trial, and no part of its pace that is used up. What is forgotten then are estimates.
func (d *Dispatcher) evictable(q *queue) bool {
	allowance, depth := q.limiter.bucket, math.Max(1, q.limiter.rate*rateWindow.Seconds())
	used := q.limiter.rate > 0 && allowance.refill(d.now, q.limiter.rate, depth) < depth
	paused := d.now < max(q.circuit.retryAfterUntil, q.circuit.backoffUntil, q.circuit.announcedUntil, q.peers.rateUntil)
	if used || paused || q.peerReport.valid(d.now) || q.circuit.consecutiveRejections > 0 || q.outageSuspected {
		return false
	}
	return !slices.ContainsFunc(q.endpoints, d.endpointInUse)
}

// endpointInUse tells whether something that is known of an endpoint without a call out binds.
func (d *Dispatcher) endpointInUse(ep *endpoint) bool {
	cold := ep.outlier.ejected || ep.slowStart.active && d.timeSinceRecovery(ep) < d.settings.SlowStartWindow
	capped := ep.connections.full(d.now, d.settings.IdleConnTimeout) && d.now.Sub(max(ep.lastUsedAt, ep.connections.fullAt)) < d.settings.IdleConnTimeout
	paused := d.now < ep.resourceBackoff.until
	return cold || capped || paused || ep.outlier.consecutiveFailures > 0 || ep.canary != nil || ep.peerReport.valid(d.now)
}
