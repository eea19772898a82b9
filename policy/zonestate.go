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
	state                ZoneState
	since                instant.Time
	until                instant.Time // an order's end, or of the wait after a setback
	setbacks             int          // in a row, on the way back
	badSince             instant.Time // when endpoints there began to fail; 0 where none do
	evacuations, returns int
}

// maxZones bounds the numbers of zones: a wrong one in a list must not take memory.
const maxZones = 64

// zone gives what is known of a zone.
func (d *Dispatcher) zone(no int) *zone {
	if d.zones[no] == nil {
		if d.zones == nil {
			d.zones = map[int]*zone{}
		}
		d.zones[no] = &zone{}
	}
	return d.zones[no]
}

// enter notes a zone's state.
func (d *Dispatcher) enter(no int, as ZoneState) {
	z := d.zone(no)
	z.state, z.since = as, d.now
	d.act(ZoneStateChanged{Zone: no, State: as})
}

// inZone lists the endpoints of a zone, in the order of the queues.
func (d *Dispatcher) inZone(no int) (all []*endpoint) {
	for _, q := range d.queues {
		for _, ep := range q.eps {
			if ep.Zone == no {
				all = append(all, ep)
			}
		}
	}
	return all
}

// census counts a zone's endpoints: listed, those that anything is known of, and of these those that fail.
type census struct {
	listed, known, bad int
	dests              uint64       // of those that fail, one bit each, by number
	answered           instant.Time // when the latest call that was answered was sent
}

func (c census) destinations() int { return bits.OnesCount64(c.dests) }

// survey counts all zones.
func (d *Dispatcher) survey() (seen []census, all int) {
	for _, q := range d.queues {
		for _, ep := range q.eps {
			if ep.Zone < 0 || ep.Zone >= maxZones || ep.Draining {
				continue
			}
			for len(seen) <= ep.Zone {
				seen = append(seen, census{})
			}
			c, z := &seen[ep.Zone], d.zone(ep.Zone)
			all++
			c.listed++
			c.answered = max(c.answered, ep.lastBegun)
			old := z.state == Recovering && ep.failedAt <= z.since // it failed before its zone began to return
			if ep.failedAt > ep.lastOK && (ep.sick || d.now.Sub(ep.failedAt) < knownFor) && !old || d.silent(ep) {
				c.bad++
				c.known++
				c.dests |= 1 << (q.dest.no % 64)
			} else if ep.lastOK > 0 && d.now.Sub(ep.lastOK) < knownFor {
				c.known++
			}
		}
	}
	for no, c := range seen {
		if z := d.zone(no); c.bad == 0 {
			z.badSince = 0
		} else if z.badSince == 0 {
			z.badSince = d.now
		}
	}
	return seen, all
}

// Zones says how all zones fare, and whether this relay takes itself for cut off.
func (d *Dispatcher) Zones() (all []ZoneStatus, cutOff bool) {
	seen, _ := d.survey()
	for no, c := range seen {
		z := d.zone(no)
		all = append(all, ZoneStatus{no, z.state, z.since, z.until, c.listed, z.evacuations, z.returns})
	}
	return all, d.cutOff
}

// Order has a zone left until a moment by the order of operators, or restored where that is 0. One that
// makes no sense is refused with the reason. Handle has to be called after it.
func (d *Dispatcher) Order(no int, until instant.Time) error {
	seen, _ := d.survey()
	if !d.s.Zones || no < 0 || no >= len(seen) || seen[no].listed == 0 {
		return errors.New("zones are off, or no endpoint is listed in this one")
	}
	z, others := d.zone(no), 0
	for o, c := range seen {
		if o != no && c.listed > 0 && d.zone(o).state != EvacuatedByOrder {
			others++
		}
	}
	switch {
	case until == 0 && z.state != EvacuatedByOrder:
		return errors.New("it is not evacuated by order")
	case until == 0:
		d.restore(no)
	case z.state == EvacuatedByOrder:
		return errors.New("it is evacuated by order already")
	case others == 0:
		return errors.New("it is the last zone that is left")
	default:
		z.until = until
		z.evacuations++
		d.leave(no, EvacuatedByOrder)
	}
	return nil
}

// apportion takes in what arrives for a destination in each zone.
func (d *Dispatcher) apportion(q *queue, traffic []float64) {
	if q.row = nil; d.s.Zone < 0 || d.s.Zone >= len(traffic) || q.weight == 0 {
		return
	}
	room := make([]float64, len(traffic))
	for _, ep := range q.eps {
		if ep.Zone >= 0 && ep.Zone < len(room) && !ep.sick && !ep.Draining && !d.left(ep) {
			room[ep.Zone] += q.weight / float64(len(q.eps))
		}
	}
	q.row = spill(traffic, room)[d.s.Zone]
}

// home is the zone that the next call of a queue should go to: the own, or one that is owed a call.
func (d *Dispatcher) home(q *queue) int {
	best := d.s.Zone
	if !d.s.Zones || len(q.owed) == 0 {
		return best
	}
	for no := range maxZones {
		if owed := q.owed[no]; owed >= 1 && (best == d.s.Zone || owed > q.owed[best]) {
			best = no
		}
	}
	return best
}

// spilled counts a call against what is owed: each call adds to it the parts of it that other zones should have.
func (d *Dispatcher) spilled(q *queue, to *endpoint) {
	others := map[int]bool{}
	for _, ep := range q.eps {
		if ep.Zone != d.s.Zone && ep.Zone >= 0 && ep.Zone < maxZones && !ep.sick && !ep.Draining {
			others[ep.Zone] = true
		}
	}
	if q.owed == nil {
		q.owed = map[int]float64{}
	}
	for no := range others {
		part := q.press / float64(len(others))
		if no < len(q.row) {
			part += (1 - q.press) * q.row[no]
		}
		q.owed[no] = math.Min(2, q.owed[no]+part)
	}
	if to.Zone != d.s.Zone {
		q.owed[to.Zone] = math.Max(0, q.owed[to.Zone]-1)
	}
}
