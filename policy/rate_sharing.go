package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

const (
	// publishIntervalPerRelay, multiplied by the number of relays, is the time between two rates that a relay
	// publishes: the whole fleet publishes at most ten rates a second.
	publishIntervalPerRelay = 100 * time.Millisecond
	// minPublishInterval is the shortest time between two published rates. It is as long as the heartbeat
	// interval of small fleets (fleet.minHeartbeatInterval), since heartbeats carry the rates.
	minPublishInterval = 5 * time.Second
	// minTrafficShare is the smallest traffic share of a relay, as a multiple of an even share.
	minTrafficShare = 0.5
	// maxTrafficShare is the largest traffic share of a relay, as a multiple of an even share.
	maxTrafficShare = 3
)

// peerTraffic is the last report of the rates at which the other relays send to a destination.
type peerTraffic struct {
	rate      PeerRateReceived
	rateUntil instant.Time // end of the time in which the report may be used
}

// arrivalRate returns the rate at which messages arrive at another relay on average, in messages a second,
// and whether it is known. Since the mean is over a sample of the relays, one standard error is added.
func (p *peerTraffic) arrivalRate(now instant.Time) (rate float64, known bool) {
	if now >= p.rateUntil || p.rate.Reporters < minObservers {
		return 0, false
	}
	return p.rate.ArrivalRate + p.rate.ArrivalRateError, true
}

// fleetState holds what is known of the fleet as a whole.
type fleetState struct {
	liveRelays   int          // relays that share the traffic now; 0 for unknown
	lastGossipAt instant.Time // when the last gossip message was received
	publisher    ratePublisher
}

// ratePublisher schedules the publication of this relay's rates, one destination at a time.
type ratePublisher struct {
	nextAt    instant.Time // earliest time of the next publication
	nextQueue int          // counter; modulo the number of queues, an index into Dispatcher.queues
}

// handlePeerRate handles a report of the rates of other relays for a destination. If this relay has had no
// success there, knows of no rejection and the destination has a listed rate, its send rate becomes the even
// share times the reported RateShare, limited to minRateShare to probingRateShare.
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

// relayCount returns the number of relays that share the traffic: the live ones if they are known, at most
// FleetSize.
func (d *Dispatcher) relayCount() float64 {
	if d.fleet.liveRelays > 0 {
		return float64(min(d.fleet.liveRelays, d.settings.FleetSize))
	}
	return float64(d.settings.FleetSize)
}

// trafficShare returns this relay's part of what the fleet may send to a destination, as a multiple of an
// even share. It follows the arrival rate here relative to that of the other relays, between minTrafficShare
// and maxTrafficShare, and is 1 if theirs is unknown.
func (d *Dispatcher) trafficShare(q *queue) float64 {
	peerRate, known := q.peers.arrivalRate(d.now)
	if !known {
		return 1
	}
	ownRate := q.admission.arrivals.rate(d.now)
	return math.Min(maxTrafficShare, math.Max(minTrafficShare, ownRate/math.Max(minRate, peerRate)))
}

// publishRate publishes the send rate and the arrival rate of the next queue, if it is time. Queues of
// separate routes, or without a listed rate, are left out.
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
