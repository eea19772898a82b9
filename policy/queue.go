package policy

import (
	"container/list"
	"slices"
	"sort"

	"milletsail/internal/instant"
)

// destination holds the queues of one destination: a single queue, or one for each separate route.
type destination struct {
	number int
	queues []*queue // never empty; queues[0] also holds messages while no endpoint is listed
	// idleElement is the element of stateStore.idle that holds the destination, or nil.
	idleElement *list.Element
	// idleSince is the time at which the destination became idle or its state was loaded, or at which
	// evictIdle last postponed its eviction.
	idleSince instant.Time
}

// queue is one first-come queue: the messages that wait for a destination, or for one of its routes, and the
// state of the mechanisms that limit it.
type queue struct {
	destination *destination
	endpoints   []*endpoint
	waiting     []*message // waiting messages, in the order of arrival
	calls       []*call    // calls in flight, in the order of sending

	kind          int
	maxBatch      int  // largest number of messages in one call
	separateRoute bool // whether the only endpoint is a route with a limit of its own
	active        bool // whether the queue is in Dispatcher.active
	index         int  // index in Dispatcher.queues

	// The circuit is kept next to the waiting messages, in the same cache line, because dispatch reads it for
	// every active queue.
	circuit            circuitBreaker
	limiter            sendRateLimiter
	admission          admissionController
	latency            latencyEstimate
	typicalConcurrency float64    // mean number of calls in flight, sampled at each success
	peerReport         peerReport // report of other relays on the destination
	// probedAt is when the last call was sent to an ejected endpoint, or to any endpoint while singleProber
	// held.
	probedAt instant.Time
	peers    peerTraffic
	locality localityBalancer
	baseline []failureRate // failure rate of endpoints that are not canaries, by class

	lastSuccessAt instant.Time // 0 for never
	// acceptedElsewhereAt is the send time of the last call of another relay that the destination is known to
	// have accepted after it rejected one of this relay; 0 for none.
	acceptedElsewhereAt instant.Time
	// isolatedAt is the time at which an endpoint answered right after a failure at another one, so that the
	// outage did not take the whole destination; 0 for never.
	isolatedAt      instant.Time
	slowStartBucket tokenBucket // calls that the slow start budget of the queue allows
	outageSuspected bool        // whether an endpoint was ejected and none has succeeded or recovered since
}

// enqueue inserts a message into a queue at its place in the order of arrival.
func (d *Dispatcher) enqueue(q *queue, m *message) {
	i := sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].sequence > m.sequence })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = m
	m.queue = q
	d.activate(q)
}

// activate adds a queue that has waiting messages or calls in flight to the active queues.
func (d *Dispatcher) activate(q *queue) {
	if !q.active {
		q.active = true
		d.active = append(d.active, q)
	}
}

// deactivateIdle removes queues without waiting messages or calls from the active queues. Those that have no
// endpoint either are removed altogether.
func (d *Dispatcher) deactivateIdle() {
	d.active = slices.DeleteFunc(d.active, func(q *queue) bool {
		q.active = len(q.waiting) > 0 || len(q.calls) > 0
		if !q.active {
			d.removeUnusedQueue(q)
			d.markIdle(q.destination)
		}
		return !q.active
	})
}

// removeUnusedQueue removes a queue without endpoints, messages and calls, unless it is the only queue of its
// destination.
func (d *Dispatcher) removeUnusedQueue(q *queue) {
	if len(q.endpoints) > 0 || q.active || q.destination.queues[0] == q && len(q.destination.queues) == 1 {
		return
	}
	q.destination.queues = remove(q.destination.queues, q)
	d.removeQueue(q)
}

// removeQueue removes a queue from the list of all queues and keeps their order. With state on demand,
// queues come and go often and their order has no meaning; there the last queue moves into the gap, in
// constant time.
func (d *Dispatcher) removeQueue(q *queue) {
	if d.onDemand() {
		last := len(d.queues) - 1
		d.queues[q.index] = d.queues[last]
		d.queues[q.index].index = q.index
		d.queues[last] = nil
		d.queues = d.queues[:last]
		return
	}
	d.queues = slices.Delete(d.queues, q.index, q.index+1)
	for _, later := range d.queues[q.index:] {
		later.index--
	}
}

// destination returns the state of a destination, which it creates or loads if necessary.
func (d *Dispatcher) destination(number int) *destination {
	if dest := d.destinations[number]; dest != nil {
		return dest
	}
	dest := &destination{number: number}
	d.destinations[number] = dest
	if d.onDemand() {
		d.loadDestination(dest)
	} else {
		d.addQueue(dest, d.now)
	}
	return dest
}

// addQueue adds a queue, whose counters start at the given time, to a destination.
func (d *Dispatcher) addQueue(dest *destination, since instant.Time) *queue {
	classes := len(d.settings.Classes)
	q := &queue{
		destination: dest,
		maxBatch:    1,
		index:       len(d.queues),
		admission:   newAdmissionController(since),
		latency:     latencyEstimate{byClass: make([]float64, classes)},
		limiter:     sendRateLimiter{bucket: tokenBucket{updatedAt: since}},
		baseline:    make([]failureRate, classes),
	}
	dest.queues = append(dest.queues, q)
	d.queues = append(d.queues, q)
	return q
}

// acceptsCalls reports whether a queue has an endpoint that is listed and not draining.
func (q *queue) acceptsCalls() bool {
	for _, ep := range q.endpoints {
		if !ep.Draining && !ep.Removed {
			return true
		}
	}
	return false
}

// allEjected reports whether a queue has endpoints and all of them are ejected.
func (q *queue) allEjected() bool {
	for _, ep := range q.endpoints {
		if !ep.outlier.ejected {
			return false
		}
	}
	return len(q.endpoints) > 0
}
