package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

const (
	// minDeliveryValue is the share of its full value that a message must still have at delivery to be
	// admitted to an overloaded queue. A message that would be worth less takes a slot that a later message
	// could use in time.
	minDeliveryValue = 0.8
	// overloadThreshold is the share of Settings.QueueCapacity above which queues that hold much of the
	// capacity, or whose endpoints are all ejected, stop admitting messages, so that one queue cannot use
	// all of it.
	overloadThreshold = 0.75
)

// admissionController estimates the inputs of admission control for one queue: λ, the arrival rate, and r,
// the rate of messages that the basic rule alone would reject, both in messages a second. It is not safe
// for concurrent use.
//
// Admission follows the value-function bound of Hyytiä's admission control for parallel first-come queues,
// and uses the paper's symbols: u is the time until a new message would be sent, x the expected latency of
// its call, and τ the longest time that it may wait, which is the time left to its deadline minus x. All
// three are in seconds.
type admissionController struct {
	arrivals decayingCounter // λ
	misses   decayingCounter // r
	// virtualBacklog is the work, in seconds, waiting in a simulated copy of the queue that admits messages
	// by the basic rule alone. The copy's rejections are counted in misses.
	virtualBacklog   float64
	virtualUpdatedAt instant.Time
}

// newAdmissionController returns a controller whose counters start at the given time.
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

// recordVirtualArrival simulates the basic rule for a message that may wait for at most τ: the virtual queue
// rejects it, or its backlog grows by serviceTime. Both are in seconds.
func (a *admissionController) recordVirtualArrival(now instant.Time, τ, serviceTime float64) {
	a.virtualBacklog = math.Max(0, a.virtualBacklog-now.Sub(a.virtualUpdatedAt).Seconds())
	a.virtualUpdatedAt = now
	if a.virtualBacklog > τ {
		a.misses.add(now, 1)
		return
	}
	a.virtualBacklog += serviceTime
}

// exceedsDelayBound reports whether a message has to be rejected: by the basic rule u > τ, or, if other
// messages are waiting, λ > r and u > 0, by the value-function bound (λ−r)(u+x−τ) ≥ 1. For x ≥ τ + 1/(λ−r)
// the bound is met whatever u > 0 is. netRate is λ−r.
func exceedsDelayBound(u, x, τ, netRate float64, othersWait bool) bool {
	if u > τ {
		return true
	}
	return netRate > 0 && othersWait && u > 0 && (netRate*(u+x-τ) >= 1 || x >= τ+1/netRate)
}

// admit puts an arriving message into a queue, or rejects it at once.
func (d *Dispatcher) admit(arrived *message) {
	queue := d.selectQueue(arrived)
	queue.admission.arrivals.add(d.now, 1)
	timeLeft := arrived.expiresAt.Sub(d.now).Seconds()
	delay, latency := d.queueingDelay(queue), queue.latency.byClass[arrived.Class]
	interval := queue.sendInterval(d.now)
	λ, r := queue.admission.rates(d.now)
	queue.admission.recordVirtualArrival(d.now, timeLeft-latency, interval)
	if λ*interval > 1 {
		// Under overload, the wait must not make the message too old. The limit applies to the wait alone: a
		// client may give a short deadline without the message being old.
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

// overloaded reports whether a queue must not admit another message. That is so when the queue capacity is
// exceeded, or when overloadThreshold of it is exceeded and this queue either holds more than half of that
// many messages or has only ejected endpoints.
func (d *Dispatcher) overloaded(q *queue) bool {
	threshold := overloadThreshold * float64(d.settings.QueueCapacity)
	unfinished := len(d.messages.unfinished)
	fillsThreshold := float64(len(q.waiting)) > threshold/2 || q.allEjected()
	return float64(unfinished) > threshold && fillsThreshold || unfinished > d.settings.QueueCapacity
}

// overloadAgeLimit returns the age at which the value of a message falls below minDeliveryValue, as the
// lowest over its class and all classes of the same or a higher priority weight. Otherwise messages of
// little value that can wait longer would fill the queue, and urgent messages of more value would be late.
func (s *Settings) overloadAgeLimit(class *Class) time.Duration {
	age := class.ageAt(minDeliveryValue)
	for i := range s.Classes {
		if other := &s.Classes[i]; other.PriorityWeight >= class.PriorityWeight {
			age = min(age, other.ageAt(minDeliveryValue))
		}
	}
	return age
}
