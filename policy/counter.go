package policy

import (
	"math"

	"milletsail/internal/instant"
)

// This file holds the counters that admission estimates from.

// decayingCounter is a counter whose counts fade with time constant counterAge (in policy.go).
type decayingCounter struct {
	value     float64
	updatedAt instant.Time
	startedAt instant.Time // when it began to count
}

func (a *decayingCounter) add(now instant.Time, n float64) {
	a.value = a.value*math.Exp(-float64(now.Sub(a.updatedAt))/float64(counterTimeConstant)) + n
	a.updatedAt = now
}

// count is what is left of the counts.
func (a *decayingCounter) count(now instant.Time) float64 {
	return a.value * math.Exp(-float64(now.Sub(a.updatedAt))/float64(counterTimeConstant))
}

// rate is the count a second over the counter's age.
func (a *decayingCounter) rate(now instant.Time) float64 {
	age := counterTimeConstant.Seconds()
	return a.count(now) / (age * (1 - math.Exp(-math.Max(1, now.Sub(a.startedAt).Seconds())/age)))
}

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
