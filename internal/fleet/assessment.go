package fleet

import (
	"math"
	"time"
)

// Assessment summarizes the reports of the fleet that one destination or endpoint is unhealthy. The zero value is returned
// if there are none.
type Assessment struct {
	Observers       int           // that report it as unhealthy, with no later report of it as healthy by anyone
	RecentObservers int           // those of Observers whose reports are not fading
	OldestAge       time.Duration // age of the oldest of the reports
	NewestAge       time.Duration // age of the newest
	ValidFor        time.Duration // how long the assessment may be used
}

// Assess summarizes the reports on a key, of one kind for unhealthy and another for healthy. If include is not nil, only
// facts for which it returns true count: a relay in another network may itself be partitioned.
//
// All second-hand reports that were received from one relay count as one observer: neither a faulty relay nor one that is
// alone with its observation can pass for several.
func (s *Store) Assess(unhealthy, healthy Kind, key string, include func(Fact) bool, now time.Duration) (result Assessment) {
	lastHealthy := time.Duration(math.MinInt64)
	s.each(healthy, key, now, func(report AgedFact) {
		if include == nil || include(report.Fact) {
			lastHealthy = max(lastHealthy, report.ObservedAt)
		}
	})
	firstHand, recent := 0, 0
	secondHand := map[uint16]bool{} // by the relay that forwarded: whether any of its reports is not fading
	s.each(unhealthy, key, now, func(report AgedFact) {
		if report.ObservedAt <= lastHealthy || include != nil && !include(report.Fact) {
			return
		}
		if firstHand+len(secondHand) == 0 {
			result.NewestAge = report.Age
		}
		result.NewestAge = min(result.NewestAge, report.Age)
		result.OldestAge = max(result.OldestAge, report.Age)
		if !report.firstHand() {
			secondHand[report.Via] = secondHand[report.Via] || !report.Fading
			return
		}
		firstHand++
		if !report.Fading {
			recent++
		}
	})
	for _, isRecent := range secondHand {
		if isRecent {
			recent++
		}
	}
	result.RecentObservers = recent
	result.Observers = firstHand + len(secondHand)
	if result.Observers > 0 {
		result.ValidFor = Lifetimes[unhealthy].ExpiresAfter - result.NewestAge
	}
	return result
}
