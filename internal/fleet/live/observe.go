package live

import (
	"strconv"
	"time"

	"milletsail/internal/fleet"
)

// Observe broadcasts an observation that this relay made some time ago, and calls OnAssessment. A common one is made by many
// relays at once, of which only some broadcast it.
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

// observeEndpoint broadcasts an observation on an endpoint, unless this relay has done so within the repeat interval.
func (s *Service) observeEndpoint(kind fleet.Kind, endpoint string) {
	s.mu.Lock()
	own, ok := s.node.Get(fleet.FactID{Kind: kind, Origin: uint16(s.options.Self), Key: endpoint}, s.now())
	s.mu.Unlock()
	if !ok || own.Age >= repeatInterval {
		s.Observe(kind, endpoint, s.ownZone(), true, 0)
	}
}

// ObserveHealth broadcasts that this relay has ejected an endpoint, or that the endpoint has recovered.
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

// ObserveFailure broadcasts that a request to an endpoint failed, if any relay has it ejected: the endpoint has not
// recovered.
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

// ObserveRate sets this relay's send rate to a destination, as a multiple of an even share of the listed rate, and the number
// of requests a second that arrive for it. The next heartbeat announces them.
func (s *Service) ObserveRate(dest int, rateShare, arrivalRate float64) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.ObserveRate(strconv.Itoa(dest), fleet.EncodeRate(rateShare, arrivalRate, s.options.Zone))
}
