package policy

import (
	"math"
	"time"
)

// valueAt returns the share of its full value that a message has at an age.
func (c *Class) valueAt(age time.Duration) float64 {
	switch {
	case age <= c.LatencyObjective:
		return 1
	case age > c.Deadline:
		return 0
	case c.ExponentialDecay && c.LatencyObjective > 0:
		halvings := float64(age-c.LatencyObjective) / float64(c.LatencyObjective)
		return math.Max(c.LateValueShare, math.Pow(0.5, halvings))
	}
	return 1 - (1-c.LateValueShare)*float64(age-c.LatencyObjective)/float64(c.Deadline-c.LatencyObjective)
}

// ageAt returns the age at which the value of a message falls to a share of its full value.
func (c *Class) ageAt(share float64) time.Duration {
	switch {
	case share <= c.LateValueShare:
		return c.Deadline
	case c.ExponentialDecay:
		return min(c.Deadline, c.LatencyObjective-time.Duration(math.Log2(share)*float64(c.LatencyObjective)))
	}
	declining := float64(c.Deadline - c.LatencyObjective)
	return c.LatencyObjective + time.Duration((1-share)/(1-c.LateValueShare)*declining)
}
