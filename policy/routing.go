package policy

import (
	"math"
	"slices"
	"time"
)

// maxRoutingDelay bounds the delay, in seconds, that the cost of a route is estimated for.
const maxRoutingDelay = 1e6

// selectQueue chooses the queue of a message. Among separate routes it takes the one of least added cost.
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

// routeCost is the added cost of a message on a route, in the manner of rule (25) of the paper: the value
// lost by lateness, the price of the zone, and the work left (priced so that a whole deadline of it costs one
// message).
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

// reroute lets the waiting messages of a queue choose their route again.
func (d *Dispatcher) reroute(q *queue) {
	for _, m := range slices.Clone(q.waiting) {
		m.dequeue()
		d.enqueue(d.selectQueue(m), m)
	}
}
