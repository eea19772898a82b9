package policy

import (
	"container/list"
	"slices"
	"time"

	"milletsail/internal/instant"
)

const (
	// stateIdleTimeout is the idle time after which state that is kept on demand may be dropped. By then the
	// counters have decayed, send rates have recovered, and latencies may be outdated.
	stateIdleTimeout = 2 * time.Minute
	// maxEvictionsPerBatch bounds the number of destinations that one batch examines for eviction.
	maxEvictionsPerBatch = 32
)

// stateStore keeps track of idle destinations, so that their state can be evicted. It is used only if state
// is kept on demand (see Settings.Directory).
type stateStore struct {
	// idle holds a *destination for each one that became idle, ordered by idleSince. It can
	// contain destinations that are active again until evictIdle removes them.
	idle list.List
}

// markIdle records that a destination became idle.
func (s *stateStore) markIdle(dest *destination, now instant.Time) {
	dest.idleSince = now
	if dest.idleElement == nil {
		dest.idleElement = s.idle.PushBack(dest)
	} else {
		s.idle.MoveToBack(dest.idleElement)
	}
}

// longestIdle returns the destination of the list with the earliest idleSince, or nil if the list is empty.
// The destination may be active again.
func (s *stateStore) longestIdle() *destination {
	front := s.idle.Front()
	if front == nil {
		return nil
	}
	dest, _ := front.Value.(*destination)
	return dest
}

// remove removes a destination from the idle ones.
func (s *stateStore) remove(dest *destination) {
	s.idle.Remove(dest.idleElement)
	dest.idleElement = nil
}

// onDemand reports whether state is kept only for destinations in use; see Settings.Directory.
func (d *Dispatcher) onDemand() bool { return d.settings.Directory != nil && !d.settings.Zones }

// loadDestination creates the state of a destination from the directory. Its endpoints count as listed since
// the first EndpointsUpdated, so counters and the send rate have the values that they would have if the state
// had been kept all the time.
func (d *Dispatcher) loadDestination(dest *destination) {
	endpoints, since := d.settings.Directory.Endpoints(dest.number), d.now
	if len(endpoints) > 0 {
		since = min(d.now, d.watch.firstListedAt)
	}
	d.addQueue(dest, since)
	d.markIdle(dest)
	for _, listed := range endpoints {
		d.updateEndpoint(listed, since)
	}
}

// lookUpEndpoint returns the state of a listed endpoint, or nil. If state is kept on demand, load determines
// whether missing state is loaded.
func (d *Dispatcher) lookUpEndpoint(id string, load bool) *endpoint {
	if ep := d.endpoints[id]; ep != nil || !load || !d.onDemand() {
		return ep
	}
	if number, listed := d.settings.Directory.Destination(id); listed {
		d.destination(number)
	}
	return d.endpoints[id]
}

// sharedQueue returns the queue that the endpoints of a destination share, or nil if the destination is
// unknown or has separate routes. If state is kept on demand, load determines whether missing state is
// loaded.
func (d *Dispatcher) sharedQueue(number int, load bool) *queue {
	dest := d.destinations[number]
	if dest == nil && load && d.onDemand() && len(d.settings.Directory.Endpoints(number)) > 0 {
		dest = d.destination(number)
	}
	if dest == nil || dest.queues[0].separateRoute {
		return nil
	}
	return dest.queues[0]
}

// affectsState reports whether an entry of the endpoint list concerns state that is loaded or must be loaded.
func (d *Dispatcher) affectsState(listed Endpoint) bool {
	if !d.onDemand() || d.endpoints[listed.ID] != nil {
		return true
	}
	return !listed.Removed && (d.destinations[listed.Destination] != nil || d.joinsAsCanary(listed))
}

// joinsAsCanary reports whether a listed endpoint is new and its destination has an older one, so that it
// starts as a canary.
func (d *Dispatcher) joinsAsCanary(listed Endpoint) bool {
	if !d.youngEnoughForCanary(listed) {
		return false
	}
	isOlder := func(other Endpoint) bool { return !d.youngEnoughForCanary(other) }
	return slices.ContainsFunc(d.settings.Directory.Endpoints(listed.Destination), isOlder)
}

// markIdle records that a destination became idle, if state is kept on demand.
func (d *Dispatcher) markIdle(dest *destination) {
	if d.onDemand() {
		d.store.markIdle(dest, d.now)
	}
}

// evictIdle drops the state of destinations that have been idle for stateIdleTimeout, unless it still limits
// them (stateNeeded). It examines only the longest idle ones, so that the cost of a batch does not grow with
// the number of destinations.
func (d *Dispatcher) evictIdle() {
	for range maxEvictionsPerBatch {
		dest := d.store.longestIdle()
		switch {
		case dest == nil || d.now.Sub(dest.idleSince) < stateIdleTimeout:
			return
		case dest.active():
			d.store.remove(dest) // it is added again when it becomes idle
		case slices.ContainsFunc(dest.queues, d.stateNeeded):
			d.markIdle(dest) // examined again after another stateIdleTimeout
		default:
			d.evict(dest)
		}
	}
}

// active reports whether a queue of the destination has messages waiting or calls in flight.
func (dest *destination) active() bool {
	return slices.ContainsFunc(dest.queues, func(q *queue) bool { return q.active })
}

// evict drops the state of a destination and its endpoints.
func (d *Dispatcher) evict(dest *destination) {
	d.store.remove(dest)
	delete(d.destinations, dest.number)
	for _, q := range dest.queues {
		d.removeQueue(q)
		for _, ep := range q.endpoints {
			delete(d.endpoints, ep.ID)
		}
	}
}

// stateNeeded reports whether the state of an idle queue still limits it: a pause, a report of other relays,
// consecutive rejections or failures, an ejection or slow start, a connection limit, a canary, or a send rate
// whose tokens are partly used. Other state consists of estimates, which may be dropped.
func (d *Dispatcher) stateNeeded(q *queue) bool {
	bucket, burst := q.limiter.bucket, q.limiter.burst()
	rateUsed := q.limiter.rate > 0 && bucket.refill(d.now, q.limiter.rate, burst) < burst
	paused := d.now < max(q.circuit.pausedUntil(), q.circuit.announcedUntil, q.peers.rateUntil)
	suspected := q.peerReport.valid(d.now) || q.circuit.consecutiveRejections > 0 || q.outageSuspected
	return rateUsed || paused || suspected || slices.ContainsFunc(q.endpoints, d.endpointStateNeeded)
}

// endpointStateNeeded reports whether the state of an endpoint without calls limits it.
func (d *Dispatcher) endpointStateNeeded(ep *endpoint) bool {
	lastUsedAt := max(ep.lastUsedAt, ep.connections.fullAt)
	connectionsLimited := ep.connections.full(d.now, d.settings.IdleConnTimeout) &&
		d.now.Sub(lastUsedAt) < d.settings.IdleConnTimeout
	paused := d.now < ep.resourceBackoff.until
	limited := d.mayBeLimited(ep) || ep.peerReport.valid(d.now)
	return limited || connectionsLimited || paused || ep.canary != nil
}
