package policy

import (
	"math"

	"milletsail/internal/instant"
)

// minRate is a lower bound, in calls a second, for rates that are used as divisors.
const minRate = 1e-9

// concurrency returns the number of simultaneous calls to expect of a queue: those in flight, but at least
// 1, and during a pause, a shortage of local resources or an outage at least typicalConcurrency.
func (q *queue) concurrency(now instant.Time) float64 {
	inFlight := math.Max(1, float64(len(q.calls)))
	if q.circuit.paused(now) || q.resourcesExhausted(now) || q.allEjected() {
		return math.Max(inFlight, q.typicalConcurrency)
	}
	return inFlight
}

// sendInterval returns the mean time, in seconds, between two messages that a queue sends one after another.
func (q *queue) sendInterval(now instant.Time) float64 {
	interval := q.callsFor(1) * q.latency.mean / q.concurrency(now)
	if q.limiter.rate > 0 {
		interval = math.Max(interval, 1/(q.limiter.rate*float64(q.maxBatch)))
	}
	return interval
}

// callsFor returns the number of calls, or the fraction of one, that carry n messages of a queue.
func (q *queue) callsFor(n int) float64 { return float64(n) / float64(q.maxBatch) }

// queueingDelay returns u, the time in seconds until a new message would be sent: the number of calls for the
// waiting messages × mean latency ÷ concurrency, or a longer time that follows from a pause, the send rate or
// slow start. It is 0 for an empty queue that nothing limits.
func (d *Dispatcher) queueingDelay(q *queue) float64 {
	byLatency := q.callsFor(len(q.waiting)) * q.currentLatency(d.now) / q.concurrency(d.now)
	return math.Max(byLatency, d.timeToNextCall(q, len(q.waiting)))
}

// currentLatency returns the mean latency of a queue, in seconds. Calls in flight that have already taken
// longer raise it, so that a destination that hangs is noticed before any call ends.
func (q *queue) currentLatency(now instant.Time) float64 {
	mean := q.latency.mean
	for _, c := range q.calls {
		if age := now.Sub(c.sentAt).Seconds(); age > mean {
			mean += latencyWeight * (age - mean)
		}
	}
	return mean
}

// timeToNextCall returns the time, in seconds, until pauses, the send rate and slow start let a queue send
// the next call after n waiting messages.
func (d *Dispatcher) timeToNextCall(q *queue, n int) float64 {
	delay := math.Max(0, (d.blockedUntil(q).Sub(d.now)).Seconds())
	calls := q.callsFor(n)
	if q.limiter.rate > 0 && !d.isProber(q) {
		delay = math.Max(delay, (calls+1-d.sendTokens(q))/q.limiter.rate)
	}
	slowStartWait := math.Inf(1)
	for _, ep := range q.endpoints {
		if !d.limitedBySlowStart(ep) {
			return delay
		}
		slowStartWait = math.Min(slowStartWait, d.slowStartDelay(ep, calls))
	}
	if len(q.endpoints) == 0 {
		return delay
	}
	return math.Max(delay, slowStartWait)
}

// slowStartDelay returns the time, in seconds, until an endpoint that is ejected or in slow start could have
// got a number of calls. It assumes that the next probe succeeds, and that the other calls follow at the
// budget that the queue has halfway through slow start.
func (d *Dispatcher) slowStartDelay(ep *endpoint, calls float64) float64 {
	recovered := d.timeSinceRecovery(ep)
	firstCall := math.Max(0, 1-d.slowStartTokens(ep)) / math.Max(minRate, d.slowStartBudget(ep, recovered))
	if d.hasQueueBudget(ep.queue) {
		queueWait := math.Max(0, 1-d.queueTokens(ep.queue)) / math.Max(minRate, d.queueBudget(ep.queue, 0))
		firstCall = math.Max(firstCall, queueWait)
	}
	if d.isProber(ep.queue) {
		firstCall = math.Min(firstCall, math.Max(0, (d.probeTurn(ep).Sub(d.now)).Seconds()))
	}
	halfway := max(recovered, d.settings.SlowStartWindow/2)
	budget := d.slowStartBudget(ep, halfway) * float64(len(ep.queue.endpoints))
	if d.hasQueueBudget(ep.queue) {
		budget = math.Min(budget, d.queueBudget(ep.queue, halfway))
	}
	return firstCall + calls/math.Max(minRate, budget)
}
