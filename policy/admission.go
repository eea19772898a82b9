package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

const (
	// minDeliveryValue is the share of its value that a message must still have at delivery while its queue
	// is overloaded: one that is admitted later takes the place of one that would be on time.
	minDeliveryValue = 0.8
	// overloadThreshold is the share of Settings.QueueCapacity above which queues that hold much of it shed
	// load, so that no queue takes all of it.
	overloadThreshold = 0.75
)

// admissionController estimates what admission control needs to know of one queue: λ, the rate of the
// messages that arrive, and r, the rate of those that the basic rule alone would reject. It belongs to one
// queue and is not safe for concurrent use.
//
// The rule is the value-function bound of Hyytiä's admission control for parallel first-come queues, with the
// paper's symbols: u is the time until a new message would be sent, x its expected latency, and τ the time
// that it may wait: its time left less x. All are in seconds.
type admissionController struct {
	arrivals decayingCounter // λ
	misses   decayingCounter // r
	// virtualBacklog is the work, in seconds, in a virtual copy of the queue that admits by the basic rule
	// alone.
	virtualBacklog   float64
	virtualUpdatedAt instant.Time
}

// newAdmissionController returns a controller that counts since a moment.
func newAdmissionController(since instant.Time) admissionController {
	return admissionController{
		arrivals: decayingCounter{startedAt: since},
		misses:   decayingCounter{startedAt: since},
	}
}

// rates returns λ and r, in messages a second.
func (a *admissionController) rates(now instant.Time) (λ, r float64) {
	return a.arrivals.rate(now), a.misses.rate(now)
}

// recordVirtualArrival feeds an arrival that may wait for τ to the virtual queue, where it takes serviceTime.
func (a *admissionController) recordVirtualArrival(now instant.Time, τ, serviceTime float64) {
	a.virtualBacklog = math.Max(0, a.virtualBacklog-now.Sub(a.virtualUpdatedAt).Seconds())
	a.virtualUpdatedAt = now
	if a.virtualBacklog > τ {
		a.misses.add(now, 1)
		return
	}
	a.virtualBacklog += serviceTime
}

// exceedsDelayBound reports whether a message has to be rejected: by the basic rule u > τ, and where others
// wait by the value-function bound (λ−r)(u+x−τ) ≥ 1, which holds for every u once x ≥ τ + 1/(λ−r). netRate is
// λ−r.
func exceedsDelayBound(u, x, τ, netRate float64, othersWait bool) bool {
	if u > τ {
		return true
	}
	return netRate > 0 && othersWait && u > 0 && (netRate*(u+x-τ) >= 1 || x >= τ+1/netRate)
}

// admit rejects an arriving message at once or puts it into a queue.
func (d *Dispatcher) admit(arrived *message) {
	queue := d.selectQueue(arrived)
	queue.admission.arrivals.add(d.now, 1)
	timeLeft := arrived.expiresAt.Sub(d.now).Seconds()
	delay, latency := d.queueingDelay(queue), queue.latency.byClass[arrived.Class]
	interval := queue.sendInterval(d.now)
	λ, r := queue.admission.rates(d.now)
	queue.admission.recordVirtualArrival(d.now, timeLeft-latency, interval)
	if λ*interval > 1 {
		// The bound is on the age: little time left need not come from it.
		timeLeft = math.Min(timeLeft, d.settings.overloadAgeLimit(arrived.class).Seconds())
	}
	excess := delay + 2*latency - timeLeft
	switch {
	case d.overloaded(queue):
		d.reject(arrived, excess, ReasonOverloaded)
	case exceedsDelayBound(delay, latency, timeLeft-latency, λ-r, len(queue.waiting) > 0):
		d.reject(arrived, excess, ReasonBacklog)
	default:
		d.enqueue(queue, arrived)
	}
}

// overloaded reports whether a queue may not have another message: the capacity is used up, or nearly so with
// much of it by this queue. A queue whose endpoints are all ejected leaves the rest to the others.
func (d *Dispatcher) overloaded(q *queue) bool {
	threshold := overloadThreshold * float64(d.settings.QueueCapacity)
	unfinished := len(d.messages.unfinished)
	fillsThreshold := float64(len(q.waiting)) > threshold/2 || q.allEjected()
	return float64(unfinished) > threshold && fillsThreshold || unfinished > d.settings.QueueCapacity
}

// overloadAgeLimit is the age at which a class, or one of the same or a higher priority weight that would
// wait behind it, falls below minDeliveryValue: patient messages of low value must not fill a queue against
// urgent ones.
func (s *Settings) overloadAgeLimit(class *Class) time.Duration {
	age := class.ageAt(minDeliveryValue)
	for i := range s.Classes {
		if other := &s.Classes[i]; other.PriorityWeight >= class.PriorityWeight {
			age = min(age, other.ageAt(minDeliveryValue))
		}
	}
	return age
}
