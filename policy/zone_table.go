package policy

import (
	"errors"

	"milletsail/internal/instant"
)

// zoneTable holds the state of the zones that have or had listed endpoints. It belongs to one dispatcher and
// is not safe for concurrent use.
type zoneTable struct {
	byNumber map[int]*zoneRecord
	isolated bool // all zones but this relay's own fail; see detectIsolation
}

// zoneRecord is the state of a zone at this relay.
type zoneRecord struct {
	state            ZoneState
	enteredAt        instant.Time // when the zone entered its state
	deadline         instant.Time // end of an evacuation order, or of the backoff after a failed recovery
	failingSince     instant.Time // when endpoints of the zone started to fail; 0 while none do
	failedRecoveries int          // consecutive failed recoveries
	evacuations      int          // evacuations so far, by order or not; a failed recovery adds none
	recoveries       int          // completed recoveries so far
}

// get returns the record of a zone, which it creates if needed.
func (t *zoneTable) get(number int) *zoneRecord {
	if t.byNumber[number] == nil {
		if t.byNumber == nil {
			t.byNumber = map[int]*zoneRecord{}
		}
		t.byNumber[number] = &zoneRecord{}
	}
	return t.byNumber[number]
}

// state returns the state of a zone, or Serving for a zone without a record.
func (t *zoneTable) state(number int) ZoneState {
	if record := t.byNumber[number]; record != nil {
		return record.state
	}
	return Serving
}

// anyRecovering reports whether any zone is recovering.
func (t *zoneTable) anyRecovering() bool {
	for _, record := range t.byNumber {
		if record.state == Recovering {
			return true
		}
	}
	return false
}

// setZoneState sets the state of a zone and reports the change.
func (d *Dispatcher) setZoneState(number int, state ZoneState) {
	record := d.zones.get(number)
	record.state, record.enteredAt = state, d.now
	d.emit(ZoneStateChanged{Zone: number, State: state})
}

// endpointsInZone returns the listed endpoints of a zone, in the order of the queues.
func (d *Dispatcher) endpointsInZone(number int) (all []*endpoint) {
	for _, q := range d.queues {
		for _, ep := range q.endpoints {
			if ep.Zone == number {
				all = append(all, ep)
			}
		}
	}
	return all
}

// Zones returns the status of all zones, and whether this relay is isolated: all zones but its own fail.
func (d *Dispatcher) Zones() (all []ZoneStatus, isolated bool) {
	surveys, _ := d.surveyZones()
	for number, survey := range surveys {
		record := d.zones.get(number)
		all = append(all, ZoneStatus{
			Zone:           number,
			State:          record.state,
			EnteredAt:      record.enteredAt,
			OrderExpiresAt: record.deadline,
			Endpoints:      survey.listed,
			Evacuations:    record.evacuations,
			Recoveries:     record.recoveries,
		})
	}
	return all, d.zones.isolated
}

// Order evacuates a zone on behalf of an operator until the given time, or ends such an order if until is 0.
// It returns an error, and changes nothing, if zones are off in the settings, the zone has no listed
// endpoints, is already in the requested state or is the last one not evacuated by order. The caller has to
// call Handle afterwards.
func (d *Dispatcher) Order(number int, until instant.Time) error {
	surveys, _ := d.surveyZones()
	if !d.settings.Zones || number < 0 || number >= len(surveys) || surveys[number].listed == 0 {
		return errors.New("zones are off, or no endpoint is listed in this one")
	}
	record := d.zones.get(number)
	switch {
	case until == 0 && record.state != EvacuatedByOrder:
		return errors.New("it is not evacuated by order")
	case until == 0:
		d.startRecovery(number)
	case record.state == EvacuatedByOrder:
		return errors.New("it is evacuated by order already")
	case !d.zones.otherZoneRemains(number, surveys):
		return errors.New("it is the last zone that is left")
	default:
		record.deadline = until
		record.evacuations++
		d.evacuate(number, EvacuatedByOrder)
	}
	return nil
}

// otherZoneRemains reports whether another zone that is not evacuated by order has listed endpoints.
func (t *zoneTable) otherZoneRemains(number int, surveys []zoneSurvey) bool {
	for other, survey := range surveys {
		if other != number && survey.listed > 0 && t.get(other).state != EvacuatedByOrder {
			return true
		}
	}
	return false
}
