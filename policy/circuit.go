package policy

import (
	"math"
	"milletsail/internal/instant"
	"time"
)

const (
	// circuitOpenAfter is the time of nothing but rejections, or the Retry-After, from which on a destination counts
	// as down rather than at its limit: longer than the windows in which receivers commonly count calls.
	circuitOpenAfter = 2500 * time.Millisecond
	// initialBackoff is the pause after a first rejection without Retry-After.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff is the longest pause of the relay's own: about the longest window in which receivers count calls.
	maxBackoff = 2 * time.Second
	// secondProbeProbability is the probability with which a relay with a low rate probes once more after a first
	// failure.
	secondProbeProbability = 0.5
)

// circuitBreaker pauses the calls of one queue after rejections.
type circuitBreaker struct {
	retryAfterUntil       instant.Time  // end of a Retry-After, which always binds
	backoffUntil          instant.Time  // end of the relay's own pause
	announcedUntil        instant.Time  // other relays know of a pause up to then
	rejectedCallAt        instant.Time  // when the last call was sent that a pause is for
	backoff               time.Duration // last pause after a rejection without Retry-After
	consecutiveRejections int
	firstRejectionAt      instant.Time // of the consecutive rejections
}

// recordRejection notes a refusal by the destination, and tells the other relays what they do not know of it; a run of
// refusals is a destination that is shut.
func (d *Dispatcher) recordRejection(q *queue, l limitMessage) {
	if q.circuit.consecutiveRejections++; q.circuit.consecutiveRejections == 1 {
		q.circuit.firstRejectionAt = d.now
	}
	tried := d.isProber(q) // for all: they have to know
	if until := d.openCircuit(q, l); d.settings.Gossip && !q.separateRoute && (tried || until > q.circuit.announcedUntil.Add(initialBackoff)) {
		q.circuit.announcedUntil = until
		d.emit(Broadcast{Message: l.encode()})
	}
	shut := l.retryAfter > circuitOpenAfter || q.circuit.consecutiveRejections > ejectionThreshold && d.now.Sub(q.circuit.firstRejectionAt) > circuitOpenAfter
	if shut || !d.settings.Gossip && d.probeBudgetSpent(q, q.circuit.consecutiveRejections) {
		for _, ep := range q.endpoints {
			d.eject(ep)
		}
	}
}

// openCircuit takes in that a destination refuses calls, for a wait if one is told, and gives the end of the
// pause. All who learn of it come down at once, and come back apart, each at a chance part of its own pace.
func (d *Dispatcher) openCircuit(q *queue, l limitMessage) (until instant.Time) {
	q.circuit.rejectedCallAt = max(q.circuit.rejectedCallAt, d.now.Add(-l.callAge))
	wait := l.retryAfter
	if wait <= 0 { // a moment: a steady rate has room again at once; twice as long if that was not enough
		if d.now < q.circuit.backoffUntil {
			return q.circuit.backoffUntil
		}
		if q.circuit.backoff *= 2; d.now > q.circuit.backoffUntil.Add(q.circuit.backoff) {
			q.circuit.backoff = initialBackoff
		}
		wait = time.Duration((0.5 + d.random.Float64()) * float64(q.circuit.backoff))
	}
	until = d.now.Add(min(wait, maxBackoff))
	if d.now >= q.limiter.decreasedAt.Add(rateWindow) {
		d.increaseRate(q)
		q.limiter.rate = math.Max(minRateShare*d.evenShare(q), math.Min(q.limiter.rate*rateDecreaseFactor, (q.limiter.rate+d.evenShare(q))/2))
		q.limiter.decreasedAt = d.now
	}
	if until > q.circuit.backoffUntil {
		q.circuit.backoffUntil, q.limiter.bucket.tokens, q.limiter.bucket.updatedAt = until, d.random.Float64(), until
	}
	return until
}

// closeCircuit ends a pause, but for a wait that we were told, if a call sent well after the one that was refused
// was taken: a rate has room again at once, where a count has none until its span is over.
func (d *Dispatcher) closeCircuit(q *queue, l limitMessage) bool {
	if d.now >= q.circuit.backoffUntil || d.now.Add(-l.callAge) < q.circuit.rejectedCallAt.Add(initialBackoff/2) {
		return false
	}
	q.circuit.backoffUntil, q.circuit.announcedUntil, q.limiter.bucket.tokens, q.limiter.bucket.updatedAt = d.now, d.now, d.random.Float64(), d.now
	return true
}

// probeBudgetSpent tells whether n failures or refusals are all that may be seen before the budget is kept to. That
// costs what the budget holds back where the destination was only at its limit; others, who were not
// refused, use the room. Half of the relays may knock once more, by chance, but not after a told wait,
// when all would; and an outage that began after a success just now is not about to end.
func (d *Dispatcher) probeBudgetSpent(q *queue, n int) bool {
	if !d.hasLowRate(q) || q.lastSuccessAt > 0 && d.now.Sub(q.lastSuccessAt) <= circuitOpenAfter {
		return false
	}
	return n >= ejectionThreshold || d.now < q.circuit.retryAfterUntil || d.random.Float64() < secondProbeProbability
}
