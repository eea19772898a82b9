package policy

import (
	"math/bits"

	"milletsail/internal/instant"
)

// maxZones bounds the numbers of zones: a wrong number in an endpoint list must not take memory.
const maxZones = 64

// zoneSurvey counts a zone's endpoints: listed, those that anything is known of, and of these those that
// fail.
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
			old := z.state == Recovering && ep.outlier.lastFailureAt <= z.enteredAt // it failed before its zone began to return
			if ep.outlier.lastFailureAt > ep.outlier.lastSuccessAt && (ep.outlier.ejected || d.now.Sub(ep.outlier.lastFailureAt) < healthObservationWindow) && !old || d.unresponsive(ep) {
				c.failing++
				c.known++
				c.failingDestinations |= 1 << (q.destination.number % 64)
			} else if ep.outlier.lastSuccessAt > 0 && d.now.Sub(ep.outlier.lastSuccessAt) < healthObservationWindow {
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
	return all, d.zones.isolated
}
