package policy

import "math"

const (
	// slowCallFactor is the multiple of the usual latency from which on a call shows that the own zone is
	// overloaded.
	slowCallFactor = 2.0
	// spilloverIncrease is what a slow or rejected call adds to the share of calls that leave the zone. With
	// spilloverDecrease, the share settles where one call in ten is slow.
	spilloverIncrease = 0.09
	// spilloverDecrease is what a quick call takes from that share.
	spilloverDecrease = 0.01
	// maxSpillover bounds that share.
	maxSpillover = 0.9
	// maxZoneCredit is the number of calls that another zone may save up.
	maxZoneCredit = 2
)

// localityBalancer shares the calls of one queue between the relay's own zone and the others: calls stay in
// the own zone while it has capacity. It belongs to one queue and is not safe for concurrent use.
type localityBalancer struct {
	zoneShares  []float64       // share of the own zone's messages that each zone serves; nil for all at home
	spillover   float64         // share of the calls that the own zone has no capacity for, as observed
	zoneCredits map[int]float64 // calls that are to go to another zone
}

// recordQuickCall lowers the spillover.
func (l *localityBalancer) recordQuickCall() {
	l.spillover = math.Max(0, l.spillover-spilloverDecrease)
}

// recordSlowCall raises the spillover.
func (l *localityBalancer) recordSlowCall() {
	l.spillover = math.Min(maxSpillover, l.spillover+spilloverIncrease)
}

// share is the share of the calls that another zone should get, of a number of them that serve.
func (l *localityBalancer) share(zone, otherZones int) float64 {
	share := l.spillover / float64(otherZones)
	if zone < len(l.zoneShares) {
		share += (1 - l.spillover) * l.zoneShares[zone]
	}
	return share
}

// recordCall counts a call to a zone: it gives all other zones that serve their shares of it, and takes it
// from the one that gets it.
func (l *localityBalancer) recordCall(to, ownZone int, otherZones map[int]bool) {
	if l.zoneCredits == nil {
		l.zoneCredits = map[int]float64{}
	}
	for zone := range otherZones {
		l.zoneCredits[zone] = math.Min(maxZoneCredit, l.zoneCredits[zone]+l.share(zone, len(otherZones)))
	}
	if to != ownZone {
		l.zoneCredits[to] = math.Max(0, l.zoneCredits[to]-1)
	}
}

// target is the zone that the next call should go to: the one with the most credit, of a call at least, or
// the own one.
func (l *localityBalancer) target(ownZone int) int {
	best := ownZone
	if len(l.zoneCredits) == 0 {
		return best
	}
	for zone := range maxZones {
		if credit := l.zoneCredits[zone]; credit >= 1 && (best == ownZone || credit > l.zoneCredits[best]) {
			best = zone
		}
	}
	return best
}

// spilloverShares is how zones share a destination: the share of each zone's messages (rows) that each zone
// (columns) serves, by what arrives and the capacities. Each zone serves its own messages first; the rest
// goes to the others in proportion to the capacity that they have left, and what nobody has capacity for
// stays.
func spilloverShares(demand, capacity []float64) [][]float64 {
	free, totalFree, totalExcess := make([]float64, len(demand)), 0.0, 0.0
	for zone := range demand {
		free[zone] = math.Max(0, capacity[zone]-demand[zone])
		totalFree += free[zone]
		totalExcess += math.Max(0, demand[zone]-capacity[zone])
	}
	shares := make([][]float64, len(demand))
	for zone := range demand {
		shares[zone] = make([]float64, len(demand))
		leaving := 0.0
		if excess := demand[zone] - capacity[zone]; excess > 0 && totalFree > 0 {
			leaving = excess / demand[zone] * math.Min(1, totalFree/totalExcess)
			for other := range demand { // a zone without capacity left has a share of 0
				shares[zone][other] = leaving * free[other] / totalFree
			}
		}
		shares[zone][zone] = 1 - leaving
	}
	return shares
}

// avoidsZone reports whether a message keeps out of an endpoint's zone since operators have evacuated it; but
// not one whose idempotency key only that zone may have.
func (d *Dispatcher) avoidsZone(ep *endpoint, m *message) bool {
	if !d.settings.Zones || m.class.KeysPerZone && m.firstPossibleExecution() != nil {
		return false
	}
	return d.zones.evacuatedByOrder(ep)
}

// evacuatedByOrder reports whether operators have evacuated an endpoint's zone and its destination is served
// elsewhere.
func (t *zoneTable) evacuatedByOrder(ep *endpoint) bool {
	return t.state(ep.Zone) == EvacuatedByOrder && t.servedElsewhere(ep)
}

// servedElsewhere reports whether a destination has an endpoint that serves in another zone that isn't
// evacuated by order.
func (t *zoneTable) servedElsewhere(ep *endpoint) bool {
	for _, q := range ep.queue.destination.queues {
		for _, other := range q.endpoints {
			serves := !other.outlier.ejected && !other.Draining
			if other.Zone != ep.Zone && serves && t.state(other.Zone) != EvacuatedByOrder {
				return true
			}
		}
	}
	return false
}

// recordLocalLoad takes in what an outcome in the own zone says of its capacity. An endpoint in slow start
// says nothing: it is slow for a while, whatever its capacity.
func (d *Dispatcher) recordLocalLoad(ep *endpoint, ended AttemptEnded) {
	if !d.settings.Zones || ep.Zone != d.settings.Zone || ep.slowStart.active {
		return
	}
	if ended.Outcome != OK && ended.Outcome != Rejected {
		return
	}
	latency := ended.Latency.Seconds()
	if ep.normalLatency == 0 {
		ep.normalLatency = latency
	}
	if ended.Outcome == OK && latency <= slowCallFactor*ep.normalLatency {
		ep.normalLatency += latencyWeight * (latency - ep.normalLatency)
		ep.queue.locality.recordQuickCall()
	} else if ended.RetryAfter == 0 {
		ep.queue.locality.recordSlowCall()
	}
}

// updateZoneShares takes in the messages a second that arrive for a destination in each zone.
func (d *Dispatcher) updateZoneShares(q *queue, demand []float64) {
	q.locality.zoneShares = nil
	if d.settings.Zone < 0 || d.settings.Zone >= len(demand) || q.limiter.listedRate == 0 {
		return
	}
	capacity := make([]float64, len(demand))
	for _, ep := range q.endpoints {
		serves := !ep.outlier.ejected && !ep.Draining && !d.zones.evacuatedByOrder(ep)
		if ep.Zone >= 0 && ep.Zone < len(capacity) && serves {
			capacity[ep.Zone] += q.limiter.listedRate / float64(len(q.endpoints))
		}
	}
	q.locality.zoneShares = spilloverShares(demand, capacity)[d.settings.Zone]
}

// targetZone is the zone that the next call of a queue should go to.
func (d *Dispatcher) targetZone(q *queue) int {
	if !d.settings.Zones {
		return d.settings.Zone
	}
	return q.locality.target(d.settings.Zone)
}

// recordSpillover counts a call of a queue in its localityBalancer.
func (d *Dispatcher) recordSpillover(q *queue, to *endpoint) {
	otherZones := map[int]bool{}
	for _, ep := range q.endpoints {
		serves := !ep.outlier.ejected && !ep.Draining
		if ep.Zone != d.settings.Zone && ep.Zone >= 0 && ep.Zone < maxZones && serves {
			otherZones[ep.Zone] = true
		}
	}
	q.locality.recordCall(to.Zone, d.settings.Zone, otherZones)
}
