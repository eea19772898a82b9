package policy

import "time"

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
	// minIsolatingZones is the number of other zones that must all fail for this relay to count as isolated.
	minIsolatingZones = 2
	// maxRecoveryDoublings bounds the shift that doubles that time.
	maxRecoveryDoublings = 16
)

// evaluateZones evacuates the zones that fail as a whole, and ends orders and recoveries whose time is over.
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

// recoverEvacuatedZones takes all evacuations back: if more than panicThreshold of the endpoints seem to
// fail, the observation is more likely to be wrong.
func (d *Dispatcher) recoverEvacuatedZones(surveys []zoneSurvey) {
	for number := range surveys {
		if d.zones.get(number).state == Evacuated {
			d.startRecovery(number)
		}
	}
}

// reachesOtherZone reports whether a zone that is neither the own nor the one that fails has answered a call
// that was sent after the failures started: only then it isn't this relay that is isolated.
func (t *zoneTable) reachesOtherZone(number, ownZone int, surveys []zoneSurvey) bool {
	for other, survey := range surveys {
		bystander := other != number && other != ownZone
		if bystander && survey.lastAnsweredAt > t.get(number).failingSince {
			return true
		}
	}
	return false
}

// detectIsolation reports whether this relay is isolated: all zones but its own fail, of which there are two
// at least. Its observations then count as second-hand, and it goes on with what it reaches.
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

// evacuate moves what has endpoints elsewhere out of a zone, and cancels calls there that are later than
// usual and may be retried.
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

// startRecovery lets a zone serve again, with the slow start of endpoints that were ejected. Those that fail
// recover by probes of their own.
func (d *Dispatcher) startRecovery(number int) {
	d.setZoneState(number, Recovering)
	for _, ep := range d.endpointsInZone(number) {
		if d.zones.servedElsewhere(ep) && ep.outlier.lastFailureAt <= ep.outlier.lastSuccessAt {
			d.startSlowStart(ep, d.initialTokens(ep), secondHand)
		}
	}
}

// mayRecover reports whether an ejected endpoint that answers gets more than probes: not before its zone's
// backoff is over, and one zone at a time. It starts the recovery of the zone.
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
