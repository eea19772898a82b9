package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
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

// peerTraffic is what the other relays send a destination.
type peerTraffic struct {
	rate      PeerRateReceived
	rateUntil instant.Time // until when it may be used
}

// ratePublisher publishes this relay's rates, one destination after the other.
type ratePublisher struct {
	nextAt    instant.Time
	nextQueue int // in Dispatcher.queues
}

// handlePeerRate takes in what other relays send a destination. One that has just started, and so has learned
// no pace of its own, begins with the fleet's.
func (d *Dispatcher) handlePeerRate(e PeerRateReceived) {
	q := d.sharedQueue(e.Destination, true)
	if q == nil {
		return
	}
	d.liveRelays, q.peers.rate, q.peers.rateUntil = e.LiveRelays, e, d.now.Add(e.ValidFor)
	if d.settings.Zones {
		d.updateZoneShares(q, e.ArrivalRateByZone)
	}
	if q.latency.outcomes == 0 && q.circuit.rejectedCallAt == 0 && q.limiter.listedRate > 0 {
		q.limiter.rate = d.evenShare(q) * math.Min(probingRateShare, math.Max(minRateShare, e.RateShare))
		q.limiter.bucket.tokens = math.Min(q.limiter.bucket.tokens, math.Max(1, q.limiter.rate*rateWindow.Seconds()))
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
	if d.now >= q.peers.rateUntil || q.peers.rate.Reporters < minObservers {
		return 1
	}
	usual := q.peers.rate.ArrivalRate + q.peers.rate.ArrivalRateError
	return math.Min(maxTrafficShare, math.Max(minTrafficShare, q.admission.arrivals.rate(d.now)/math.Max(1e-9, usual)))
}

// publishRate tells the others this relay's pace for one destination after the other.
func (d *Dispatcher) publishRate() {
	if !d.settings.PublishRates || d.now < d.publisher.nextAt || len(d.queues) == 0 {
		return
	}
	d.publisher.nextAt = d.now.Add(max(minPublishInterval, time.Duration(d.settings.FleetSize)*publishIntervalPerRelay))
	d.publisher.nextQueue++
	if q := d.queues[d.publisher.nextQueue%len(d.queues)]; !q.separateRoute && q.limiter.listedRate > 0 {
		d.emit(PublishRate{Destination: q.destination.number, RateShare: q.limiter.rate / d.evenShare(q), ArrivalRate: q.admission.arrivals.rate(d.now)})
	}
}
