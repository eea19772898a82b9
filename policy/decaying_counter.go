package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

// counterTimeConstant is the time constant of the arrival and miss rates (λ and r). It is long enough to
// cover several arrivals of most queues, and short enough to follow a sudden rise of traffic.
const counterTimeConstant = 10 * time.Second

// decayingCounter counts events; each count decays exponentially with the time constant counterTimeConstant.
type decayingCounter struct {
	value     float64
	updatedAt instant.Time
	startedAt instant.Time // time since which events are counted
}

// add counts n events at the given time.
func (c *decayingCounter) add(now instant.Time, n float64) {
	c.value = c.value*math.Exp(-float64(now.Sub(c.updatedAt))/float64(counterTimeConstant)) + n
	c.updatedAt = now
}

// count returns the decayed count at the given time.
func (c *decayingCounter) count(now instant.Time) float64 {
	return c.value * math.Exp(-float64(now.Sub(c.updatedAt))/float64(counterTimeConstant))
}

// rate returns the mean number of events a second, corrected for a counter that started only recently.
func (c *decayingCounter) rate(now instant.Time) float64 {
	age := counterTimeConstant.Seconds()
	return c.count(now) / (age * (1 - math.Exp(-math.Max(1, now.Sub(c.startedAt).Seconds())/age)))
}
