package policy

import (
	"errors"
	"math"
	"math/bits"

	"milletsail/internal/instant"
)

// This file holds the state of zones; zones.go decides on it.

// zone is what is known of a zone.
type zone struct {
	state                   ZoneState
	enteredAt               instant.Time
	deadline                instant.Time // an order's end, or of the wait after a setback
	failedRecoveries        int          // in a row, on the way back
	failingSince            instant.Time // when endpoints there began to fail; 0 where none do
	evacuations, recoveries int
}

// maxZones bounds the numbers of zones: a wrong one in a list must not take memory.
const maxZones = 64

// zoneStatus gives what is known of a zone.
func (d *Dispatcher) zoneStatus(no int) *zone {
	if d.zones[no] == nil {
		if d.zones == nil {
			d.zones = map[int]*zone{}
		}
		d.zones[no] = &zone{}
	}
	return d.zones[no]
}

// setZoneState notes a zone's state.
func (d *Dispatcher) setZoneState(no int, as ZoneState) {
	z := d.zoneStatus(no)
	z.state, z.enteredAt = as, d.now
	d.emit(ZoneStateChanged{Zone: no, State: as})
}

// endpointsInZone lists the endpoints of a zone, in the order of the queues.
func (d *Dispatcher) endpointsInZone(no int) (all []*endpoint) {
	for _, q := range d.queues {
		for _, ep := range q.endpoints {
			if ep.Zone == no {
				all = append(all, ep)
			}
		}
	}
	return all
}

// zoneSurvey counts a zone's endpoints: listed, those that anything is known of, and of these those that fail.
type zoneSurvey struct {
	listed, known, failing int
	failingDestinations    uint64       // of those that fail, one bit each, by number
	lastAnsweredAt         instant.Time // when the latest call that was answered was sent
}

func (c zoneSurvey) destinationCount() int { return bits.OnesCount64(c.failingDestinations) }

// surveyZones counts all zones.
func (d *Dispatcher) surveyZones() (seen []zoneSurvey, all int) {
	for _, q := range d.queues {
		for _, ep := range q.endpoints {
			if ep.Zone < 0 || ep.Zone >= maxZones || ep.Draining {
				continue
			}
			for len(seen) <= ep.Zone {
				seen = append(seen, zoneSurvey{})
			}
			c, z := &seen[ep.Zone], d.zoneStatus(ep.Zone)
			all++
			c.listed++
			c.lastAnsweredAt = max(c.lastAnsweredAt, ep.succeededCallAt)
			old := z.state == Recovering && ep.lastFailureAt <= z.enteredAt // it failed before its zone began to return
			if ep.lastFailureAt > ep.lastSuccessAt && (ep.ejected || d.now.Sub(ep.lastFailureAt) < healthObservationWindow) && !old || d.unresponsive(ep) {
				c.failing++
				c.known++
				c.failingDestinations |= 1 << (q.destination.number % 64)
			} else if ep.lastSuccessAt > 0 && d.now.Sub(ep.lastSuccessAt) < healthObservationWindow {
				c.known++
			}
		}
	}
	for no, c := range seen {
		if z := d.zoneStatus(no); c.failing == 0 {
			z.failingSince = 0
		} else if z.failingSince == 0 {
			z.failingSince = d.now
		}
	}
	return seen, all
}

// Zones says how all zones fare, and whether this relay takes itself for cut off.
func (d *Dispatcher) Zones() (all []ZoneStatus, cutOff bool) {
	seen, _ := d.surveyZones()
	for no, c := range seen {
		z := d.zoneStatus(no)
		all = append(all, ZoneStatus{no, z.state, z.enteredAt, z.deadline, c.listed, z.evacuations, z.recoveries})
	}
	return all, d.isolated
}

// Order has a zone left until a moment by the order of operators, or restored where that is 0. One that
// makes no sense is refused with the reason. Handle has to be called after it.
func (d *Dispatcher) Order(no int, until instant.Time) error {
	seen, _ := d.surveyZones()
	if !d.settings.Zones || no < 0 || no >= len(seen) || seen[no].listed == 0 {
		return errors.New("zones are off, or no endpoint is listed in this one")
	}
	z, others := d.zoneStatus(no), 0
	for o, c := range seen {
		if o != no && c.listed > 0 && d.zoneStatus(o).state != EvacuatedByOrder {
			others++
		}
	}
	switch {
	case until == 0 && z.state != EvacuatedByOrder:
		return errors.New("it is not evacuated by order")
	case until == 0:
		d.startRecovery(no)
	case z.state == EvacuatedByOrder:
		return errors.New("it is evacuated by order already")
	case others == 0:
		return errors.New("it is the last zone that is left")
	default:
		z.deadline = until
		z.evacuations++
		d.evacuate(no, EvacuatedByOrder)
	}
	return nil
}

// updateZoneShares takes in what arrives for a destination in each zone.
func (d *Dispatcher) updateZoneShares(q *queue, traffic []float64) {
	if q.zoneShares = nil; d.settings.Zone < 0 || d.settings.Zone >= len(traffic) || q.listedRate == 0 {
		return
	}
	room := make([]float64, len(traffic))
	for _, ep := range q.endpoints {
		if ep.Zone >= 0 && ep.Zone < len(room) && !ep.ejected && !ep.Draining && !d.evacuatedByOrder(ep) {
			room[ep.Zone] += q.listedRate / float64(len(q.endpoints))
		}
	}
	q.zoneShares = spilloverShares(traffic, room)[d.settings.Zone]
}

// targetZone is the zone that the next call of a queue should go to: the own, or one that is owed a call.
func (d *Dispatcher) targetZone(q *queue) int {
	best := d.settings.Zone
	if !d.settings.Zones || len(q.zoneCredits) == 0 {
		return best
	}
	for no := range maxZones {
		if owed := q.zoneCredits[no]; owed >= 1 && (best == d.settings.Zone || owed > q.zoneCredits[best]) {
			best = no
		}
	}
	return best
}

// recordSpillover counts a call against what is owed: each call adds to it the parts of it that other zones should have.
func (d *Dispatcher) recordSpillover(q *queue, to *endpoint) {
	others := map[int]bool{}
	for _, ep := range q.endpoints {
		if ep.Zone != d.settings.Zone && ep.Zone >= 0 && ep.Zone < maxZones && !ep.ejected && !ep.Draining {
			others[ep.Zone] = true
		}
	}
	if q.zoneCredits == nil {
		q.zoneCredits = map[int]float64{}
	}
	for no := range others {
		part := q.spillover / float64(len(others))
		if no < len(q.zoneShares) {
			part += (1 - q.spillover) * q.zoneShares[no]
		}
		q.zoneCredits[no] = math.Min(2, q.zoneCredits[no]+part)
	}
	if to.Zone != d.settings.Zone {
		q.zoneCredits[to.Zone] = math.Max(0, q.zoneCredits[to.Zone]-1)
	}
}
