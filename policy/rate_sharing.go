package policy

import (
	"math"
	"time"
)

const (
	// publishIntervalPerRelay is the part that each relay of the fleet adds to the time between two published
	// rates.
	publishIntervalPerRelay = 100 * time.Millisecond
	// minPublishInterval is the least time between two published rates: the interval of the heartbeats that
	// carry them.
	minPublishInterval = 5 * time.Second
	// minTrafficShare is the least multiple of an even share that a relay takes for having little traffic.
	minTrafficShare = 0.5
	// maxTrafficShare is the greatest multiple of an even share that a relay takes for having much traffic.
	maxTrafficShare = 3
)

// handlePeerRate takes in what other relays send a destination. One that has just started, and so has learned
// no pace of its own, begins with the fleet's.
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

// trafficShare is this relay's part of what the fleet may send a destination, by the traffic that it has for
// it, as a multiple of an even share. What the others get is known from few: it is taken for a standard error
// more.
func (d *Dispatcher) trafficShare(q *queue) float64 {
	if d.now >= q.peerRateUntil || q.peerRate.Reporters < minObservers {
		return 1
	}
	usual := q.peerRate.ArrivalRate + q.peerRate.ArrivalRateError
	return math.Min(maxTrafficShare, math.Max(minTrafficShare, q.arrivals.rate(d.now)/math.Max(1e-9, usual)))
}

// publishRate tells the others this relay's pace for one destination after the other.
func (d *Dispatcher) publishRate() {
	if !d.settings.PublishRates || d.now < d.publishAt || len(d.queues) == 0 {
		return
	}
	d.publishAt = d.now.Add(max(minPublishInterval, time.Duration(d.settings.FleetSize)*publishIntervalPerRelay))
	d.publishNext++
	if q := d.queues[d.publishNext%len(d.queues)]; !q.separateRoute && q.listedRate > 0 {
		d.emit(PublishRate{Destination: q.destination.number, RateShare: q.sendRate / d.evenShare(q), ArrivalRate: q.arrivals.rate(d.now)})
	}
}
