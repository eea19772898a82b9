package policy

import (
	"container/list"
	"slices"
	"sort"
	"time"

	"milletsail/internal/instant"
)

// This file holds destinations and their queues.

// destination is where messages go: one queue, or one for each route.
type destination struct {
	no     int
	queues []*queue // routes, or the one shared queue; queues[0] also serves while nothing is listed
	// idleElement is the destination's place in Dispatcher.idle, or nil; idleSince is when it was put there.
	idleElement *list.Element
	idleSince   instant.Time
}

// queue is one first-come queue of the paper.
type queue struct {
	dest   *destination
	eps    []*endpoint
	held   []*message
	out    []*call
	width  float64 // mean number of calls out at a success
	served int     // the turn in which it was last served
	latencies
	kind      int
	waitUntil instant.Time
	holdUntil instant.Time // our own pause after a refusal without a wait
	toldUntil instant.Time // other relays know of a refusal up to then
	refusedAt instant.Time // when the last call was sent that a pause is for
	cutAt     instant.Time // of the pace
	climbedAt instant.Time
	pause     time.Duration    // the last after a refusal that told no wait
	fulls     int              // refusals in a row
	firstFull instant.Time     // of the refusals in a row
	lastOK    instant.Time     // 0 for never
	weight    float64          // calls a second that all relays may make; 0 for unknown
	pace      float64          // calls a second of this relay; 0 for unknown
	bucket                     // of the pace
	word      word             // of the fleet, on the destination
	triedAt   instant.Time     // when what is out or fenced last got a call
	row       []float64        // part of the own zone's messages that each zone serves; nil for all at home
	press     float64          // part of the calls for which the own zone has no room, as learned
	owed      map[int]float64  // calls that are to go to another zone
	paced     PeerRateReceived // by other relays; used until pacedTo
	pacedTo   instant.Time
	failing   []failing // at older endpoints, by class
	arrivals  aged
	misses    aged // of the virtual copy under the basic rule
	copyWork  float64
	copyAt    instant.Time
	bundle    int
	apart     bool
	active    bool // among Dispatcher.active
	index     int  // in Dispatcher.queues
	ill       bool // the last that was heard of an endpoint's health was bad
}

// hold puts a message into a queue, by its order of arrival.
func (d *Dispatcher) hold(q *queue, m *message) {
	i := sort.Search(len(q.held), func(i int) bool { return q.held[i].seq > m.seq })
	q.held = append(q.held, nil)
	copy(q.held[i+1:], q.held[i:])
	q.held[i] = m
	m.q = q
	d.wake(q)
}

// wake notes that a queue has something to do.
func (d *Dispatcher) wake(q *queue) {
	if !q.active {
		q.active = true
		d.active = append(d.active, q)
	}
}

// rest drops the queues that have nothing to do from the active ones, and forgets routes that left.
func (d *Dispatcher) rest() {
	d.active = slices.DeleteFunc(d.active, func(q *queue) bool {
		q.active = len(q.held) > 0 || len(q.out) > 0
		if !q.active {
			d.forget(q)
			d.markIdle(q.dest)
		}
		return !q.active
	})
}

// forget drops a queue without endpoints and work, unless it is the one that stands for its destination.
func (d *Dispatcher) forget(q *queue) {
	if len(q.eps) > 0 || q.active || q.dest.queues[0] == q && len(q.dest.queues) == 1 {
		return
	}
	q.dest.queues = remove(q.dest.queues, q)
	d.removeQueue(q)
}

// removeQueue takes a queue out of the list of all queues, which keeps its order; on demand, where many come and go and
// the order says nothing, the last one takes its place.
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

// reroute lets the held messages of a queue choose their route again.
func (d *Dispatcher) reroute(q *queue) {
	for _, m := range append([]*message(nil), q.held...) {
		m.release()
		d.hold(d.route(m), m)
	}
}

// dest gives a destination, with one queue at least.
func (d *Dispatcher) dest(no int) *destination {
	if dest := d.dests[no]; dest != nil {
		return dest
	}
	dest := &destination{no: no}
	d.dests[no] = dest
	if d.onDemand() {
		d.load(dest)
	} else {
		d.addQueue(dest, 1, false, d.now)
	}
	return dest
}

// addQueue adds a queue to a destination that counts since a moment.
func (d *Dispatcher) addQueue(dest *destination, bundle int, apart bool, since instant.Time) *queue {
	q := &queue{
		dest:      dest,
		bundle:    max(1, bundle),
		apart:     apart,
		failing:   make([]failing, len(d.s.Classes)),
		latencies: latencies{class: make([]float64, len(d.s.Classes))},
		bucket:    bucket{tokensAt: since},
		arrivals:  aged{since: since},
		misses:    aged{since: since},
		index:     len(d.queues),
	}
	dest.queues = append(dest.queues, q)
	d.queues = append(d.queues, q)
	return q
}

// usable tells whether a queue has an endpoint that takes new work.
func (q *queue) usable() bool {
	for _, ep := range q.eps {
		if !ep.Draining && !ep.Removed {
			return true
		}
	}
	return false
}

// down tells whether all endpoints of a queue are out.
func (q *queue) down() bool {
	return len(q.eps) > 0 && !slices.ContainsFunc(q.eps, func(ep *endpoint) bool { return !ep.sick })
}

// calls is how many calls n messages of a queue travel in.
func (q *queue) calls(n int) float64 { return float64(n) / float64(q.bundle) }

// even is this relay's even share of a queue's limit, in calls a second.
func (d *Dispatcher) even(q *queue) float64 { return q.weight / d.there() }
