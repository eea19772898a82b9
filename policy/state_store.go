package policy

import (
	"container/list"
	"slices"
	"time"

	"milletsail/internal/instant"
)

const (
	// stateIdleTimeout is the idle time after which state that is kept on demand may be dropped: the counters
	// have decayed, send rates have recovered, and latencies need not be what they were.
	stateIdleTimeout = 2 * time.Minute
	// maxEvictionsPerBatch bounds the destinations that one batch evicts.
	maxEvictionsPerBatch = 32
)

// stateStore holds the destinations whose state may be dropped, where state is kept on demand
// (Settings.Directory).
type stateStore struct {
	// idle holds each *destination that became idle, by idleSince; some may have become active again.
	idle list.List
}

// markIdle notes that a destination became idle.
func (s *stateStore) markIdle(dest *destination, now instant.Time) {
	dest.idleSince = now
	if dest.idleElement == nil {
		dest.idleElement = s.idle.PushBack(dest)
	} else {
		s.idle.MoveToBack(dest.idleElement)
	}
}

// longestIdle returns the destination that is idle for the longest time, or nil.
func (s *stateStore) longestIdle() *destination {
	front := s.idle.Front()
	if front == nil {
		return nil
	}
	dest, _ := front.Value.(*destination)
	return dest
}

// remove takes a destination out of the idle ones.
func (s *stateStore) remove(dest *destination) {
	s.idle.Remove(dest.idleElement)
	dest.idleElement = nil
}

// onDemand reports whether state is kept only for destinations in use.
func (d *Dispatcher) onDemand() bool { return d.settings.Directory != nil && !d.settings.Zones }

// loadDestination loads the state of a destination from the directory. What is listed counts as listed since
// the first EndpointsUpdated, so its counters and its send rate are what they would be had state been kept
// all the time.
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

// lookUpEndpoint returns the state of a listed endpoint, or nil. Where state is kept on demand, load says
// whether it is to be loaded.
func (d *Dispatcher) lookUpEndpoint(id string, load bool) *endpoint {
	if ep := d.endpoints[id]; ep != nil || !load || !d.onDemand() {
		return ep
	}
	if number, listed := d.settings.Directory.Destination(id); listed {
		d.destination(number)
	}
	return d.endpoints[id]
}

// sharedQueue returns the queue of a known destination whose endpoints share one, or nil. Where state is kept
// on demand, load says whether it is to be loaded.
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

// affectsState reports whether an entry of the endpoint list concerns state that is kept, or has to be.
func (d *Dispatcher) affectsState(listed Endpoint) bool {
	if !d.onDemand() || d.endpoints[listed.ID] != nil {
		return true
	}
	return !listed.Removed && (d.destinations[listed.Destination] != nil || d.joinsAsCanary(listed))
}

// joinsAsCanary reports whether a listed endpoint is new beside an older one, so that it has to be on trial.
func (d *Dispatcher) joinsAsCanary(listed Endpoint) bool {
	if !d.youngEnoughForCanary(listed) {
		return false
	}
	isOlder := func(other Endpoint) bool { return !d.youngEnoughForCanary(other) }
	return slices.ContainsFunc(d.settings.Directory.Endpoints(listed.Destination), isOlder)
}

// markIdle notes that a destination became idle, where state is kept on demand.
func (d *Dispatcher) markIdle(dest *destination) {
	if d.onDemand() {
		d.store.markIdle(dest, d.now)
	}
}

// evictIdle drops the state of destinations that have been idle for stateIdleTimeout. It looks only at those
// that are idle for the longest time, so that a batch does no work for the others.
func (d *Dispatcher) evictIdle() {
	for range maxEvictionsPerBatch {
		dest := d.store.longestIdle()
		switch {
		case dest == nil || d.now.Sub(dest.idleSince) < stateIdleTimeout:
			return
		case dest.active():
			d.store.remove(dest) // it is added again when it becomes idle
		case slices.ContainsFunc(dest.queues, d.stateNeeded):
			d.markIdle(dest) // to be looked at again after another stateIdleTimeout
		default:
			d.evict(dest)
		}
	}
}

// active reports whether a queue of the destination has messages waiting or calls out.
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

// stateNeeded reports whether the state of an idle queue limits it: a pause, a report of other relays,
// consecutive rejections or failures, an ejection or slow start, a connection limit, a canary, or a send rate
// that is partly used up. The rest are estimates, which may be dropped.
func (d *Dispatcher) stateNeeded(q *queue) bool {
	bucket, burst := q.limiter.bucket, q.limiter.burst()
	rateUsed := q.limiter.rate > 0 && bucket.refill(d.now, q.limiter.rate, burst) < burst
	paused := d.now < max(q.circuit.pausedUntil(), q.circuit.announcedUntil, q.peers.rateUntil)
	suspected := q.peerReport.valid(d.now) || q.circuit.consecutiveRejections > 0 || q.outageSuspected
	return rateUsed || paused || suspected || slices.ContainsFunc(q.endpoints, d.endpointStateNeeded)
}

// endpointStateNeeded reports whether the state of an endpoint without calls limits it.
func (d *Dispatcher) endpointStateNeeded(ep *endpoint) bool {
	slowStarting := ep.slowStart.active && d.timeSinceRecovery(ep) < d.settings.SlowStartWindow
	lastUsedAt := max(ep.lastUsedAt, ep.connections.fullAt)
	connectionsLimited := ep.connections.full(d.now, d.settings.IdleConnTimeout) &&
		d.now.Sub(lastUsedAt) < d.settings.IdleConnTimeout
	paused := d.now < ep.resourceBackoff.until
	suspected := ep.outlier.consecutiveFailures > 0 || ep.peerReport.valid(d.now)
	return ep.outlier.ejected || slowStarting || connectionsLimited || paused || suspected || ep.canary != nil
}
