package policy

import (
	"math/rand/v2"
	"time"

	"milletsail/internal/instant"
)

const (
	// circuitOpenAfter is how long a destination has to reject every call before it counts as down rather
	// than at its limit; a longer Retry-After has the same effect. It is longer than the windows in which
	// receivers commonly count calls.
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

// circuitBreaker pauses the calls of one queue after rejections. It belongs to one queue and is not safe for
// concurrent use.
type circuitBreaker struct {
	retryAfterUntil       instant.Time  // end of the Retry-After: nothing is sent before it
	backoffUntil          instant.Time  // end of a pause of at most maxBackoff; a success may end it
	announcedUntil        instant.Time  // other relays know of a pause up to then
	rejectedCallAt        instant.Time  // when the last call was sent that a pause is for
	backoff               time.Duration // last pause after a rejection without Retry-After
	consecutiveRejections int
	firstRejectionAt      instant.Time // of the consecutive rejections
}

// paused reports whether the queue is in a pause.
func (c *circuitBreaker) paused(now instant.Time) bool { return now < c.pausedUntil() }

// pausedUntil is the end of all pauses.
func (c *circuitBreaker) pausedUntil() instant.Time { return max(c.retryAfterUntil, c.backoffUntil) }

// extendRetryAfter keeps to a Retry-After.
func (c *circuitBreaker) extendRetryAfter(now instant.Time, retryAfter time.Duration) {
	c.retryAfterUntil = max(c.retryAfterUntil, now.Add(min(retryAfter, never.Sub(now))))
}

// countRejection counts a rejection and reports whether the destination counts as down: it has rejected
// everything for circuitOpenAfter, or asks for a longer pause than that.
func (c *circuitBreaker) countRejection(now instant.Time, retryAfter time.Duration) (down bool) {
	if c.consecutiveRejections++; c.consecutiveRejections == 1 {
		c.firstRejectionAt = now
	}
	lasting := now.Sub(c.firstRejectionAt) > circuitOpenAfter
	return retryAfter > circuitOpenAfter || c.consecutiveRejections > ejectionThreshold && lasting
}

// nextBackoff returns the pause after a rejection without Retry-After, with jitter. It starts short, since a
// destination that limits a steady rate has capacity again at once, and doubles with each rejection, until
// twice the last pause has passed since its end.
func (c *circuitBreaker) nextBackoff(now instant.Time, random *rand.Rand) time.Duration {
	if c.backoff *= 2; now > c.backoffUntil.Add(c.backoff) {
		c.backoff = initialBackoff
	}
	return time.Duration((0.5 + random.Float64()) * float64(c.backoff))
}

// recordRejection takes in a rejection by the destination, and broadcasts what the other relays don't know of
// it. A run of rejections ejects its endpoints.
func (d *Dispatcher) recordRejection(queue *queue, rejection limitMessage) {
	down := queue.circuit.countRejection(d.now, rejection.retryAfter)
	probedForAll := d.isProber(queue)
	until := d.openCircuit(queue, rejection)
	unknownToOthers := probedForAll || until > queue.circuit.announcedUntil.Add(initialBackoff)
	if d.settings.Gossip && !queue.separateRoute && unknownToOthers {
		queue.circuit.announcedUntil = until
		d.emit(Broadcast{Message: rejection.encode()})
	}
	if down || !d.settings.Gossip && d.probeBudgetSpent(queue, queue.circuit.consecutiveRejections) {
		for _, ep := range queue.endpoints {
			d.eject(ep)
		}
	}
}

// openCircuit pauses a queue after a rejection here or at another relay, and returns the end of the pause.
// All relays that learn of it stop together; they start again apart, each with a random part of a call saved
// up.
func (d *Dispatcher) openCircuit(queue *queue, rejection limitMessage) (until instant.Time) {
	circuit := &queue.circuit
	circuit.rejectedCallAt = max(circuit.rejectedCallAt, d.now.Add(-rejection.callAge))
	pause := rejection.retryAfter
	if pause <= 0 {
		if d.now < circuit.backoffUntil {
			return circuit.backoffUntil
		}
		pause = circuit.nextBackoff(d.now, d.random)
	}
	until = d.now.Add(min(pause, maxBackoff))
	if queue.limiter.mayDecrease(d.now) {
		d.increaseRate(queue)
		queue.limiter.decrease(d.now, d.evenShare(queue))
	}
	if until > circuit.backoffUntil {
		circuit.backoffUntil = until
		queue.limiter.bucket.reset(d.random.Float64(), until)
	}
	return until
}

// closeCircuit ends a backoff, but no Retry-After, if a call was accepted that was sent well after the
// rejected one: a destination that limits a rate has capacity again at once, one that counts calls has none
// until its window ends. It reports whether there was a backoff to end.
func (d *Dispatcher) closeCircuit(q *queue, accepted limitMessage) bool {
	circuit := &q.circuit
	sentAt := d.now.Add(-accepted.callAge)
	if d.now >= circuit.backoffUntil || sentAt < circuit.rejectedCallAt.Add(initialBackoff/2) {
		return false
	}
	circuit.backoffUntil, circuit.announcedUntil = d.now, d.now
	q.limiter.bucket.reset(d.random.Float64(), d.now)
	return true
}

// probeBudgetSpent reports whether a relay with a low rate has to keep to the slow start budget after n
// failures or rejections in a row. Where the destination was only at its limit, that leaves capacity to
// relays that were not rejected. The budget is spent after ejectionThreshold of them, or during a
// Retry-After; else half of the relays, by chance, may probe once more. It is never spent within
// circuitOpenAfter of a success.
func (d *Dispatcher) probeBudgetSpent(queue *queue, n int) bool {
	if !d.hasLowRate(queue) || queue.lastSuccessAt > 0 && d.now.Sub(queue.lastSuccessAt) <= circuitOpenAfter {
		return false
	}
	if n >= ejectionThreshold || d.now < queue.circuit.retryAfterUntil {
		return true
	}
	return d.random.Float64() < secondProbeProbability
}
