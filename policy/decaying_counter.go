package policy

import (
	"math"
	"milletsail/internal/instant"
	"time"
)

// counterTimeConstant is the time constant of the arrival and miss rates (λ and r): some arrivals of each
// queue, but short enough to follow a jump of traffic.
const counterTimeConstant = 10 * time.Second

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
