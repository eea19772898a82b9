package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

const (
	// minObservers is the number of relays that have to report an endpoint as down, or a destination as
	// rejecting, before that stands for own observations: one relay may have a faulty network of its own, and
	// two may share it.
	minObservers = 3
	// probeInterval is the time between two probes of the whole fleet, and between the turns of two relays:
	// half the window in which receivers commonly count calls.
	probeInterval = rateWindow / 2
)

// singleProber reports whether several relays were rejected by a destination and this one has not been served
// since. It isn't known to be down yet, but the calls of one relay at a time find out as well as those of
// all.
func (q *queue) singleProber(now instant.Time) bool {
	report := q.peerReport
	return report.observers >= minObservers && now < report.validUntil && q.lastSuccessAt < report.oldestAt
}

// isProber reports whether a destination is down, or nearly known to be, and this relay is the next of the
// fleet to probe it: regardless of its own send rate and pauses, since it probes for all.
func (d *Dispatcher) isProber(q *queue) bool {
	if !q.allEjected() && !q.singleProber(d.now) || len(q.endpoints) == 0 {
		return false
	}
	turn := d.probeTurn(q.endpoints[0])
	return turn > 0 && turn <= d.now.Add(probeInterval)
}

// probeTurn is when this relay may probe what the fleet reports as down, or 0 where it reports nothing: the
// first by rank an interval after anyone's last probe; and if that relay has nothing to send, after each
// further interval twice as many relays.
func (d *Dispatcher) probeTurn(ep *endpoint) instant.Time {
	report := ep.peerReport
	ofQueue := ep.queue.peerReport
	if !report.valid(d.now) || ofQueue.valid(d.now) && ofQueue.newestAt > report.newestAt {
		report = ofQueue
	}
	if !report.valid(d.now) {
		return 0
	}
	interval := probeInterval
	if ep.outlier.ejected {
		interval = max(interval, tokenDelay(1, d.relayCount()*d.slowStartBudget(ep, 0)))
	}
	intervals := 1 + math.Log2(1+float64(report.rank))
	return max(report.newestAt, ep.queue.probedAt).Add(time.Duration(intervals * float64(interval)))
}

// blockedUntil is until when a queue sends nothing. A Retry-After always binds, the relay's own pause not
// while it probes for the fleet.
func (d *Dispatcher) blockedUntil(q *queue) instant.Time {
	if d.isProber(q) {
		return q.circuit.retryAfterUntil
	}
	return q.circuit.pausedUntil()
}
