package policy

import (
	"math"
	"milletsail/internal/instant"
	"time"
)

const (
	// minDeliveryValue is the share of its value that a message must still have at delivery while its queue is
	// overloaded: one that is admitted later takes the place of one that would be on time.
	minDeliveryValue = 0.8
	// overloadThreshold is the share of Settings.QueueCapacity above which queues that hold much of it shed load, so
	// that no queue takes all of it.
	overloadThreshold = 0.75
)

// recordVirtualArrival feeds an arrival to the copy of a queue under the basic rule alone.
func (d *Dispatcher) recordVirtualArrival(q *queue, τ float64) {
	q.admission.virtualBacklog = math.Max(0, q.admission.virtualBacklog-d.now.Sub(q.admission.virtualUpdatedAt).Seconds())
	q.admission.virtualUpdatedAt = d.now
	if q.admission.virtualBacklog > τ {
		q.admission.misses.add(d.now, 1)
		return
	}
	q.admission.virtualBacklog += q.sendInterval(d.now)
}

// admissionController estimates what admission control needs to know of one queue.
type admissionController struct {
	arrivals decayingCounter // λ: messages that arrive
	misses   decayingCounter // r: those of them that the basic rule alone would reject
	// virtualBacklog is the work, in seconds, in a virtual copy of the queue that admits by the basic rule alone.
	virtualBacklog   float64
	virtualUpdatedAt instant.Time
}

// newAdmissionController returns a controller that counts since a moment.
func newAdmissionController(since instant.Time) admissionController {
	return admissionController{arrivals: decayingCounter{startedAt: since}, misses: decayingCounter{startedAt: since}}
}

// admit refuses an arriving message at once or puts it into a queue.
func (d *Dispatcher) admit(m *message) {
	q := d.selectQueue(m)
	q.admission.arrivals.add(d.now, 1)
	left := m.expiresAt.Sub(d.now).Seconds()
	u, x := d.queueingDelay(q), q.latency.byClass[m.Class]
	λ, r := q.admission.arrivals.rate(d.now), q.admission.misses.rate(d.now)
	d.recordVirtualArrival(q, left-x)
	if λ*q.sendInterval(d.now) > 1 {
		left = math.Min(left, d.overloadAgeLimit(m.class).Seconds()) // little time left need not be age
	}
	room := overloadThreshold * float64(d.settings.QueueCapacity)
	much := float64(len(q.waiting)) > room/2 || q.allEjected() // those that are out leave room for the others
	crowded := float64(len(d.messages.unfinished)) > room && much || len(d.messages.unfinished) > d.settings.QueueCapacity
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
