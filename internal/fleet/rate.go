package fleet

import (
	"math"
	"slices"
	"time"
)

const (
	// rateScale is the encoding of a share of 1, and of 1 request a second: rates are encoded in thousandths.
	rateScale = 1000
	// arrivalRateShift is the lowest bit of the arrival rate in the encoding; the bits below hold the send rate.
	arrivalRateShift = 16
	// rateZoneShift is the lowest bit of the zone in the encoding.
	rateZoneShift = 48
)

// RateSummary summarizes the send rates that other relays announce for one destination. The zero value means that no rate
// is known.
type RateSummary struct {
	Reporters         int             // number of relays that announce a rate
	RateShare         float64         // median send rate, as a multiple of an even share of the listed rate
	ArrivalRate       float64         // mean number of requests a second that arrive at one relay for the destination
	ArrivalRateError  float64         // standard error of ArrivalRate
	ArrivalRateByZone map[int]float64 // mean arrival rate at one relay of each zone that has a reporter, by zone
	ValidFor          time.Duration   // remaining time until the youngest of the rates fades
}

// EncodeRate returns the value of a KindSendRate fact: the send rate as a multiple of an even share of the listed rate, the
// arrival rate in requests a second, and the zone of the relay. Rates outside the range of the encoding are clamped to it.
func EncodeRate(rateShare, arrivalRate float64, zone int) uint64 {
	encode := func(rate, upper float64) uint64 { return uint64(math.Round(min(max(0, rate)*rateScale, upper))) }
	return uint64(zone&zoneMask)<<rateZoneShift |
		encode(arrivalRate, math.MaxUint32)<<arrivalRateShift |
		encode(rateShare, math.MaxUint16)
}

// decodeRate returns the rates in a value that EncodeRate returned.
func decodeRate(value uint64) (rateShare, arrivalRate float64) {
	return float64(value&math.MaxUint16) / rateScale, float64(value>>arrivalRateShift&math.MaxUint32) / rateScale
}

// SummarizeRates summarizes the send rates that relays other than self announce for the destination with the given key.
// Fading rates are left out.
func (s *Store) SummarizeRates(key string, self int, now time.Duration) (summary RateSummary) {
	var shares, arrivals []float64
	reportersByZone := map[int]float64{}
	s.each(KindSendRate, key, now, func(fact AgedFact) {
		if int(fact.Origin) == self || fact.Fading {
			return
		}
		share, arrival := decodeRate(fact.Value)
		shares, arrivals = append(shares, share), append(arrivals, arrival)
		zone := int(fact.Value >> rateZoneShift & zoneMask)
		reportersByZone[zone]++
		if summary.ArrivalRateByZone == nil {
			summary.ArrivalRateByZone = map[int]float64{}
		}
		summary.ArrivalRateByZone[zone] += (arrival - summary.ArrivalRateByZone[zone]) / reportersByZone[zone]
		summary.ValidFor = max(summary.ValidFor, Lifetimes[KindSendRate].FadesAfter-fact.Age)
	})
	if len(shares) == 0 {
		return RateSummary{}
	}
	summary.Reporters = len(shares)
	summary.RateShare = median(shares)
	summary.ArrivalRate, summary.ArrivalRateError = meanAndError(arrivals)
	return summary
}

// median returns the median of values. It sorts values in place.
func median(values []float64) float64 {
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}

// meanAndError returns the mean of values and its standard error.
func meanAndError(values []float64) (mean, standardError float64) {
	count, squares := float64(len(values)), 0.0
	for _, value := range values {
		mean += value / count
	}
	for _, value := range values {
		squares += (value - mean) * (value - mean)
	}
	return mean, math.Sqrt(squares/max(1, count-1)) / math.Sqrt(count)
}
