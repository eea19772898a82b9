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

// localityBalancer shares the calls of one queue between the relay's own zone and the others.
type localityBalancer struct {
	zoneShares  []float64       // share of the own zone's messages that each zone serves; nil for all at home
	spillover   float64         // share of the calls that the own zone has no capacity for, as observed
	zoneCredits map[int]float64 // calls that are to go to another zone
}

// avoidsZone tells whether a message keeps out of an endpoint's zone: but not one that only that zone knows.
func (d *Dispatcher) avoidsZone(ep *endpoint, m *message) bool {
	return d.settings.Zones && d.evacuatedByOrder(ep) && !(m.class.KeysPerZone && m.firstPossibleExecution() != nil)
}

// evacuatedByOrder tells whether operators have an endpoint's zone left, and its destination can be had
// elsewhere.
func (d *Dispatcher) evacuatedByOrder(ep *endpoint) bool {
	z := d.zones.byNumber[ep.Zone]
	return z != nil && z.state == EvacuatedByOrder && d.servedElsewhere(ep)
}

// servedElsewhere tells whether a destination has an endpoint that serves in another zone that is not left.
func (d *Dispatcher) servedElsewhere(ep *endpoint) bool {
	for _, q := range ep.queue.destination.queues {
		for _, o := range q.endpoints {
			z := d.zones.byNumber[o.Zone]
			if o.Zone != ep.Zone && !o.outlier.ejected && !o.Draining && (z == nil || z.state != EvacuatedByOrder) {
				return true
			}
		}
	}
	return false
}

// spilloverShares is how zones share a destination: the part of each zone's messages (rows) that each
// (columns) serves, by what arrives and what there is room for. Each serves its own first; the rest goes to
// the others in proportion to the room that they have left, and what nobody has room for stays.
func spilloverShares(demand, room []float64) [][]float64 {
	free, sumFree, sumOver := make([]float64, len(demand)), 0.0, 0.0
	for z := range demand {
		free[z] = math.Max(0, room[z]-demand[z])
		sumFree, sumOver = sumFree+free[z], sumOver+math.Max(0, demand[z]-room[z])
	}
	shares := make([][]float64, len(demand))
	for z := range demand {
		shares[z] = make([]float64, len(demand))
		goes := 0.0
		if over := demand[z] - room[z]; over > 0 && sumFree > 0 {
			goes = over / demand[z] * math.Min(1, sumFree/sumOver)
			for y := range demand { // what is full has nothing free
				shares[z][y] = goes * free[y] / sumFree
			}
		}
		shares[z][z] = 1 - goes
	}
	return shares
}

// recordLocalLoad learns from an outcome in the own zone whether that has room.
func (d *Dispatcher) recordLocalLoad(ep *endpoint, e AttemptEnded) {
	took := e.Latency.Seconds()
	if !d.settings.Zones || ep.Zone != d.settings.Zone || ep.slowStart.active || e.Outcome != OK && e.Outcome != Rejected {
		return // one that comes back is slow for a while, whatever room it has
	}
	if ep.normalLatency == 0 {
		ep.normalLatency = took
	}
	if e.Outcome == OK && took <= slowCallFactor*ep.normalLatency {
		ep.normalLatency += latencyWeight * (took - ep.normalLatency)
		ep.queue.locality.spillover = math.Max(0, ep.queue.locality.spillover-spilloverDecrease)
	} else if e.RetryAfter == 0 {
		ep.queue.locality.spillover = math.Min(maxSpillover, ep.queue.locality.spillover+spilloverIncrease)
	}
}

// updateZoneShares takes in what arrives for a destination in each zone.
func (d *Dispatcher) updateZoneShares(q *queue, traffic []float64) {
	if q.locality.zoneShares = nil; d.settings.Zone < 0 || d.settings.Zone >= len(traffic) || q.limiter.listedRate == 0 {
		return
	}
	room := make([]float64, len(traffic))
	for _, ep := range q.endpoints {
		if ep.Zone >= 0 && ep.Zone < len(room) && !ep.outlier.ejected && !ep.Draining && !d.evacuatedByOrder(ep) {
			room[ep.Zone] += q.limiter.listedRate / float64(len(q.endpoints))
		}
	}
	q.locality.zoneShares = spilloverShares(traffic, room)[d.settings.Zone]
}

// targetZone is the zone that the next call of a queue should go to: the own, or one that is owed a call.
func (d *Dispatcher) targetZone(q *queue) int {
	best := d.settings.Zone
	if !d.settings.Zones || len(q.locality.zoneCredits) == 0 {
		return best
	}
	for no := range maxZones {
		if owed := q.locality.zoneCredits[no]; owed >= 1 && (best == d.settings.Zone || owed > q.locality.zoneCredits[best]) {
			best = no
		}
	}
	return best
}

// recordSpillover counts a call against what is owed: each call adds to it the parts of it that other zones
// should have.
func (d *Dispatcher) recordSpillover(q *queue, to *endpoint) {
	others := map[int]bool{}
	for _, ep := range q.endpoints {
		if ep.Zone != d.settings.Zone && ep.Zone >= 0 && ep.Zone < maxZones && !ep.outlier.ejected && !ep.Draining {
			others[ep.Zone] = true
		}
	}
	if q.locality.zoneCredits == nil {
		q.locality.zoneCredits = map[int]float64{}
	}
	for no := range others {
		part := q.locality.spillover / float64(len(others))
		if no < len(q.locality.zoneShares) {
			part += (1 - q.locality.spillover) * q.locality.zoneShares[no]
		}
		q.locality.zoneCredits[no] = math.Min(maxZoneCredit, q.locality.zoneCredits[no]+part)
	}
	if to.Zone != d.settings.Zone {
		q.locality.zoneCredits[to.Zone] = math.Max(0, q.locality.zoneCredits[to.Zone]-1)
	}
}
