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

// arrivalRate is the rate of messages at another relay, in messages a second, and whether it is known. As it
// is known from few relays, a standard error is added.
func (p *peerTraffic) arrivalRate(now instant.Time) (rate float64, known bool) {
	if now >= p.rateUntil || p.rate.Reporters < minObservers {
		return 0, false
	}
	return p.rate.ArrivalRate + p.rate.ArrivalRateError, true
}

// fleetState is what is known of the fleet as a whole.
type fleetState struct {
	liveRelays   int          // that share the traffic now; 0 for unknown
	lastGossipAt instant.Time // when the last gossip message was received
	publisher    ratePublisher
}

// ratePublisher publishes this relay's rates, one destination after the other.
type ratePublisher struct {
	nextAt    instant.Time
	nextQueue int // in Dispatcher.queues
}

// handlePeerRate takes in what other relays send a destination. A relay that has no experience with it starts
// with the fleet's rate.
func (d *Dispatcher) handlePeerRate(received PeerRateReceived) {
	queue := d.sharedQueue(received.Destination, true)
	if queue == nil {
		return
	}
	d.fleet.liveRelays = received.LiveRelays
	queue.peers = peerTraffic{rate: received, rateUntil: d.now.Add(received.ValidFor)}
	if d.settings.Zones {
		d.updateZoneShares(queue, received.ArrivalRateByZone)
	}
	limiter := &queue.limiter
	if queue.latency.outcomes == 0 && queue.circuit.rejectedCallAt == 0 && limiter.listedRate > 0 {
		share := math.Min(probingRateShare, math.Max(minRateShare, received.RateShare))
		limiter.rate = d.evenShare(queue) * share
		limiter.bucket.tokens = math.Min(limiter.bucket.tokens, limiter.burst())
	}
}

// relayCount is the number of relays that share the traffic.
func (d *Dispatcher) relayCount() float64 {
	if d.fleet.liveRelays > 0 {
		return float64(min(d.fleet.liveRelays, d.settings.FleetSize))
	}
	return float64(d.settings.FleetSize)
}

// trafficShare is this relay's part of what the fleet may send a destination, by the traffic that it has for
// it, as a multiple of an even share.
func (d *Dispatcher) trafficShare(q *queue) float64 {
	usual, known := q.peers.arrivalRate(d.now)
	if !known {
		return 1
	}
	own := q.admission.arrivals.rate(d.now)
	return math.Min(maxTrafficShare, math.Max(minTrafficShare, own/math.Max(minRate, usual)))
}

// publishRate publishes this relay's send rate for one destination after the other.
func (d *Dispatcher) publishRate() {
	if !d.settings.PublishRates || d.now < d.fleet.publisher.nextAt || len(d.queues) == 0 {
		return
	}
	interval := max(minPublishInterval, time.Duration(d.settings.FleetSize)*publishIntervalPerRelay)
	d.fleet.publisher.nextAt = d.now.Add(interval)
	d.fleet.publisher.nextQueue++
	queue := d.queues[d.fleet.publisher.nextQueue%len(d.queues)]
	if queue.separateRoute || queue.limiter.listedRate <= 0 {
		return
	}
	d.emit(PublishRate{
		Destination: queue.destination.number,
		RateShare:   queue.limiter.rate / d.evenShare(queue),
		ArrivalRate: queue.admission.arrivals.rate(d.now),
	})
}
