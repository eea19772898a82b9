package policy

import (
	"container/list"
	"slices"
	"sort"

	"milletsail/internal/instant"
)

// destination is where messages go: one queue, or one for each route.
type destination struct {
	number int
	queues []*queue // routes, or the one shared queue; queues[0] also serves while nothing is listed
	// idleElement is the destination's place in stateStore.idle, or nil.
	idleElement *list.Element
	idleSince   instant.Time // when it was put there
}

// queue is one first-come queue of the paper: the messages that wait for a destination, or for one of its
// routes, and what each mechanism knows of it.
type queue struct {
	destination *destination
	endpoints   []*endpoint
	waiting     []*message // in the order of arrival
	calls       []*call    // out, in the order of sending

	kind          int
	maxBatch      int  // messages in one call
	separateRoute bool // its one endpoint is a route with a limit of its own
	active        bool // among Dispatcher.active
	index         int  // in Dispatcher.queues

	// dispatch reads the circuit of every active queue, so it stands near the waiting messages (in one cache
	// line).
	circuit            circuitBreaker
	limiter            sendRateLimiter
	admission          admissionController
	latency            latencyEstimate
	typicalConcurrency float64      // mean number of calls out at a success
	peerReport         peerReport   // on the destination
	probedAt           instant.Time // when the ejected or rejecting destination last got a call
	peers              peerTraffic
	locality           localityBalancer
	baseline           []failureRate // of endpoints that are no canaries, by class

	lastSuccessAt   instant.Time // 0 for never
	outageSuspected bool         // the last that is known of an endpoint's health is bad
}

// enqueue puts a message into a queue, by its order of arrival.
func (d *Dispatcher) enqueue(q *queue, m *message) {
	i := sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].sequence > m.sequence })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = m
	m.queue = q
	d.activate(q)
}

// activate adds a queue with messages waiting or calls out to the active ones.
func (d *Dispatcher) activate(q *queue) {
	if !q.active {
		q.active = true
		d.active = append(d.active, q)
	}
}

// deactivateIdle removes the queues without messages and calls from the active ones, and those of removed
// routes altogether.
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

// removeUnusedQueue removes a queue without endpoints, messages and calls, unless it is its destination's
// only one.
func (d *Dispatcher) removeUnusedQueue(q *queue) {
	if len(q.endpoints) > 0 || q.active || q.destination.queues[0] == q && len(q.destination.queues) == 1 {
		return
	}
	q.destination.queues = remove(q.destination.queues, q)
	d.removeQueue(q)
}

// removeQueue takes a queue out of the list of all queues, which keeps its order. Where state is kept on
// demand, many come and go and the order has no meaning: there the last one takes its place.
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

// destination returns a destination, which has one queue at least.
func (d *Dispatcher) destination(no int) *destination {
	if dest := d.destinations[no]; dest != nil {
		return dest
	}
	dest := &destination{number: no}
	d.destinations[no] = dest
	if d.onDemand() {
		d.loadDestination(dest)
	} else {
		d.addQueue(dest, d.now)
	}
	return dest
}

// addQueue adds a queue to a destination, whose counters start at a moment.
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

// acceptsCalls reports whether a queue has an endpoint that gets new calls.
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
