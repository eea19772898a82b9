package policy

import (
	"errors"
	"time"

	"milletsail/internal/instant"
)

const (
	// minFailingEndpoints is the number of endpoints that must fail in a zone for it to count as failing.
	minFailingEndpoints = 3
	// minFailingDestinations is the number of destinations that these must belong to.
	minFailingDestinations = 2
	// zoneFailureThreshold is the share of a zone's endpoints of known health that must fail.
	zoneFailureThreshold = 0.6
	// maxOtherZonesFailureShare is the share of the other zones' endpoints that may fail: above it, the zone
	// isn't the cause.
	maxOtherZonesFailureShare = 0.25
	// healthObservationWindow is the age up to which an outcome says something of an endpoint's health.
	healthObservationWindow = 5 * time.Second
	// panicThreshold is the share of the listed endpoints that may be evacuated at once: the rest could not
	// carry more, and the observation is more likely to be wrong (the reason of Envoy's panic threshold).
	panicThreshold = 0.5
	// initialRecoveryBackoff is the time before a zone whose recovery failed may recover again. It doubles
	// with each further failure, up to the slow start window.
	initialRecoveryBackoff = time.Second
	// maxRecoveryDoublings bounds the shift that doubles that time.
	maxRecoveryDoublings = 16
)

// evaluateZones finds which zones are out, with each batch, and ends what has run its time.
func (d *Dispatcher) evaluateZones() {
	if !d.settings.Zones {
		return
	}
	seen, all := d.surveyZones()
	d.zones.isolated = d.detectIsolation(seen)
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
			z.deadline = d.now.Add(min(d.settings.SlowStartWindow, initialRecoveryBackoff<<min(z.failedRecoveries, maxRecoveryDoublings)))
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

// reachesOtherZone tells whether a zone that is neither the own nor the one that fails has answered a call
// that was sent after that began to: only then it is not this relay that is cut off.
func (d *Dispatcher) reachesOtherZone(no int, seen []zoneSurvey) bool {
	for o, c := range seen {
		if o != no && o != d.settings.Zone && c.lastAnsweredAt > d.zoneStatus(no).failingSince {
			return true
		}
	}
	return false
}

// detectIsolation tells whether this relay is cut off, and not others out: nothing answers in all zones but
// its own, of which there are two at least. It accuses nobody then, and goes on with what it reaches.
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

// evacuate leaves a zone: what has endpoints elsewhere goes there, and calls that are later than usual and
// may be made again are called off.
func (d *Dispatcher) evacuate(no int, as ZoneState) {
	d.setZoneState(no, as)
	for _, ep := range d.endpointsInZone(no) {
		if !d.servedElsewhere(ep) {
			continue
		}
		if as == Evacuated {
			d.ejectEndpoint(ep, secondHand)
		}
		for _, c := range ep.calls {
			if !c.canceled && d.settings.CanCancel && d.callRetryable(c) && d.now >= d.overdueAt(c, 1) {
				d.cancelCall(c)
			}
		}
	}
}

// startRecovery lets a zone return, on the ramp of endpoints that were out; those that fail come after trials
// of their own.
func (d *Dispatcher) startRecovery(no int) {
	d.setZoneState(no, Recovering)
	for _, ep := range d.endpointsInZone(no) {
		if d.servedElsewhere(ep) && ep.outlier.lastFailureAt <= ep.outlier.lastSuccessAt {
			d.startSlowStart(ep, d.initialTokens(ep), secondHand)
		}
	}
}

// mayRecover tells whether an endpoint that answers gets more than trials: not before its zone may return,
// one at a time.
func (d *Dispatcher) mayRecover(ep *endpoint) bool {
	z := d.zones.byNumber[ep.Zone]
	if z == nil || z.state != Evacuated {
		return true
	}
	if d.now < z.deadline {
		return false
	}
	for _, o := range d.zones.byNumber {
		if o.state == Recovering {
			return false
		}
	}
	d.setZoneState(ep.Zone, Recovering)
	return true
}

// zoneTable holds the zones that endpoints are listed in.
type zoneTable struct {
	byNumber map[int]*zone
	isolated bool // nothing answers in all zones but the own
}

// zone is what is known of a zone.
type zone struct {
	state                   ZoneState
	enteredAt               instant.Time
	deadline                instant.Time // an order's end, or of the wait after a setback
	failedRecoveries        int          // in a row, on the way back
	failingSince            instant.Time // when endpoints there began to fail; 0 where none do
	evacuations, recoveries int
}

// zoneStatus gives what is known of a zone.
func (d *Dispatcher) zoneStatus(no int) *zone {
	if d.zones.byNumber[no] == nil {
		if d.zones.byNumber == nil {
			d.zones.byNumber = map[int]*zone{}
		}
		d.zones.byNumber[no] = &zone{}
	}
	return d.zones.byNumber[no]
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
