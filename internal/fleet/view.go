package fleet

import (
	"math"
	"slices"
	"time"
)

// Assessment is what the fleet says of one destination or endpoint: how many find it bad, since when, and until when that may
// be used. The zero value says nothing.
type Assessment struct {
	Observers       int           // that find it bad, and nobody that counts has found it good since
	RecentObservers int           // of these, those whose finding does not fade yet
	OldestAge       time.Duration // age of the first of these observations
	NewestAge       time.Duration // age of the last
	ValidFor        time.Duration // how long from now the word may be used
}

// Assess sums up what is said of a thing: bad by facts of one kind, good by those of another. Only observers that near
// holds for count, where it is given: one whose network is another's may be cut off itself.
//
// What one relay passes on of others counts as one observation, however many it names: a relay that lies, or that is
// alone in finding a thing bad, can't speak for several.
func (s *Store) Assess(bad, good Kind, key string, near func(Fact) bool, now time.Duration) (w Assessment) {
	vouched := time.Duration(math.MinInt64)
	s.each(good, key, now, func(a AgedFact) {
		if near == nil || near(a.Fact) {
			vouched = max(vouched, a.ObservedAt)
		}
	})
	direct, fresh, passed := 0, 0, map[uint16]bool{} // whether those passed on are fresh, by who passed them
	s.each(bad, key, now, func(a AgedFact) {
		if a.ObservedAt <= vouched || near != nil && !near(a.Fact) {
			return
		}
		if w.NewestAge = min(w.NewestAge, a.Age); direct+len(passed) == 0 {
			w.NewestAge = a.Age
		}
		w.OldestAge = max(w.OldestAge, a.Age)
		switch {
		case !a.direct():
			passed[a.Via] = passed[a.Via] || !a.Fading
		case !a.Fading:
			fresh++
			fallthrough
		default:
			direct++
		}
	})
	for _, f := range passed {
		if f {
			fresh++
		}
	}
	w.RecentObservers = fresh
	if w.Observers = direct + len(passed); w.Observers > 0 {
		w.ValidFor = Lifetimes[bad].ExpiresAfter - w.NewestAge
	}
	return w
}

// RateSummary is what the fleet says of a destination's pace.
type RateSummary struct {
	Reporters         int             // relays that this rests on; 0 for none, and then the rest is 0 too
	RateShare         float64         // the median, in parts of an even share of the listed rate
	ArrivalRate       float64         // messages a second that arrive for it at one relay, in the mean over the tellers
	ArrivalRateError  float64         // standard error of Traffic
	ArrivalRateByZone map[int]float64 // Traffic of the tellers of each zone
	ValidFor          time.Duration
}

// EncodeRate packs a pace, in parts of an even share, and the messages a second that arrive, at a relay of a zone.
func EncodeRate(pace, traffic float64, zone int) uint64 {
	bounded := func(v, most float64) uint64 { return uint64(math.Round(min(max(0, v)*1000, most))) }
	return uint64(zone&(1<<zoneBits-1))<<48 | bounded(traffic, math.MaxUint32)<<16 | bounded(pace, math.MaxUint16)
}

func paceOf(value uint64) (pace, traffic float64) {
	return float64(value&math.MaxUint16) / 1000, float64(value>>16&math.MaxUint32) / 1000
}

// SummarizeRates sums up the paces that others than one relay tell of a destination. Those that fade count no more.
func (s *Store) SummarizeRates(key string, but int, now time.Duration) (p RateSummary) {
	var paces, traffics []float64
	inZone := map[int]float64{}
	s.each(KindSendRate, key, now, func(a AgedFact) {
		if int(a.Origin) == but || a.Fading {
			return
		}
		pace, traffic := paceOf(a.Value)
		paces, traffics = append(paces, pace), append(traffics, traffic)
		zone := int(a.Value >> 48 & (1<<zoneBits - 1))
		inZone[zone]++
		if p.ArrivalRateByZone == nil {
			p.ArrivalRateByZone = map[int]float64{}
		}
		p.ArrivalRateByZone[zone] += (traffic - p.ArrivalRateByZone[zone]) / inZone[zone]
		p.ValidFor = max(p.ValidFor, Lifetimes[KindSendRate].FadesAfter-a.Age)
	})
	if p.Reporters = len(paces); p.Reporters == 0 {
		return RateSummary{}
	}
	slices.Sort(paces)
	p.RateShare = (paces[(len(paces)-1)/2] + paces[len(paces)/2]) / 2
	n, squares := float64(len(traffics)), 0.0
	for _, t := range traffics {
		p.ArrivalRate += t / n
	}
	for _, t := range traffics {
		squares += (t - p.ArrivalRate) * (t - p.ArrivalRate)
	}
	p.ArrivalRateError = math.Sqrt(squares/max(1, n-1)) / math.Sqrt(n)
	return p
}
