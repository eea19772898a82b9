package live

import (
	"strconv"
	"time"

	"milletsail/internal/fleet"
)

// PeerAssessment summarizes what the fleet reports on one destination or endpoint.
type PeerAssessment struct {
	Dest     int    // the destination, or -1 for an endpoint
	Endpoint string // the endpoint, or empty for a destination
	fleet.Assessment
	Rank       int               // of this relay among the live ones for probing it; 0 if there are no observers
	LiveRelays int               // number of live relays
	Rates      fleet.RateSummary // for a destination
	// ArrivalRateByZone is the arrival rate in each zone, over all of its relays; nil if it is not known of every zone.
	ArrivalRateByZone []float64
}

// target is what an assessment is about.
type target struct {
	destination int    // or -1
	endpoint    string // or empty
}

// targetOf returns the destination or endpoint of a fact, and whether facts of its kind are assessed.
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

// assessAll returns one assessment for each destination or endpoint of some facts. The caller holds mu.
func (s *Service) assessAll(facts []fleet.Fact, now time.Duration) (assessments []PeerAssessment) {
	if len(facts) == 0 {
		return nil
	}
	live := s.node.LiveMembers(now)
	assessed := map[target]bool{}
	for _, fact := range facts {
		about, ok := targetOf(fact)
		if !ok || assessed[about] {
			continue
		}
		assessed[about] = true
		assessments = append(assessments, s.assess(about, fact.Key, live, now))
	}
	return assessments
}

// assess returns the assessment of one destination or endpoint. The caller holds mu.
func (s *Service) assess(about target, key string, live []int, now time.Duration) PeerAssessment {
	result := PeerAssessment{Dest: about.destination, Endpoint: about.endpoint, LiveRelays: len(live)}
	if about.endpoint != "" {
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

// totalByZone returns the total of each zone from the mean of its relays and their number; nil if a zone has no mean.
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

// ownZone returns the value of this relay's facts on endpoints: its zone.
func (s *Service) ownZone() uint64 { return uint64(max(0, s.options.Zone)) }

// inOwnZone reports whether a fact on an endpoint comes from a relay of this zone.
func (s *Service) inOwnZone(fact fleet.Fact) bool { return fact.Value == s.ownZone() }
