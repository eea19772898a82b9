package live

import (
	"strconv"
	"time"

	"milletsail/internal/fleet"
)

// PeerAssessment summarizes the fleet's reports on one destination or endpoint.
type PeerAssessment struct {
	Dest     int    // number of the destination, or -1 if the assessment is about an endpoint
	Endpoint string // ID of the endpoint, or empty if the assessment is about a destination
	fleet.Assessment
	Rank       int               // rank of this relay among the live relays for probing; 0 also if there are no observers
	LiveRelays int               // number of live relays
	Rates      fleet.RateSummary // send rates of the other relays; zero for an endpoint
	// ArrivalRateByZone is the total arrival rate of all relays of each zone, in requests a second, indexed by zone. It is nil
	// for an endpoint, and if the rate is unknown for a zone with live relays.
	ArrivalRateByZone []float64
}

// target is the destination or endpoint that an assessment is about.
type target struct {
	destination int    // number of the destination, or -1 for an endpoint
	endpoint    string // ID of the endpoint, or empty for a destination
}

// targetOf returns the destination or endpoint that a fact is about. It returns false if facts of its kind are not assessed, or the
// key is not a valid destination number.
func targetOf(fact fleet.Fact) (target, bool) {
	switch fact.Kind {
	case fleet.KindDestinationClosed, fleet.KindDestinationOpen, fleet.KindSendRate:
		destination, err := strconv.Atoi(fact.Key)
		return target{destination: destination}, err == nil
	case fleet.KindEndpointEjected, fleet.KindEndpointRecovered:
		return target{destination: -1, endpoint: fact.Key}, true
	default:
		return target{}, false
	}
}

// assessAll returns one assessment for each destination or endpoint that the facts are about. The caller must hold s.mu.
func (s *Service) assessAll(facts []fleet.Fact, now time.Duration) (assessments []PeerAssessment) {
	if len(facts) == 0 {
		return nil
	}
	live := s.node.LiveMembers(now)
	assessed := map[target]bool{}
	for _, fact := range facts {
		assessedTarget, ok := targetOf(fact)
		if !ok || assessed[assessedTarget] {
			continue
		}
		assessed[assessedTarget] = true
		assessments = append(assessments, s.assess(assessedTarget, fact.Key, live, now))
	}
	return assessments
}

// assess returns the assessment of one destination or endpoint; key is its key in facts, and live holds the live relays. The caller
// must hold s.mu.
func (s *Service) assess(assessed target, key string, live []int, now time.Duration) PeerAssessment {
	result := PeerAssessment{Dest: assessed.destination, Endpoint: assessed.endpoint, LiveRelays: len(live)}
	if assessed.endpoint != "" {
		result.Assessment = s.node.Assess(fleet.KindEndpointEjected, fleet.KindEndpointRecovered, key, s.inOwnZone, now)
	} else {
		result.Assessment = s.node.Assess(fleet.KindDestinationClosed, fleet.KindDestinationOpen, key, nil, now)
		result.Rates = s.node.SummarizeRates(key, s.options.Self, now)
		if result.Rates.Reporters > 0 {
			result.ArrivalRateByZone = totalByZone(result.Rates.ArrivalRateByZone, s.node.LiveByZone(live, now))
		}
	}
	if result.Observers > 0 {
		result.Rank = fleet.Rank(key, live, s.options.Self)
	}
	return result
}

// totalByZone returns the total rate of each zone: the mean rate of its relays times their number, indexed by zone. It returns nil
// if the mean of a zone is unknown.
func totalByZone(means, relays map[int]float64) (totals []float64) {
	for zone, count := range relays {
		mean, ok := means[zone]
		if !ok {
			return nil
		}
		for len(totals) <= zone {
			totals = append(totals, 0)
		}
		totals[zone] = mean * count
	}
	return totals
}

// ownZone returns this relay's zone as the value of its facts on endpoints. A negative zone becomes 0.
func (s *Service) ownZone() uint64 { return uint64(max(0, s.options.Zone)) }

// inOwnZone reports whether a fact on an endpoint was published by a relay in this relay's zone.
func (s *Service) inOwnZone(fact fleet.Fact) bool { return fact.Value == s.ownZone() }
