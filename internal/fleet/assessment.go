package fleet

import (
	"math"
	"time"
)

// Assessment summarizes the fleet's reports that one destination or endpoint is unhealthy. The zero value means that there
// are no such reports.
type Assessment struct {
	Observers       int           // number of independent observers with an unhealthy report newer than any healthy report
	RecentObservers int           // number of Observers with a report that is not fading
	OldestAge       time.Duration // age of the oldest unhealthy report that counts
	NewestAge       time.Duration // age of the newest unhealthy report that counts
	ValidFor        time.Duration // remaining time until the newest report expires
}

// Assess summarizes the reports on the destination or endpoint with the given key: facts of kind unhealthy, unless a fact
// of kind healthy was observed later. If include is not nil, only facts for which it returns true count. A caller can thus
// leave out relays in another zone, which may fail to reach an endpoint because of a network partition.
//
// Each first-hand report counts as one observer. All second-hand reports that were received through one relay count
// together as one observer, so that a single faulty relay cannot appear as several observers.
func (s *Store) Assess(unhealthy, healthy Kind, key string, include func(Fact) bool, now time.Duration) (result Assessment) {
	lastHealthy := time.Duration(math.MinInt64)
	s.each(healthy, key, now, func(report AgedFact) {
		if include == nil || include(report.Fact) {
			lastHealthy = max(lastHealthy, report.ObservedAt)
		}
	})
	firstHand, recent := 0, 0
	secondHand := map[uint16]bool{} // keyed by the forwarding relay; true if any report through that relay is not fading
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
