package policy

import (
	"math"

	"milletsail/internal/instant"
)

// minRate bounds rates from below where something is divided by them, in calls a second.
const minRate = 1e-9

// concurrency is the number of calls of a queue that are out at once: in a pause or an outage, as many as
// there were before.
func (q *queue) concurrency(now instant.Time) float64 {
	out := math.Max(1, float64(len(q.calls)))
	if q.circuit.paused(now) || q.resourcesExhausted(now) || q.allEjected() {
		return math.Max(out, q.typicalConcurrency)
	}
	return out
}

// sendInterval is the time, in seconds, between messages that a queue sends one after another.
func (q *queue) sendInterval(now instant.Time) float64 {
	interval := q.callsFor(1) * q.latency.mean / q.concurrency(now)
	if q.limiter.rate > 0 {
		interval = math.Max(interval, 1/(q.limiter.rate*float64(q.maxBatch)))
	}
	return interval
}

// callsFor is the number of calls that carry n messages of a queue.
func (q *queue) callsFor(n int) float64 { return float64(n) / float64(q.maxBatch) }

// queueingDelay is u, in seconds: the calls that carry the waiting messages × mean latency ÷ concurrency, and
// at least what pauses, the send rate and slow start imply. It is zero while a slot is free and nothing
// waits.
func (d *Dispatcher) queueingDelay(q *queue) float64 {
	byLatency := q.callsFor(len(q.waiting)) * q.currentLatency(d.now) / q.concurrency(d.now)
	return math.Max(byLatency, d.timeToNextCall(q, len(q.waiting)))
}

// currentLatency is the mean latency of a queue, in seconds, with the ages of the calls out counted in, so
// that a hang shows before any outcome.
func (q *queue) currentLatency(now instant.Time) float64 {
	mean := q.latency.mean
	for _, c := range q.calls {
		if age := now.Sub(c.sentAt).Seconds(); age > mean {
			mean += latencyWeight * (age - mean)
		}
	}
	return mean
}

// timeToNextCall is the time, in seconds, until a queue may send its next call with n messages ahead of it,
// as far as pauses, send rate and health tell.
func (d *Dispatcher) timeToNextCall(q *queue, n int) float64 {
	delay := math.Max(0, (d.blockedUntil(q).Sub(d.now)).Seconds())
	calls := q.callsFor(n)
	if q.limiter.rate > 0 && !d.isProber(q) {
		delay = math.Max(delay, (calls+1-d.sendTokens(q))/q.limiter.rate)
	}
	warmUp := math.Inf(1)
	for _, ep := range q.endpoints {
		if !ep.limitedBySlowStart() {
			return delay
		}
		warmUp = math.Min(warmUp, d.slowStartDelay(ep, calls))
	}
	if len(q.endpoints) == 0 {
		return delay
	}
	return math.Max(delay, warmUp)
}

// slowStartDelay is the time, in seconds, in which an endpoint that is ejected or warms up could get a
// number of calls: until its next probe, and if that succeeds the others at the budget of an endpoint halfway
// through slow start.
func (d *Dispatcher) slowStartDelay(ep *endpoint, calls float64) float64 {
	recovered := d.timeSinceRecovery(ep)
	firstCall := math.Max(0, 1-d.slowStartTokens(ep)) / math.Max(minRate, d.slowStartBudget(ep, recovered))
	if d.isProber(ep.queue) {
		firstCall = math.Min(firstCall, math.Max(0, (d.probeTurn(ep).Sub(d.now)).Seconds()))
	}
	halfway := max(recovered, d.settings.SlowStartWindow/2)
	budget := d.slowStartBudget(ep, halfway) * float64(len(ep.queue.endpoints))
	return firstCall + calls/math.Max(minRate, budget)
}
