package policy

import (
	"math"
	"slices"
	"time"
)

// maxRoutingDelay bounds the delay, in seconds, for which the cost of a route is computed, so that it can be
// converted to a time.Duration.
const maxRoutingDelay = 1e6

// selectQueue returns the queue for a message: among separate routes that accept calls, the one with the
// lowest routeCost; without such routes, the first queue of the destination.
func (d *Dispatcher) selectQueue(m *message) *queue {
	destination := d.destination(m.Destination)
	best, lowest := destination.queues[0], math.Inf(1)
	for _, candidate := range destination.queues {
		candidate.latency.applyPrior(d.latencyPriors.get(candidate.kind))
		if !candidate.separateRoute || !candidate.acceptsCalls() {
			continue
		}
		if cost := d.routeCost(candidate, m); cost < lowest {
			best, lowest = candidate, cost
		}
	}
	return best
}

// routeCost returns the cost of sending a message on a route, similar to rule (25) of the paper that
// admissionController follows: the value lost by late delivery, plus the cost of the zone, plus a charge for
// the work waiting on the route. A delay as long as Class.Deadline is charged as one message of mean
// priority.
func (d *Dispatcher) routeCost(route *queue, m *message) float64 {
	delay := d.queueingDelay(route) + math.Max(route.latency.byClass[m.Class], route.currentLatency(d.now))
	timeLeft := m.expiresAt.Sub(d.now) - time.Duration(math.Min(delay, maxRoutingDelay)*float64(time.Second))
	cost := m.class.PriorityWeight*(1-m.class.valueAt(m.class.Deadline-timeLeft)) +
		d.meanPriority*delay/m.class.Deadline.Seconds()
	if zone := route.endpoints[0].Zone; zone >= 0 && zone < len(d.settings.ZoneCost) {
		cost += d.settings.ZoneCost[zone] * d.meanPriority
	}
	return cost
}

// reroute lets every waiting message of a queue choose a route again.
func (d *Dispatcher) reroute(q *queue) {
	for _, m := range slices.Clone(q.waiting) {
		m.dequeue()
		d.enqueue(d.selectQueue(m), m)
	}
}
