package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

// This file holds token buckets, and those of paces and budgets.

// tokenBucket is a token bucket.
type tokenBucket struct {
	tokens    float64
	updatedAt instant.Time
}

// refill adds the tokens that came since the last time, up to depth, and gives how many there are.
func (b *tokenBucket) refill(now instant.Time, rate, depth float64) float64 {
	b.tokens = math.Min(depth, b.tokens+rate*math.Max(0, now.Sub(b.updatedAt).Seconds()))
	b.updatedAt = max(b.updatedAt, now)
	return b.tokens
}

// tokenDelay is the time in which tokens come at a rate, a little more than less.
func tokenDelay(tokens, rate float64) time.Duration {
	return time.Duration(math.Min(3600, math.Max(0, tokens)/rate)*float64(time.Second)) + time.Microsecond
}

// sendTokens is what the pace of a queue allows to be sent now.
func (d *Dispatcher) sendTokens(q *queue) float64 {
	d.increaseRate(q)
	return q.refill(d.now, q.sendRate, math.Max(1, q.sendRate*rateWindow.Seconds()))
}

// slowStartTokens is what the budget of a sick or ramping endpoint allows to be sent now.
func (d *Dispatcher) slowStartTokens(ep *endpoint) float64 {
	if ep.slowStarting && d.timeSinceRecovery(ep) >= d.settings.SlowStartWindow {
		ep.slowStarting = false
	}
	rate := d.slowStartBudget(ep, d.timeSinceRecovery(ep))
	return ep.refill(d.now, rate, math.Max(1, slowStartBurst*rate*d.settings.OverloadWindow.Seconds()))
}
