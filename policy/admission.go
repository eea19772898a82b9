package policy

import (
	"math"
	"time"
)

const (
	// minDeliveryValue is the share of its value that a message must still have at delivery while its queue
	// is overloaded: one that is admitted later takes the place of one that would be on time.
	minDeliveryValue = 0.8
	// overloadThreshold is the share of Settings.QueueCapacity above which queues that hold much of it shed
	// load, so that no queue takes all of it.
	overloadThreshold = 0.75
)

// recordVirtualArrival feeds an arrival to the copy of a queue under the basic rule alone.
func (d *Dispatcher) recordVirtualArrival(q *queue, τ float64) {
	q.virtualBacklog = math.Max(0, q.virtualBacklog-d.now.Sub(q.virtualUpdatedAt).Seconds())
	q.virtualUpdatedAt = d.now
	if q.virtualBacklog > τ {
		q.misses.add(d.now, 1)
		return
	}
	q.virtualBacklog += q.sendInterval(d.now)
}

// admit refuses an arriving message at once or puts it into a queue.
func (d *Dispatcher) admit(m *message) {
	q := d.selectQueue(m)
	q.arrivals.add(d.now, 1)
	left := m.expiresAt.Sub(d.now).Seconds()
	u, x := d.queueingDelay(q), q.byClass[m.Class]
	λ, r := q.arrivals.rate(d.now), q.misses.rate(d.now)
	d.recordVirtualArrival(q, left-x)
	if λ*q.sendInterval(d.now) > 1 {
		left = math.Min(left, d.overloadAgeLimit(m.class).Seconds()) // little time left need not be age
	}
	room := overloadThreshold * float64(d.settings.QueueCapacity)
	much := float64(len(q.waiting)) > room/2 || q.allEjected() // those that are out leave room for the others
	crowded := float64(len(d.unfinished)) > room && much || len(d.unfinished) > d.settings.QueueCapacity
	if crowded {
		d.reject(m, u+2*x-left, ReasonOverloaded)
		return
	}
	if exceedsDelayBound(u, x, left-x, λ-r, len(q.waiting) > 0) {
		d.reject(m, u+2*x-left, ReasonBacklog)
		return
	}
	d.enqueue(q, m)
}

// overloadAgeLimit is the age at which a class, or one worth as much or more that would wait behind it, falls
// under keepWorth: messages worth little and patient must not fill a queue against urgent ones.
func (d *Dispatcher) overloadAgeLimit(c *Class) time.Duration {
	age := c.ageAt(minDeliveryValue)
	for i := range d.settings.Classes {
		if k := &d.settings.Classes[i]; k.PriorityWeight >= c.PriorityWeight {
			age = min(age, k.ageAt(minDeliveryValue))
		}
	}
	return age
}

// exceedsDelayBound is the rule of the paper: the basic rule u > τ, and where messages are held the
// value-function bound (λ−r)(u+x−τ) ≥ 1 (which holds for every u once x ≥ τ + 1/(λ−r)).
func exceedsDelayBound(u, x, τ, net float64, held bool) bool {
	if u > τ {
		return true
	}
	return net > 0 && held && u > 0 && (net*(u+x-τ) >= 1 || x >= τ+1/net)
}
