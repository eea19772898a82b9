package policy

import (
	"math/bits"

	"milletsail/internal/instant"
)

// destinationBits is the number of bits of zoneSurvey.failingDestinations.
const destinationBits = 64

// maxZones is one more than the largest valid zone number. It keeps an invalid number in an endpoint list
// from allocating memory.
const maxZones = 64

// zoneSurvey counts the endpoints of a zone by their health.
type zoneSurvey struct {
	listed  int // endpoints that are listed and not draining
	known   int // listed endpoints whose health is known
	failing int // listed endpoints that fail
	// failingDestinations is the set of the destinations of failing endpoints: bit n stands for the
	// destinations whose number modulo destinationBits is n.
	failingDestinations uint64
	lastAnsweredAt      instant.Time // when the latest call to the zone that succeeded was sent
}

// add counts an endpoint of the given health.
func (s *zoneSurvey) add(ep *endpoint, health endpointHealth) {
	s.listed++
	s.lastAnsweredAt = max(s.lastAnsweredAt, ep.succeededCallAt)
	if health != healthUnknown {
		s.known++
	}
	if health == healthFailing {
		s.failing++
		s.failingDestinations |= 1 << (ep.queue.destination.number % destinationBits)
	}
}

// fails reports whether the zone fails as a whole.
func (s *zoneSurvey) fails() bool {
	return s.failing >= minFailingEndpoints &&
		bits.OnesCount64(s.failingDestinations) >= minFailingDestinations &&
		float64(s.failing) >= zoneFailureThreshold*float64(s.known)
}

// failsAlone reports whether the zone fails as a whole while the other zones together do not.
func (s *zoneSurvey) failsAlone(all []zoneSurvey) bool {
	known, failing := -s.known, -s.failing
	for _, survey := range all {
		known, failing = known+survey.known, failing+survey.failing
	}
	return s.fails() && float64(failing) <= maxOtherZonesFailureShare*float64(known)
}

// endpointHealth is the health of an endpoint in a zone survey.
type endpointHealth int

const (
	healthUnknown endpointHealth = iota
	healthServing
	healthFailing
)

// health returns the health of an endpoint for a zone survey. Failures from before the recovery of its zone
// do not count during that recovery.
func (t *zoneTable) health(ep *endpoint, now instant.Time) endpointHealth {
	outlier, zone := &ep.outlier, t.get(ep.Zone)
	failedLast := outlier.lastFailureAt > outlier.lastSuccessAt
	current := outlier.ejected || now.Sub(outlier.lastFailureAt) < healthObservationWindow
	beforeRecovery := zone.state == Recovering && outlier.lastFailureAt <= zone.enteredAt
	switch {
	case failedLast && current && !beforeRecovery || ep.unresponsive(now):
		return healthFailing
	case outlier.lastSuccessAt > 0 && now.Sub(outlier.lastSuccessAt) < healthObservationWindow:
		return healthServing
	}
	return healthUnknown
}

// surveyZones returns a survey of each zone and the number of listed endpoints in all zones. It also updates
// failingSince of the zones.
func (d *Dispatcher) surveyZones() (surveys []zoneSurvey, listed int) {
	for _, q := range d.queues {
		for _, ep := range q.endpoints {
			if ep.Zone < 0 || ep.Zone >= maxZones || ep.Draining {
				continue
			}
			for len(surveys) <= ep.Zone {
				surveys = append(surveys, zoneSurvey{})
			}
			listed++
			surveys[ep.Zone].add(ep, d.zones.health(ep, d.now))
		}
	}
	for number, survey := range surveys {
		record := d.zones.get(number)
		switch {
		case survey.failing == 0:
			record.failingSince = 0
		case record.failingSince == 0:
			record.failingSince = d.now
		}
	}
	return surveys, listed
}
