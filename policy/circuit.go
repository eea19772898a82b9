package policy

import (
	"math"
	"milletsail/internal/instant"
	"time"
)

const (
	// circuitOpenAfter is the time of nothing but rejections, or the Retry-After, from which on a destination
	// counts as down rather than at its limit: longer than the windows in which receivers commonly count
	// calls.
	circuitOpenAfter = 2500 * time.Millisecond
	// initialBackoff is the pause after a first rejection without Retry-After.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff is the longest pause of the relay's own: about the longest window in which receivers count
	// calls.
	maxBackoff = 2 * time.Second
	// secondProbeProbability is the probability with which a relay with a low rate probes once more after a
	// first failure.
	secondProbeProbability = 0.5
)

// recordRejection notes a refusal by the destination, and tells the other relays what they do not know of it;
// a run of refusals is a destination that is shut.
func (d *Dispatcher) recordRejection(q *queue, l limitMessage) {
	if q.consecutiveRejections++; q.consecutiveRejections == 1 {
		q.firstRejectionAt = d.now
	}
	tried := d.isProber(q) // for all: they have to know
	if until := d.openCircuit(q, l); d.settings.Gossip && !q.separateRoute && (tried || until > q.announcedUntil.Add(initialBackoff)) {
		q.announcedUntil = until
		d.emit(Broadcast{Message: l.encode()})
	}
	shut := l.retryAfter > circuitOpenAfter || q.consecutiveRejections > ejectionThreshold && d.now.Sub(q.firstRejectionAt) > circuitOpenAfter
	if shut || !d.settings.Gossip && d.probeBudgetSpent(q, q.consecutiveRejections) {
		for _, ep := range q.endpoints {
			d.eject(ep)
		}
	}
}

// openCircuit takes in that a destination refuses calls, for a wait if one is told, and gives the end of the
// pause. All who learn of it come down at once, and come back apart, each at a chance part of its own pace.
func (d *Dispatcher) openCircuit(q *queue, l limitMessage) (until instant.Time) {
	q.rejectedCallAt = max(q.rejectedCallAt, d.now.Add(-l.callAge))
	wait := l.retryAfter
	if wait <= 0 { // a moment: a steady rate has room again at once; twice as long if that was not enough
		if d.now < q.backoffUntil {
			return q.backoffUntil
		}
		if q.backoff *= 2; d.now > q.backoffUntil.Add(q.backoff) {
			q.backoff = initialBackoff
		}
		wait = time.Duration((0.5 + d.random.Float64()) * float64(q.backoff))
	}
	until = d.now.Add(min(wait, maxBackoff))
	if d.now >= q.decreasedAt.Add(rateWindow) {
		d.increaseRate(q)
		q.sendRate = math.Max(minRateShare*d.evenShare(q), math.Min(q.sendRate*rateDecreaseFactor, (q.sendRate+d.evenShare(q))/2))
		q.decreasedAt = d.now
	}
	if until > q.backoffUntil {
		q.backoffUntil, q.tokens, q.updatedAt = until, d.random.Float64(), until
	}
	return until
}

// closeCircuit ends a pause, but for a wait that we were told, if a call sent well after the one that was
// refused was taken: a rate has room again at once, where a count has none until its span is over.
func (d *Dispatcher) closeCircuit(q *queue, l limitMessage) bool {
	if d.now >= q.backoffUntil || d.now.Add(-l.callAge) < q.rejectedCallAt.Add(initialBackoff/2) {
		return false
	}
	q.backoffUntil, q.announcedUntil, q.tokens, q.updatedAt = d.now, d.now, d.random.Float64(), d.now
	return true
}

// probeBudgetSpent tells whether n failures or refusals are all that may be seen before the budget is kept
// to. That costs what the budget holds back where the destination was only at its limit; others, who were not
// refused, use the room. Half of the relays may knock once more, by chance, but not after a told wait, when
// all would; and an outage that began after a success just now is not about to end.
func (d *Dispatcher) probeBudgetSpent(q *queue, n int) bool {
	if !d.hasLowRate(q) || q.lastSuccessAt > 0 && d.now.Sub(q.lastSuccessAt) <= circuitOpenAfter {
		return false
	}
	return n >= ejectionThreshold || d.now < q.retryAfterUntil || d.random.Float64() < secondProbeProbability
}
