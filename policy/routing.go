package policy

import (
	"math"
	"time"
)

// selectQueue chooses the queue of a message. Among routes apart it takes the least added cost, in the manner
// of the paper's rule (25): worth lost by lateness, the fee, and the work left (priced so that a whole
// deadline of it costs one message).
func (d *Dispatcher) selectQueue(m *message) *queue {
	dest := d.destination(m.Destination)
	best, least := dest.queues[0], math.Inf(1)
	for _, q := range dest.queues {
		d.applyLatencyPrior(q)
		if !q.separateRoute || !q.acceptsCalls() {
			continue
		}
		done := d.queueingDelay(q) + math.Max(q.latency.byClass[m.Class], d.currentLatency(q))
		late := m.expiresAt.Sub(d.now) - time.Duration(math.Min(done, 1e6)*float64(time.Second))
		cost := m.class.PriorityWeight*(1-m.class.valueAt(m.class.Deadline-late)) +
			d.meanPriority*done/m.class.Deadline.Seconds()
		if zone := q.endpoints[0].Zone; zone >= 0 && zone < len(d.settings.ZoneCost) {
			cost += d.settings.ZoneCost[zone] * d.meanPriority
		}
		if cost < least {
			best, least = q, cost
		}
	}
	return best
}

// reroute lets the held messages of a queue choose their route again.
func (d *Dispatcher) reroute(q *queue) {
	for _, m := range append([]*message(nil), q.waiting...) {
		m.dequeue()
		d.enqueue(d.selectQueue(m), m)
	}
}
