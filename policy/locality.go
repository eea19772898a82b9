package policy

import "math"

const (
	// slowCallFactor is the multiple of an endpoint's normal latency above which a call shows that the own
	// zone is overloaded.
	slowCallFactor = 2.0
	// spilloverIncrease is what a slow or rejected call adds to the spillover. Together with
	// spilloverDecrease, the spillover settles where one call in ten is slow.
	spilloverIncrease = 0.09
	// spilloverDecrease is what a quick call subtracts from the spillover.
	spilloverDecrease = 0.01
	// maxSpillover bounds the spillover, so that the own zone still gets calls.
	maxSpillover = 0.9
	// maxZoneCredit is the largest number of calls that another zone can accumulate as credit.
	maxZoneCredit = 2
)

// localityBalancer divides the calls of one queue between the relay's own zone and the others: calls stay in
// the own zone while it has capacity. It belongs to one queue and is not safe for concurrent use.
type localityBalancer struct {
	// zoneShares is the share of the own zone's messages that each zone should serve, by reported arrival
	// rates and capacities; nil if they all stay in the own zone.
	zoneShares []float64
	// spillover is the observed share of the calls that the own zone has no capacity for.
	spillover float64
	// zoneCredits holds the calls, or parts of a call, that each other zone should still get.
	zoneCredits map[int]float64
}

// recordQuickCall lowers the spillover after a call with normal latency.
func (l *localityBalancer) recordQuickCall() {
	l.spillover = math.Max(0, l.spillover-spilloverDecrease)
}

// recordSlowCall raises the spillover after a slow or rejected call.
func (l *localityBalancer) recordSlowCall() {
	l.spillover = math.Min(maxSpillover, l.spillover+spilloverIncrease)
}

// share returns the share of the calls that another zone should get, given the number of other zones that can
// serve the destination.
func (l *localityBalancer) share(zone, otherZones int) float64 {
	share := l.spillover / float64(otherZones)
	if zone < len(l.zoneShares) {
		share += (1 - l.spillover) * l.zoneShares[zone]
	}
	return share
}

// recordCall counts a call: each of the other zones gets its share of a call as credit, and the credit of
// the zone that receives the call falls by one call, unless it is the own zone.
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

// target returns the zone that should get the next call: the other zone with the most credit, if it has
// credit for at least one call, or else the own zone.
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

// spilloverShares returns, for each zone (row), the share of its messages that each zone (column) should
// serve, given the demand and the capacity of each zone in messages a second. Each zone serves its own
// messages first. The excess goes to the other zones in proportion to their free capacity, and what exceeds
// the total capacity stays in its own zone.
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
		leavingShare := 0.0
		if excess := demand[zone] - capacity[zone]; excess > 0 && totalFree > 0 {
			leavingShare = excess / demand[zone] * math.Min(1, totalFree/totalExcess)
			for other := range demand { // a zone without free capacity gets a share of 0
				shares[zone][other] = leavingShare * free[other] / totalFree
			}
		}
		shares[zone][zone] = 1 - leavingShare
	}
	return shares
}

// avoidsZone reports whether a message must not go to an endpoint because operators have evacuated its zone.
// A message that may already have been executed in one zone, with an idempotency key known only there, is
// exempt.
func (d *Dispatcher) avoidsZone(ep *endpoint, m *message) bool {
	if !d.settings.Zones || m.class.KeysPerZone && m.firstPossibleExecution() != nil {
		return false
	}
	return d.zones.evacuatedByOrder(ep)
}

// evacuatedByOrder reports whether operators have evacuated the zone of an endpoint and its destination can
// be served from another zone.
func (t *zoneTable) evacuatedByOrder(ep *endpoint) bool {
	return t.state(ep.Zone) == EvacuatedByOrder && t.servedElsewhere(ep)
}

// servedElsewhere reports whether the destination of an endpoint has a healthy endpoint in another zone that
// is not evacuated by order.
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

// recordLocalLoad updates the spillover of a queue with an outcome in the own zone. Endpoints in slow start
// are ignored, since they are slow for a while whatever their capacity is, and so are slow calls and
// rejections that carry a Retry-After.
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

// updateZoneShares recomputes the zone shares of a queue from the messages a second that arrive for its
// destination in each zone.
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

// targetZone returns the zone that the next call of a queue should go to: always the own zone if zones are
// off in the settings.
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
