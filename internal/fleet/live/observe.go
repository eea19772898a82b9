package live

import (
	"strconv"
	"time"

	"milletsail/internal/fleet"
)

// Observe broadcasts an observation that this relay made the given age ago, and calls OnAssessment. If common is set, many relays
// make the same observation at about the same time, and only some of them broadcast it (see fleet.Node.Observe).
func (s *Service) Observe(kind fleet.Kind, key string, value uint64, common bool, age time.Duration) {
	s.mu.Lock()
	now := s.now()
	s.node.Observe(kind, key, value, common, now-age, now)
	assessments := s.assessAll([]fleet.Fact{{FactID: fleet.FactID{Kind: kind, Key: key}}}, now)
	s.mu.Unlock()
	s.report(assessments)
	select {
	case s.reset <- struct{}{}:
	default:
	}
}

// observeEndpoint broadcasts an observation on an endpoint, unless this relay has a report of the same kind that is younger than
// repeatInterval.
func (s *Service) observeEndpoint(kind fleet.Kind, endpoint string) {
	s.mu.Lock()
	own, ok := s.node.Get(fleet.FactID{Kind: kind, Origin: uint16(s.options.Self), Key: endpoint}, s.now())
	s.mu.Unlock()
	if !ok || own.Age >= repeatInterval {
		s.Observe(kind, endpoint, s.ownZone(), true, 0)
	}
}

// ObserveHealth broadcasts that this relay has ejected the endpoint or, if ejected is false, that the endpoint has recovered.
func (s *Service) ObserveHealth(endpoint string, ejected bool) {
	if s == nil {
		return
	}
	kind := fleet.KindEndpointRecovered
	if ejected {
		kind = fleet.KindEndpointEjected
	}
	s.observeEndpoint(kind, endpoint)
}

// ObserveFailure is called when a request to an endpoint failed. If any relay has reported the endpoint as ejected, this relay
// reports it as ejected too, because the failure shows that it has not recovered.
func (s *Service) ObserveFailure(endpoint string) {
	if s == nil {
		return
	}
	s.mu.Lock()
	reporters, _ := s.node.CountReporters(fleet.KindEndpointEjected, endpoint, s.now())
	s.mu.Unlock()
	if reporters > 0 {
		s.observeEndpoint(fleet.KindEndpointEjected, endpoint)
	}
}

// ObserveRate sets this relay's rates for a destination, which the next heartbeat announces: rateShare is the send rate as a
// multiple of an even share of the listed rate, arrivalRate the number of requests a second that arrive for the destination.
func (s *Service) ObserveRate(dest int, rateShare, arrivalRate float64) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.ObserveRate(strconv.Itoa(dest), fleet.EncodeRate(rateShare, arrivalRate, s.options.Zone))
}
