package policy

import "time"

const (
	// minFailingEndpoints is the number of endpoints that must fail in a zone for the zone to count as
	// failing.
	minFailingEndpoints = 3
	// minFailingDestinations is the number of different destinations that the failing endpoints of a zone
	// must belong to for the zone to count as failing.
	minFailingDestinations = 2
	// zoneFailureThreshold is the share of a zone's endpoints of known health that must fail for the zone to
	// count as failing.
	zoneFailureThreshold = 0.6
	// maxOtherZonesFailureShare is the share of the other zones' endpoints of known health that may fail.
	// Above it, the cause lies outside the zone, which is then not evacuated.
	maxOtherZonesFailureShare = 0.25
	// healthObservationWindow is the age up to which an outcome counts for the health of an endpoint in a
	// zone survey.
	healthObservationWindow = 5 * time.Second
	// panicThreshold is the largest share of the listed endpoints that may be evacuated at once: beyond it,
	// the rest could not serve all traffic, and the failure is more likely to be one of observation (the
	// reason of Envoy's panic threshold).
	panicThreshold = 0.5
	// initialRecoveryBackoff, doubled for each consecutive failed recovery of a zone, is the time before the
	// zone may recover again. That time is at most the slow start window.
	initialRecoveryBackoff = time.Second
	// minIsolatingZones is the number of other zones that must all fail for this relay to count as isolated.
	minIsolatingZones = 2
	// maxRecoveryDoublings bounds the shift that doubles the recovery backoff, so that it cannot overflow.
	maxRecoveryDoublings = 16
)

// evaluateZones evacuates zones that fail as a whole, starts the recovery of zones whose evacuation order has
// expired, and ends recoveries that are complete or have failed.
func (d *Dispatcher) evaluateZones() {
	if !d.settings.Zones {
		return
	}
	surveys, listed := d.surveyZones()
	d.zones.isolated = detectIsolation(d.settings.Zone, surveys)
	evacuated := 0
	for number, survey := range surveys {
		if d.zones.get(number).state != Serving {
			evacuated += survey.listed
		}
	}
	for number, survey := range surveys {
		record := d.zones.get(number)
		fails := survey.failsAlone(surveys) && d.zones.reachesOtherZone(number, d.settings.Zone, surveys)
		tooMany := float64(evacuated+survey.listed) > panicThreshold*float64(listed)
		switch {
		case record.state == EvacuatedByOrder && d.now >= record.deadline:
			d.startRecovery(number)
		case fails && record.state == Serving && tooMany:
			d.recoverEvacuatedZones(surveys)
			return
		case fails && record.state == Serving:
			evacuated += survey.listed
			record.evacuations, record.deadline = record.evacuations+1, 0
			d.evacuate(number, Evacuated)
		case fails && record.state == Recovering:
			record.failedRecoveries++
			backoff := initialRecoveryBackoff << min(record.failedRecoveries, maxRecoveryDoublings)
			record.deadline = d.now.Add(min(d.settings.SlowStartWindow, backoff))
			d.evacuate(number, Evacuated)
		case record.state == Recovering && d.now >= record.enteredAt.Add(d.settings.SlowStartWindow):
			record.recoveries, record.failedRecoveries = record.recoveries+1, 0
			d.setZoneState(number, Serving)
		}
	}
}

// recoverEvacuatedZones starts the recovery of all zones that this relay evacuated by itself. It is called
// when more than panicThreshold of the endpoints would be evacuated, since the failures are then more likely
// to be a fault of observation.
func (d *Dispatcher) recoverEvacuatedZones(surveys []zoneSurvey) {
	for number := range surveys {
		if d.zones.get(number).state == Evacuated {
			d.startRecovery(number)
		}
	}
}

// reachesOtherZone reports whether a zone other than the failing one and the relay's own has answered a call
// that was sent after the failures began. Otherwise the relay itself may be isolated.
func (t *zoneTable) reachesOtherZone(number, ownZone int, surveys []zoneSurvey) bool {
	for other, survey := range surveys {
		uninvolved := other != number && other != ownZone
		if uninvolved && survey.lastAnsweredAt > t.get(number).failingSince {
			return true
		}
	}
	return false
}

// detectIsolation reports whether this relay is isolated: all other zones with endpoints of known health
// fail, and there are at least minIsolatingZones of them. An isolated relay still calls the endpoints that
// it reaches, but its observations are recorded as second-hand.
func detectIsolation(ownZone int, surveys []zoneSurvey) bool {
	others := 0
	for number, survey := range surveys {
		if number == ownZone || survey.known == 0 {
			continue
		}
		if others++; !survey.fails() {
			return false
		}
	}
	return others >= minIsolatingZones
}

// evacuate sets the state of a zone and moves the traffic of destinations that can be served elsewhere out of
// it. Calls to the zone that are later than usual are canceled if they may be retried.
func (d *Dispatcher) evacuate(number int, state ZoneState) {
	d.setZoneState(number, state)
	for _, ep := range d.endpointsInZone(number) {
		if !d.zones.servedElsewhere(ep) {
			continue
		}
		if state == Evacuated {
			d.ejectEndpoint(ep, secondHand)
		}
		for _, c := range ep.calls {
			if !c.canceled && d.settings.CanCancel && d.callRetryable(c) && d.now >= c.overdueAt(1) {
				d.cancelCall(c)
			}
		}
	}
}

// startRecovery lets a zone serve again. Endpoints that have not failed since their last success enter slow
// start, if their destination is also served in another zone; the others recover one by one, when a probe of
// their own succeeds.
func (d *Dispatcher) startRecovery(number int) {
	d.setZoneState(number, Recovering)
	for _, ep := range d.endpointsInZone(number) {
		if d.zones.servedElsewhere(ep) && ep.outlier.lastFailureAt <= ep.outlier.lastSuccessAt {
			d.startSlowStart(ep, d.initialTokens(ep), secondHand)
		}
	}
}

// mayRecover reports whether an ejected endpoint that has answered a probe may enter slow start. In an
// evacuated zone it may not before the recovery backoff is over or while another zone recovers; otherwise
// mayRecover starts the recovery of that zone.
func (d *Dispatcher) mayRecover(ep *endpoint) bool {
	if d.zones.state(ep.Zone) != Evacuated {
		return true
	}
	if d.now < d.zones.get(ep.Zone).deadline || d.zones.anyRecovering() {
		return false
	}
	d.setZoneState(ep.Zone, Recovering)
	return true
}
