package policy

import (
	"math"

	"milletsail/internal/instant"
)

// This file holds the counters that admission estimates from.

// aged is a counter whose counts fade with time constant counterAge (in policy.go).
type aged struct {
	n     float64
	at    instant.Time
	since instant.Time // when it began to count
}

func (a *aged) add(now instant.Time, n float64) {
	a.n = a.n*math.Exp(-float64(now.Sub(a.at))/float64(counterAge)) + n
	a.at = now
}

// count is what is left of the counts.
func (a *aged) count(now instant.Time) float64 {
	return a.n * math.Exp(-float64(now.Sub(a.at))/float64(counterAge))
}

// rate is the count a second over the counter's age.
func (a *aged) rate(now instant.Time) float64 {
	age := counterAge.Seconds()
	return a.count(now) / (age * (1 - math.Exp(-math.Max(1, now.Sub(a.since).Seconds())/age)))
}

// virtual feeds an arrival to the copy of a queue under the basic rule alone.
func (d *Dispatcher) virtual(q *queue, τ float64) {
	q.copyWork = math.Max(0, q.copyWork-d.now.Sub(q.copyAt).Seconds())
	q.copyAt = d.now
	if q.copyWork > τ {
		q.misses.add(d.now, 1)
		return
	}
	q.copyWork += q.pitch(d.now)
}
