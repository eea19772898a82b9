package fleet

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// Send rates are announced with heartbeats, summarized without this relay's own, and not used once they fade.
func TestSummarizeRates(t *testing.T) {
	s := newSimulation(10, 0, 1)
	for i, node := range s.nodes {
		node.ObserveRate("3", EncodeRate(float64(i)/4, float64(i), i%3))
	}
	s.run(8*time.Second, nil)
	summary := s.nodes[9].SummarizeRates("3", 9, s.now)
	if summary.Reporters != 9 || summary.RateShare != 1 || summary.ArrivalRate != 4 || summary.ValidFor <= 0 {
		t.Errorf("%+v", summary)
	}
	if math.Abs(summary.ArrivalRateError-math.Sqrt(7.5)/3) > 1e-9 {
		t.Errorf("standard error %v", summary.ArrivalRateError)
	}
	if byZone := summary.ArrivalRateByZone; byZone[0] != 3 || byZone[1] != 4 || byZone[2] != 5 {
		t.Errorf("by zone: %v", byZone)
	}
	fading := s.now + Lifetimes[KindSendRate].FadesAfter
	if summary := s.nodes[9].SummarizeRates("3", 9, fading); !reflect.DeepEqual(summary, RateSummary{}) {
		t.Errorf("of fading rates: %+v", summary)
	}
}

// Rates outside the range of the encoding are encoded as its bounds.
func TestRateBounds(t *testing.T) {
	for _, rate := range []float64{-1, 0, 65, 1e12, math.Inf(1)} {
		if share, arrival := decodeRate(EncodeRate(rate, rate, 2)); share < 0 || share > 66 || arrival < 0 || arrival > 5e6 {
			t.Errorf("%v is decoded as %v and %v", rate, share, arrival)
		}
	}
}
