package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

const (
	// minObservers is the number of relays that have to report a problem before a report counts like this
	// relay's own observations: a single relay may have a faulty network, and two may share it.
	minObservers = 3
	// probeInterval is the shortest time between two probes of the whole fleet, and between the turns of two
	// relays: half the window in which receivers commonly count calls.
	probeInterval = rateWindow / 2
)

// singleProber reports whether several relays report rejections by a destination and this relay has had no
// success there since. The destination is not yet known to be down, but one relay that probes at a time is
// enough to find out.
func (q *queue) singleProber(now instant.Time) bool {
	report := q.peerReport
	return report.observers >= minObservers && now < report.validUntil && q.lastSuccessAt < report.oldestAt
}

// isProber reports whether a destination is down or suspected to be, and this relay's turn to probe it for
// the fleet has come or is at most probeInterval away. A prober ignores its own send rate and backoff.
func (d *Dispatcher) isProber(q *queue) bool {
	if !q.allEjected() && !q.singleProber(d.now) || len(q.endpoints) == 0 {
		return false
	}
	turn := d.probeTurn(q.endpoints[0])
	return turn > 0 && turn <= d.now.Add(probeInterval)
}

// probeTurn returns when this relay may probe an endpoint that the fleet reports as down, or 0 if there is no
// valid report. The first relay by rank probes one interval after the fleet's last probe. In case that relay
// has nothing to send, each further interval lets about twice as many relays probe. The interval is
// probeInterval, or longer if the slow start budget of the fleet allows fewer probes.
func (d *Dispatcher) probeTurn(ep *endpoint) instant.Time {
	report := ep.peerReport
	queueReport := ep.queue.peerReport
	if !report.valid(d.now) || queueReport.valid(d.now) && queueReport.newestAt > report.newestAt {
		report = queueReport
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

// blockedUntil returns until when a queue sends nothing. A Retry-After always applies; the relay's own
// backoff does not while it probes for the fleet.
func (d *Dispatcher) blockedUntil(q *queue) instant.Time {
	if d.isProber(q) {
		return q.circuit.retryAfterUntil
	}
	return q.circuit.pausedUntil()
}
