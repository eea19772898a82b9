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

// probeTurn is this relay's turn to try what the fleet finds bad, 0 where it says nothing: the first by rank
// some time after the last try of anyone, and where that one has nothing to send, after each further such
// time twice as many.
func (d *Dispatcher) probeTurn(ep *endpoint) instant.Time {
	w := ep.peerReport
	q := ep.queue.peerReport
	if !w.valid(d.now) || q.observers > 0 && d.now < q.validUntil && q.newestAt > w.newestAt {
		w = q
	}
	if !w.valid(d.now) {
		return 0
	}
	each := probeInterval
	if ep.outlier.ejected {
		each = max(each, tokenDelay(1, d.relayCount()*d.slowStartBudget(ep, 0)))
	}
	return max(w.newestAt, ep.queue.probedAt).Add(time.Duration((1 + math.Log2(1+float64(w.rank))) * float64(each)))
}

// singleProber tells whether several relays were refused by a destination and none has been served since: not
// yet shut, but one relay's call at a time finds out as well as all do.
func (d *Dispatcher) singleProber(q *queue) bool {
	return q.peerReport.observers >= minObservers && d.now < q.peerReport.validUntil && q.lastSuccessAt < q.peerReport.oldestAt
}

// isProber tells whether a destination is out, and this relay the next of the fleet to try it: it does so
// whatever its own pace and pauses are, since it does it for all.
func (d *Dispatcher) isProber(q *queue) bool {
	if !q.allEjected() && !d.singleProber(q) || len(q.endpoints) == 0 {
		return false
	}
	at := d.probeTurn(q.endpoints[0])
	return at > 0 && at <= d.now.Add(probeInterval)
}

// blockedUntil is until when nothing is sent: a told wait binds always, a pause of our own not the one that
// tries for all.
func (d *Dispatcher) blockedUntil(q *queue) instant.Time {
	if d.isProber(q) {
		return q.circuit.retryAfterUntil
	}
	return max(q.circuit.retryAfterUntil, q.circuit.backoffUntil)
}
