package fleet

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// Heartbeats must carry send rates to the other relays. The summary leaves out this relay's own rate, and rates that fade.
func TestSummarizeRates(t *testing.T) {
	s := newSimulation(10, 0, 1)
	for i, node := range s.nodes {
		node.ObserveRate("3", EncodeRate(float64(i)/4, float64(i), i%3))
	}
	s.run(8*time.Second, nil)
	summary := s.nodes[9].SummarizeRates("3", 9, s.now)
	if summary.Reporters != 9 || summary.RateShare != 1 || summary.ArrivalRate != 4 || summary.ValidFor <= 0 {
		t.Errorf("got summary %+v, want 9 reporters with a rate share of 1 and an arrival rate of 4", summary)
	}
	if math.Abs(summary.ArrivalRateError-math.Sqrt(7.5)/3) > 1e-9 {
		t.Errorf("got standard error %v of the arrival rate, want sqrt(7.5)/3", summary.ArrivalRateError)
	}
	if byZone := summary.ArrivalRateByZone; byZone[0] != 3 || byZone[1] != 4 || byZone[2] != 5 {
		t.Errorf("got arrival rates by zone %v, want 3, 4 and 5", byZone)
	}
	fading := s.now + Lifetimes[KindSendRate].FadesAfter
	if summary := s.nodes[9].SummarizeRates("3", 9, fading); !reflect.DeepEqual(summary, RateSummary{}) {
		t.Errorf("got summary %+v of fading rates, want the zero value", summary)
	}
}

// Rates outside the range of the encoding must be clamped to it: an overflow would change the neighbouring bits.
func TestRateBounds(t *testing.T) {
	for _, rate := range []float64{-1, 0, 65, 1e12, math.Inf(1)} {
		if share, arrival := decodeRate(EncodeRate(rate, rate, 2)); share < 0 || share > 66 || arrival < 0 || arrival > 5e6 {
			t.Errorf("rate %v was decoded as rate share %v and arrival rate %v, outside the range of the encoding", rate, share, arrival)
		}
	}
}
