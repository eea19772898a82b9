package policy

import (
	"math"
	"slices"
	"time"
)

// savedTokenExpiry is the time for which a whole token of a small slow start budget may stay unused.
const savedTokenExpiry = time.Second

// The slow start budget of a queue limits the calls to all of its endpoints together that are ejected,
// suspected or in slow start: an outage mostly takes all endpoints of a destination, and a destination
// withstands less than its endpoints do one by one. The calls of a queue with a single endpoint are limited
// by the budget of that endpoint alone. With zones on, a queue has no budget: zone surveys need the calls.

// hasQueueBudget reports whether a queue has a slow start budget beside those of its endpoints.
func (d *Dispatcher) hasQueueBudget(q *queue) bool { return len(q.endpoints) > 1 && !d.settings.Zones }

// mayBeLimited reports whether an endpoint is ejected, in slow start, or limited as soon as no success clears
// it.
func (d *Dispatcher) mayBeLimited(ep *endpoint) bool {
	o := &ep.outlier
	return o.ejected || o.notified || o.siblingFailedAt > 0 || d.slowStarting(ep)
}

// startQueueBudget resets the budget of a queue when the first of its endpoints begins to be limited.
func (d *Dispatcher) startQueueBudget(q *queue) {
	if !d.hasQueueBudget(q) || slices.ContainsFunc(q.endpoints, d.mayBeLimited) {
		return
	}
	q.slowStartBucket.reset(d.firstQueueTokens(q), max(d.now, q.circuit.retryAfterUntil))
}

// firstQueueTokens returns the number of tokens with which the budget of a queue starts: one if each relay
// may make a call at once, or else a random fraction (see initialTokens).
func (d *Dispatcher) firstQueueTokens(q *queue) float64 {
	allowed := 0.0
	for _, ep := range q.endpoints {
		allowed += d.allowedCalls(ep, 0)
	}
	relays := d.relayCount()
	planned := plannedCalls(allowed, relays)
	if relays <= math.Max(planned, toleratedExcess(planned)) {
		return 1
	}
	return math.Max(0, d.random.Float64()-planned*d.trafficShare(q)/relays)
}

// queueBudget returns the calls a second that this relay may make to the limited endpoints of a queue: its
// part of the calls of all relays together, which the settings allow these endpoints. Endpoints count as
// recovered for at least the given time.
//
// The budget holds for the sum over all relays and over all endpoints of the queue, wherever a relay has met
// the outage, as long as every relay that has met it, or cannot know whether it has, takes no more than its
// part.
func (d *Dispatcher) queueBudget(q *queue, recovered time.Duration) float64 {
	allowed, afterEjection := 0.0, false
	for _, ep := range q.endpoints {
		if d.limitedBySlowStart(ep) {
			allowed += d.allowedCalls(ep, max(recovered, d.timeSinceRecovery(ep)))
			afterEjection = afterEjection || ep.wasEjected()
		}
	}
	relays := d.relayCount()
	planned := plannedCalls(allowed, relays)
	if !afterEjection {
		planned = math.Max(planned, certainBudget(allowed, relays))
	}
	return planned * d.trafficShare(q) / relays / d.settings.OverloadWindow.Seconds()
}

// queueTokens returns the number of calls that the budget of a queue allows now.
func (d *Dispatcher) queueTokens(q *queue) float64 {
	if !d.hasQueueBudget(q) {
		return math.Inf(1)
	}
	return d.refillSlowStart(&q.slowStartBucket, d.queueBudget(q, 0))
}

// refillSlowStart refills the bucket of a slow start budget of a number of calls a second, and returns its
// tokens.
//
// A budget of less than one call per OverloadWindow keeps a whole token for savedTokenExpiry only, and then
// starts again with a random fraction of one: if all relays saved tokens while they had nothing to send, a
// crowd of messages would use them all at once.
func (d *Dispatcher) refillSlowStart(bucket *tokenBucket, rate float64) float64 {
	perWindow := rate * d.settings.OverloadWindow.Seconds()
	if perWindow < 1 && rate > 0 {
		refilled := bucket.tokens + rate*math.Max(0, d.now.Sub(bucket.updatedAt).Seconds())
		if unused := (refilled - 1) / rate; unused > savedTokenExpiry.Seconds() {
			bucket.reset(d.random.Float64(), d.now)
		}
	}
	return bucket.refill(d.now, rate, math.Max(1, slowStartBurst*perWindow))
}

// slowStartAllows reports whether the budgets of a limited endpoint and of its queue allow a call now.
func (d *Dispatcher) slowStartAllows(ep *endpoint) bool {
	return d.slowStartTokens(ep) >= 1 && d.queueTokens(ep.queue) >= 1
}

// takeSlowStartToken takes the tokens for a call to a limited endpoint, and returns the calls a second that
// its budgets allow.
func (d *Dispatcher) takeSlowStartToken(ep *endpoint) (budget float64) {
	budget = d.slowStartBudget(ep, d.timeSinceRecovery(ep))
	ep.slowStart.bucket.tokens = math.Max(0, d.slowStartTokens(ep)-1)
	if d.hasQueueBudget(ep.queue) {
		budget = math.Min(budget, d.queueBudget(ep.queue, 0))
		ep.queue.slowStartBucket.tokens = math.Max(0, d.queueTokens(ep.queue)-1)
	}
	return budget
}

// returnSlowStartToken returns the tokens of a call that was not made.
func (ep *endpoint) returnSlowStartToken() {
	ep.slowStart.bucket.tokens++
	ep.queue.slowStartBucket.tokens++
}

// slowStartWait returns the time until the budgets of a limited endpoint and of its queue allow a call.
func (d *Dispatcher) slowStartWait(ep *endpoint) time.Duration {
	wait := time.Duration(0)
	if tokens := d.slowStartTokens(ep); tokens < 1 {
		wait = tokenDelay(1-tokens, d.slowStartBudget(ep, d.timeSinceRecovery(ep)))
	}
	if tokens := d.queueTokens(ep.queue); tokens < 1 {
		wait = max(wait, tokenDelay(1-tokens, d.queueBudget(ep.queue, 0)))
	}
	return wait
}
