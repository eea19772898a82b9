package policy

import (
	"math/rand/v2"
	"time"

	"milletsail/internal/instant"
)

const (
	// circuitOpenAfter is how long a destination has to reject every call before it counts as down rather
	// than as over its rate limit. A Retry-After longer than this counts as down too. It is longer than the
	// windows in which receivers commonly count calls.
	circuitOpenAfter = 2500 * time.Millisecond
	// initialBackoff is the pause after a first rejection without Retry-After.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff is the longest backoff that the relay chooses itself, about the longest window in which
	// receivers count calls.
	maxBackoff = 2 * time.Second
	// earlyFallbackProbability is the probability with which a relay with a low rate (hasLowRate) falls back
	// to the slow start budget after its first failed or rejected call, rather than making one more.
	earlyFallbackProbability = 0.5
)

// circuitBreaker pauses the calls of one queue after rejections. It belongs to one queue and is not safe for
// concurrent use.
type circuitBreaker struct {
	retryAfterUntil       instant.Time  // end of the last Retry-After; nothing is sent before it
	backoffUntil          instant.Time  // end of a pause of at most maxBackoff, which a success may end early
	announcedUntil        instant.Time  // end of the pause that the other relays know of
	rejectedCallAt        instant.Time  // when the latest rejected call was sent, here or elsewhere
	backoff               time.Duration // base of the last backoff, without jitter
	consecutiveRejections int
	firstRejectionAt      instant.Time // when the consecutive rejections began
}

// paused reports whether the queue sends nothing now.
func (c *circuitBreaker) paused(now instant.Time) bool { return now < c.pausedUntil() }

// pausedUntil returns when both the Retry-After and the backoff are over.
func (c *circuitBreaker) pausedUntil() instant.Time { return max(c.retryAfterUntil, c.backoffUntil) }

// extendRetryAfter pauses the queue for a Retry-After, unless an earlier one ends later.
func (c *circuitBreaker) extendRetryAfter(now instant.Time, retryAfter time.Duration) {
	c.retryAfterUntil = max(c.retryAfterUntil, now.Add(min(retryAfter, never.Sub(now))))
}

// countRejection counts a rejection and reports whether the destination now counts as down: it has rejected
// more than ejectionThreshold calls in a row, over more than circuitOpenAfter, or asks for a Retry-After
// longer than that.
func (c *circuitBreaker) countRejection(now instant.Time, retryAfter time.Duration) (down bool) {
	if c.consecutiveRejections++; c.consecutiveRejections == 1 {
		c.firstRejectionAt = now
	}
	lasting := now.Sub(c.firstRejectionAt) > circuitOpenAfter
	return retryAfter > circuitOpenAfter || c.consecutiveRejections > ejectionThreshold && lasting
}

// nextBackoff returns the pause after a rejection without Retry-After, with jitter. The first pause is
// short, since a destination that limits a steady rate accepts calls again at once. Each further rejection
// doubles it; it starts over once twice the last pause (without jitter) has passed since that pause ended.
func (c *circuitBreaker) nextBackoff(now instant.Time, random *rand.Rand) time.Duration {
	if c.backoff *= 2; now > c.backoffUntil.Add(c.backoff) {
		c.backoff = initialBackoff
	}
	return time.Duration((0.5 + random.Float64()) * float64(c.backoff))
}

// recordRejection handles a rejection of a call of this relay. It pauses the queue. With gossip on and a
// shared queue, it broadcasts the rejection if the other relays do not know of the pause or if this relay
// probes the destination for all of them. It ejects the endpoints of the queue if the destination counts as
// down, or, without gossip, once the probe budget is spent.
func (d *Dispatcher) recordRejection(queue *queue, rejection limitMessage) {
	down := queue.circuit.countRejection(d.now, rejection.retryAfter)
	probesForFleet := d.isProber(queue)
	until := d.openCircuit(queue, rejection)
	unknownToOthers := probesForFleet || until > queue.circuit.announcedUntil.Add(initialBackoff)
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

// openCircuit pauses a queue after a rejection here or at another relay, lowers its send rate, and returns
// when the pause ends. The pause is the Retry-After of the rejection or else a backoff, at most maxBackoff;
// for a rejection here, extendRetryAfter also applies the Retry-After in full. All relays that learn of the
// rejection stop together. They resume at different times, because each starts with a random fraction of a
// token.
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

// closeCircuit ends a backoff if the accepted call was sent at least initialBackoff/2 after the rejected
// one: a destination that limits a steady rate accepts calls again at once, while one that counts calls per
// window accepts none until its window ends. A Retry-After that this relay received is always waited out. It
// reports whether it ended a backoff.
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

// probeBudgetSpent reports whether this relay has made all the probes that it may make outside the slow
// start budget, after n failures or rejections in a row. That concerns only relays with a low rate
// (hasLowRate): it leaves capacity to the relays that were not rejected, should the destination only be over
// its limit. The probes are used up after ejectionThreshold failures or rejections, or during a Retry-After;
// before that, with earlyFallbackProbability. They are never used up within circuitOpenAfter of a success.
func (d *Dispatcher) probeBudgetSpent(queue *queue, n int) bool {
	if !d.hasLowRate(queue) || queue.lastSuccessAt > 0 && d.now.Sub(queue.lastSuccessAt) <= circuitOpenAfter {
		return false
	}
	if n >= ejectionThreshold || d.now < queue.circuit.retryAfterUntil {
		return true
	}
	return d.random.Float64() < earlyFallbackProbability
}
