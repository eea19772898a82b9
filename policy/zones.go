package policy

import (
	"math"
	"time"
)

// This file decides by zones (docs/zones.md), where Settings.Zones is on: calls stay in the relay's own
// while that has room, a zone whose endpoints fail together is left at once and returned to gradually, and
// operators may order either.

const (
	// A zone is out when illLeast endpoints of illDests destinations, and illShare of those that anything is
	// known of from the last knownFor, fail there, and of the others together no more than wellShare.
	illLeast, illDests, illShare, wellShare, knownFor = 3, 2, 0.6, 0.25, 5 * time.Second
	// mostAway of the listed endpoints may be left at once: what is left could not carry more, and the
	// verdict more likely is wrong. (Envoy's panic threshold has the same reason.)
	mostAway = 0.5
	// againAfter a setback on its return a zone waits, twice as long after each further one, up to the ramp.
	againAfter = time.Second
	// A call that takes slowBy of the usual shows that the own zone has no room: pressUp more of the calls
	// go elsewhere, up to pressMost, and pressDown less with each that was quick. That settles where one in
	// ten is slow.
	slowBy, pressUp, pressDown, pressMost = 2.0, 0.09, 0.01, 0.9
)

// judge finds which zones are out, with each batch, and ends what has run its time.
func (d *Dispatcher) judge() {
	if !d.s.Zones {
		return
	}
	seen, all := d.survey()
	d.cutOff = d.alone(seen)
	away := 0
	for no, c := range seen {
		if d.zone(no).state != Serving {
			away += c.listed
		}
	}
	for no, c := range seen {
		z := d.zone(no)
		ill := c.ill(seen) && d.reaches(no, seen)
		switch {
		case z.state == EvacuatedByOrder && d.now >= z.until:
			d.restore(no)
		case ill && z.state == Serving && float64(away+c.listed) > mostAway*float64(all):
			for no := range seen { // too much seems ill: all verdicts are taken back
				if d.zone(no).state == Evacuated {
					d.restore(no)
				}
			}
			return
		case ill && z.state == Serving:
			away += c.listed
			z.evacuations, z.until = z.evacuations+1, 0
			d.leave(no, Evacuated)
		case ill && z.state == Recovering:
			z.setbacks++
			z.until = d.now.Add(min(d.s.SlowStartWindow, againAfter<<min(z.setbacks, 16)))
			d.leave(no, Evacuated)
		case z.state == Recovering && d.now >= z.since.Add(d.s.SlowStartWindow):
			z.returns, z.setbacks = z.returns+1, 0
			d.enter(no, Serving)
		}
	}
}

// fails tells whether a zone fails as a whole.
func (c census) fails() bool {
	return c.bad >= illLeast && c.destinations() >= illDests && float64(c.bad) >= illShare*float64(c.known)
}

// ill tells whether a zone fails as a whole, and the others, taken together, do not.
func (c census) ill(seen []census) bool {
	known, bad := -c.known, -c.bad
	for _, o := range seen {
		known, bad = known+o.known, bad+o.bad
	}
	return c.fails() && float64(bad) <= wellShare*float64(known)
}

// reaches tells whether a zone that is neither the own nor the one that fails has answered a call that was
// sent after that began to: only then it is not this relay that is cut off.
func (d *Dispatcher) reaches(no int, seen []census) bool {
	for o, c := range seen {
		if o != no && o != d.s.Zone && c.answered > d.zone(no).badSince {
			return true
		}
	}
	return false
}

// alone tells whether this relay is cut off, and not others out: nothing answers in all zones but its own,
// of which there are two at least. It accuses nobody then, and goes on with what it reaches.
func (d *Dispatcher) alone(seen []census) bool {
	others := 0
	for no, c := range seen {
		if no != d.s.Zone && c.known > 0 {
			if others++; !c.fails() {
				return false
			}
		}
	}
	return others >= 2
}

// leave leaves a zone: what has endpoints elsewhere goes there, and calls that are later than usual and may
// be made again are called off.
func (d *Dispatcher) leave(no int, as ZoneState) {
	d.enter(no, as)
	for _, ep := range d.inZone(no) {
		if !d.elsewhere(ep) {
			continue
		}
		if as == Evacuated {
			d.markSick(ep, true)
		}
		for _, c := range ep.out {
			if !c.canceled && d.s.CanCancel && d.expendable(c) && d.now >= d.lateAt(c, 1) {
				d.callOff(c)
			}
		}
	}
}

// restore lets a zone return, on the ramp of endpoints that were out; those that fail come after trials of
// their own.
func (d *Dispatcher) restore(no int) {
	d.enter(no, Recovering)
	for _, ep := range d.inZone(no) {
		if d.elsewhere(ep) && ep.failedAt <= ep.lastOK {
			d.returns(ep, d.phase(ep), true)
		}
	}
}

// mayReturn tells whether an endpoint that answers gets more than trials: not before its zone may return,
// one at a time.
func (d *Dispatcher) mayReturn(ep *endpoint) bool {
	z := d.zones[ep.Zone]
	if z == nil || z.state != Evacuated {
		return true
	}
	if d.now < z.until {
		return false
	}
	for _, o := range d.zones {
		if o.state == Recovering {
			return false
		}
	}
	d.enter(ep.Zone, Recovering)
	return true
}

// leaves tells whether a message keeps out of an endpoint's zone: but not one that only that zone knows.
func (d *Dispatcher) leaves(ep *endpoint, m *message) bool {
	return d.s.Zones && d.left(ep) && !(m.class.KeysPerZone && m.firstRun() != nil)
}

// left tells whether operators have an endpoint's zone left, and its destination can be had elsewhere.
func (d *Dispatcher) left(ep *endpoint) bool {
	z := d.zones[ep.Zone]
	return z != nil && z.state == EvacuatedByOrder && d.elsewhere(ep)
}

// elsewhere tells whether a destination has an endpoint that serves in another zone that is not left.
func (d *Dispatcher) elsewhere(ep *endpoint) bool {
	for _, q := range ep.q.dest.queues {
		for _, o := range q.eps {
			z := d.zones[o.Zone]
			if o.Zone != ep.Zone && !o.sick && !o.Draining && (z == nil || z.state != EvacuatedByOrder) {
				return true
			}
		}
	}
	return false
}

// spill is how zones share a destination: the part of each zone's messages (rows) that each (columns)
// serves, by what arrives and what there is room for. Each serves its own first; the rest goes to the others
// in proportion to the room that they have left, and what nobody has room for stays.
func spill(demand, room []float64) [][]float64 {
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

// pressed learns from an outcome in the own zone whether that has room.
func (d *Dispatcher) pressed(ep *endpoint, e AttemptEnded) {
	took := e.Latency.Seconds()
	if !d.s.Zones || ep.Zone != d.s.Zone || ep.ramping || e.Outcome != OK && e.Outcome != Rejected {
		return // one that comes back is slow for a while, whatever room it has
	}
	if ep.usual == 0 {
		ep.usual = took
	}
	if e.Outcome == OK && took <= slowBy*ep.usual {
		ep.usual += latencyGain * (took - ep.usual)
		ep.q.press = math.Max(0, ep.q.press-pressDown)
	} else if e.RetryAfter == 0 {
		ep.q.press = math.Min(pressMost, ep.q.press+pressUp)
	}
}
