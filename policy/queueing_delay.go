package policy

import (
	"math"
	"milletsail/internal/instant"
)

// concurrency is how many calls of a queue are out at once: in a wait or an outage, as many as there were before.
func (q *queue) concurrency(now instant.Time) float64 {
	n := math.Max(1, float64(len(q.calls)))
	if now < max(q.circuit.retryAfterUntil, q.circuit.backoffUntil) || q.resourcesExhausted(now) || q.allEjected() {
		return math.Max(n, q.typicalConcurrency)
	}
	return n
}

// sendInterval is the time between messages that a queue sends one after another.
func (q *queue) sendInterval(now instant.Time) float64 {
	pitch := q.callsFor(1) * q.latency.mean / q.concurrency(now)
	if q.limiter.rate > 0 {
		pitch = math.Max(pitch, 1/(q.limiter.rate*float64(q.maxBatch)))
	}
	return pitch
}

// queueingDelay is u: calls that the messages held ahead travel in × mean latency ÷ calls out, and at least what
// a wait, a pace or a ramp implies; zero with a slot free and nothing held.
func (d *Dispatcher) queueingDelay(q *queue) float64 {
	u := q.callsFor(len(q.waiting)) * d.currentLatency(q) / q.concurrency(d.now)
	return math.Max(u, d.timeToNextCall(q, len(q.waiting)))
}

// currentLatency is the mean latency of a queue with the ages of calls out counted in, so that a hang shows
// before any outcome.
func (d *Dispatcher) currentLatency(q *queue) float64 {
	mean := q.latency.mean
	for _, c := range q.calls {
		if age := d.now.Sub(c.sentAt).Seconds(); age > mean {
			mean += latencyWeight * (age - mean)
		}
	}
	return mean
}

// timeToNextCall is the time until the next call of a queue may leave with n messages ahead of it, as far as
// waits, pace and health tell.
func (d *Dispatcher) timeToNextCall(q *queue, n int) float64 {
	wait := math.Max(0, (d.blockedUntil(q).Sub(d.now)).Seconds())
	calls := q.callsFor(n)
	if q.limiter.rate > 0 && !d.isProber(q) {
		wait = math.Max(wait, (calls+1-d.sendTokens(q))/q.limiter.rate)
	}
	ramp := math.Inf(1)
	for _, ep := range q.endpoints {
		if !ep.outlier.ejected && !ep.slowStart.active {
			return wait
		}
		// The next trial, and if it succeeds the others at the budget of a half-warm endpoint.
		first := math.Max(0, 1-d.slowStartTokens(ep)) / math.Max(1e-9, d.slowStartBudget(ep, d.timeSinceRecovery(ep)))
		if d.isProber(q) {
			first = math.Min(first, math.Max(0, (d.probeTurn(ep).Sub(d.now)).Seconds()))
		}
		half := d.slowStartBudget(ep, max(d.timeSinceRecovery(ep), d.settings.SlowStartWindow/2)) * float64(len(q.endpoints))
		ramp = math.Min(ramp, first+calls/math.Max(1e-9, half))
	}
	if len(q.endpoints) == 0 {
		return wait
	}
	return math.Max(wait, ramp)
}

// callsFor is how many calls n messages of a queue travel in.
func (q *queue) callsFor(n int) float64 { return float64(n) / float64(q.maxBatch) }
