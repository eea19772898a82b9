package policy

import (
	"math"
	"time"
)

// This file decides by zones (docs/zones.md), where Settings.Zones is on: calls stay in the relay's own
// while that has room, a zone whose endpoints fail together is left at once and returned to gradually, and
// operators may order either.

const (
	// A zone is out when minFailingEndpoints endpoints of minFailingDestinations destinations, and zoneFailureThreshold of those that anything is
	// known of from the last healthObservationWindow, fail there, and of the others together no more than maxOtherZonesFailureShare.
	minFailingEndpoints, minFailingDestinations, zoneFailureThreshold, maxOtherZonesFailureShare, healthObservationWindow = 3, 2, 0.6, 0.25, 5 * time.Second
	// panicThreshold of the listed endpoints may be left at once: what is left could not carry more, and the
	// verdict more likely is wrong. (Envoy's panic threshold has the same reason.)
	panicThreshold = 0.5
	// initialRecoveryBackoff a setback on its return a zone waits, twice as long after each further one, up to the ramp.
	initialRecoveryBackoff = time.Second
	// A call that takes slowCallFactor of the usual shows that the own zone has no room: spilloverIncrease more of the calls
	// go elsewhere, up to maxSpillover, and spilloverDecrease less with each that was quick. That settles where one in
	// ten is slow.
	slowCallFactor, spilloverIncrease, spilloverDecrease, maxSpillover = 2.0, 0.09, 0.01, 0.9
)

// evaluateZones finds which zones are out, with each batch, and ends what has run its time.
func (d *Dispatcher) evaluateZones() {
	if !d.settings.Zones {
		return
	}
	seen, all := d.surveyZones()
	d.isolated = d.detectIsolation(seen)
	away := 0
	for no, c := range seen {
		if d.zoneStatus(no).state != Serving {
			away += c.listed
		}
	}
	for no, c := range seen {
		z := d.zoneStatus(no)
		ill := c.failsAlone(seen) && d.reachesOtherZone(no, seen)
		switch {
		case z.state == EvacuatedByOrder && d.now >= z.deadline:
			d.startRecovery(no)
		case ill && z.state == Serving && float64(away+c.listed) > panicThreshold*float64(all):
			for no := range seen { // too much seems ill: all verdicts are taken back
				if d.zoneStatus(no).state == Evacuated {
					d.startRecovery(no)
				}
			}
			return
		case ill && z.state == Serving:
			away += c.listed
			z.evacuations, z.deadline = z.evacuations+1, 0
			d.evacuate(no, Evacuated)
		case ill && z.state == Recovering:
			z.failedRecoveries++
			z.deadline = d.now.Add(min(d.settings.SlowStartWindow, initialRecoveryBackoff<<min(z.failedRecoveries, 16)))
			d.evacuate(no, Evacuated)
		case z.state == Recovering && d.now >= z.enteredAt.Add(d.settings.SlowStartWindow):
			z.recoveries, z.failedRecoveries = z.recoveries+1, 0
			d.setZoneState(no, Serving)
		}
	}
}

// zoneFails tells whether a zone fails as a whole.
func (c zoneSurvey) zoneFails() bool {
	return c.failing >= minFailingEndpoints && c.destinationCount() >= minFailingDestinations && float64(c.failing) >= zoneFailureThreshold*float64(c.known)
}

// failsAlone tells whether a zone fails as a whole, and the others, taken together, do not.
func (c zoneSurvey) failsAlone(seen []zoneSurvey) bool {
	known, bad := -c.known, -c.failing
	for _, o := range seen {
		known, bad = known+o.known, bad+o.failing
	}
	return c.zoneFails() && float64(bad) <= maxOtherZonesFailureShare*float64(known)
}

// reachesOtherZone tells whether a zone that is neither the own nor the one that fails has answered a call that was
// sent after that began to: only then it is not this relay that is cut off.
func (d *Dispatcher) reachesOtherZone(no int, seen []zoneSurvey) bool {
	for o, c := range seen {
		if o != no && o != d.settings.Zone && c.lastAnsweredAt > d.zoneStatus(no).failingSince {
			return true
		}
	}
	return false
}

// detectIsolation tells whether this relay is cut off, and not others out: nothing answers in all zones but its own,
// of which there are two at least. It accuses nobody then, and goes on with what it reaches.
func (d *Dispatcher) detectIsolation(seen []zoneSurvey) bool {
	others := 0
	for no, c := range seen {
		if no != d.settings.Zone && c.known > 0 {
			if others++; !c.zoneFails() {
				return false
			}
		}
	}
	return others >= 2
}

// evacuate leaves a zone: what has endpoints elsewhere goes there, and calls that are later than usual and may
// be made again are called off.
func (d *Dispatcher) evacuate(no int, as ZoneState) {
	d.setZoneState(no, as)
	for _, ep := range d.endpointsInZone(no) {
		if !d.servedElsewhere(ep) {
			continue
		}
		if as == Evacuated {
			d.ejectEndpoint(ep, true)
		}
		for _, c := range ep.calls {
			if !c.canceled && d.settings.CanCancel && d.callRetryable(c) && d.now >= d.overdueAt(c, 1) {
				d.cancelCall(c)
			}
		}
	}
}

// startRecovery lets a zone return, on the ramp of endpoints that were out; those that fail come after trials of
// their own.
func (d *Dispatcher) startRecovery(no int) {
	d.setZoneState(no, Recovering)
	for _, ep := range d.endpointsInZone(no) {
		if d.servedElsewhere(ep) && ep.lastFailureAt <= ep.lastSuccessAt {
			d.startSlowStart(ep, d.initialTokens(ep), true)
		}
	}
}

// mayRecover tells whether an endpoint that answers gets more than trials: not before its zone may return,
// one at a time.
func (d *Dispatcher) mayRecover(ep *endpoint) bool {
	z := d.zones[ep.Zone]
	if z == nil || z.state != Evacuated {
		return true
	}
	if d.now < z.deadline {
		return false
	}
	for _, o := range d.zones {
		if o.state == Recovering {
			return false
		}
	}
	d.setZoneState(ep.Zone, Recovering)
	return true
}

// avoidsZone tells whether a message keeps out of an endpoint's zone: but not one that only that zone knows.
func (d *Dispatcher) avoidsZone(ep *endpoint, m *message) bool {
	return d.settings.Zones && d.evacuatedByOrder(ep) && !(m.class.KeysPerZone && m.firstPossibleExecution() != nil)
}

// evacuatedByOrder tells whether operators have an endpoint's zone left, and its destination can be had elsewhere.
func (d *Dispatcher) evacuatedByOrder(ep *endpoint) bool {
	z := d.zones[ep.Zone]
	return z != nil && z.state == EvacuatedByOrder && d.servedElsewhere(ep)
}

// servedElsewhere tells whether a destination has an endpoint that serves in another zone that is not left.
func (d *Dispatcher) servedElsewhere(ep *endpoint) bool {
	for _, q := range ep.queue.destination.queues {
		for _, o := range q.endpoints {
			z := d.zones[o.Zone]
			if o.Zone != ep.Zone && !o.ejected && !o.Draining && (z == nil || z.state != EvacuatedByOrder) {
				return true
			}
		}
	}
	return false
}

// spilloverShares is how zones share a destination: the part of each zone's messages (rows) that each (columns)
// serves, by what arrives and what there is room for. Each serves its own first; the rest goes to the others
// in proportion to the room that they have left, and what nobody has room for stays.
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
	if !d.settings.Zones || ep.Zone != d.settings.Zone || ep.slowStarting || e.Outcome != OK && e.Outcome != Rejected {
		return // one that comes back is slow for a while, whatever room it has
	}
	if ep.normalLatency == 0 {
		ep.normalLatency = took
	}
	if e.Outcome == OK && took <= slowCallFactor*ep.normalLatency {
		ep.normalLatency += latencyWeight * (took - ep.normalLatency)
		ep.queue.spillover = math.Max(0, ep.queue.spillover-spilloverDecrease)
	} else if e.RetryAfter == 0 {
		ep.queue.spillover = math.Min(maxSpillover, ep.queue.spillover+spilloverIncrease)
	}
}
