package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

// counterTimeConstant is the time constant of the arrival and miss rates (λ and r): some arrivals of each
// queue, but short enough to follow a jump of traffic.
const counterTimeConstant = 10 * time.Second

// decayingCounter is a counter whose counts decay with the time constant counterTimeConstant.
type decayingCounter struct {
	value     float64
	updatedAt instant.Time
	startedAt instant.Time // when it began to count
}

// add adds n at a moment.
func (c *decayingCounter) add(now instant.Time, n float64) {
	c.value = c.value*math.Exp(-float64(now.Sub(c.updatedAt))/float64(counterTimeConstant)) + n
	c.updatedAt = now
}

// count is what remains of the counts.
func (c *decayingCounter) count(now instant.Time) float64 {
	return c.value * math.Exp(-float64(now.Sub(c.updatedAt))/float64(counterTimeConstant))
}

// rate is the count a second over the counter's age.
func (c *decayingCounter) rate(now instant.Time) float64 {
	age := counterTimeConstant.Seconds()
	return c.count(now) / (age * (1 - math.Exp(-math.Max(1, now.Sub(c.startedAt).Seconds())/age)))
}
