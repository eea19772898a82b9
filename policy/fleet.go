package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

// This file decides by what the fleet's relays tell each other (docs/fleet.md). It only ever brings forward
// or spreads out what this relay would do by itself; without it, or past its bound, everything is as in
// policy.go alone.

const (
	// minObservers relays have to find an endpoint out, or a destination refusing, before their word stands for
	// own findings: one alone may have a bad network of its own, two may share it.
	minObservers = 3
	// probeInterval is the time between two tries of the whole fleet at what is out, and between the turn of the
	// first and of the next that may: half the span in which receivers commonly count calls.
	probeInterval = rateWindow / 2
	// publishIntervalPerRelay relay of the fleet a pace is told so often, minPublishInterval apart at least: as often as a relay
	// tells of itself, with which it travels.
	publishIntervalPerRelay, minPublishInterval = 100 * time.Millisecond, 5 * time.Second
	// minTrafficShare and maxTrafficShare bound the part of an even share that uneven traffic makes.
	minTrafficShare, maxTrafficShare = 0.5, 3
)

// handlePeerSuspected takes in what the fleet finds. Own findings that are younger than the first of the others' go
// before it.
func (d *Dispatcher) handlePeerSuspected(e PeerSuspected) {
	w := peerReport{e.Observers, e.Rank, d.now.Add(-e.OldestAge), d.now.Add(-e.NewestAge), d.now.Add(e.ValidFor)}
	binds := w.valid(d.now)
	if ep := d.lookUpEndpoint(e.Endpoint, binds); ep != nil {
		// For zones and turns alone: among many relays single errors soon make three witnesses.
		if ep.peerReport = w; e.RecentObservers >= minObservers {
			ep.lastFailureAt = max(ep.lastFailureAt, w.newestAt)
		}
		return
	}
	q := d.sharedQueue(e.Destination, binds && e.Endpoint == "")
	if e.Endpoint != "" || q == nil {
		return
	}
	q.peerReport = w
	if w.observers < minObservers || d.now.Sub(w.oldestAt) <= circuitOpenAfter || q.lastSuccessAt >= w.oldestAt {
		return
	}
	for _, ep := range q.endpoints {
		if ep.recoveredAt < w.oldestAt {
			d.ejectEndpoint(ep, true)
		}
	}
}

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
	if ep.ejected {
		each = max(each, tokenDelay(1, d.relayCount()*d.slowStartBudget(ep, 0)))
	}
	return max(w.newestAt, ep.queue.probedAt).Add(time.Duration((1 + math.Log2(1+float64(w.rank))) * float64(each)))
}

// singleProber tells whether several relays were refused by a destination and none has been served since: not yet
// shut, but one relay's call at a time finds out as well as all do.
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
		return q.retryAfterUntil
	}
	return max(q.retryAfterUntil, q.backoffUntil)
}

// handlePeerRate takes in what other relays send a destination. One that has just started, and so has learned no
// pace of its own, begins with the fleet's.
func (d *Dispatcher) handlePeerRate(e PeerRateReceived) {
	q := d.sharedQueue(e.Destination, true)
	if q == nil {
		return
	}
	d.liveRelays, q.peerRate, q.peerRateUntil = e.LiveRelays, e, d.now.Add(e.ValidFor)
	if d.settings.Zones {
		d.updateZoneShares(q, e.ArrivalRateByZone)
	}
	if q.outcomes == 0 && q.rejectedCallAt == 0 && q.listedRate > 0 {
		q.sendRate = d.evenShare(q) * math.Min(probingRateShare, math.Max(minRateShare, e.RateShare))
		q.tokens = math.Min(q.tokens, math.Max(1, q.sendRate*rateWindow.Seconds()))
	}
}

// relayCount is how many relays share the traffic.
func (d *Dispatcher) relayCount() float64 {
	if d.liveRelays > 0 {
		return float64(min(d.liveRelays, d.settings.FleetSize))
	}
	return float64(d.settings.FleetSize)
}

// trafficShare is this relay's part of what the fleet may send a destination, by the traffic that it has for it, as
// a multiple of an even share. What the others get is known from few: it is taken for a standard error more.
func (d *Dispatcher) trafficShare(q *queue) float64 {
	if d.now >= q.peerRateUntil || q.peerRate.Reporters < minObservers {
		return 1
	}
	usual := q.peerRate.ArrivalRate + q.peerRate.ArrivalRateError
	return math.Min(maxTrafficShare, math.Max(minTrafficShare, q.arrivals.rate(d.now)/math.Max(1e-9, usual)))
}
