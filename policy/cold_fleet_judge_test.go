package policy_test

// This file judges the simulated fleets of TestColdFleetBudget by the operators' rule on cold destinations.

import (
	"fmt"
	"math"
	"time"

	"milletsail/policy"
)

// coldReading is a reading of the operators' rule. What falls, and what notifies a relay of the outage, can be an
// endpoint or its whole destination.
type coldReading int

// The readings of the rule.
const (
	endpointByEndpoint       coldReading = iota // an endpoint falls; a failure there notifies
	endpointByDestination                       // an endpoint falls; a failure at any endpoint notifies
	destinationByDestination                    // the destination falls; a failure at any endpoint notifies
	coldReadings                                // number of readings
)

var coldReadingNames = [...]string{"endpoint told there", "endpoint told at any", "destination told at any"}

// notify notes that a relay has met the outage at an endpoint.
func (f *coldFleet) notify(r *coldRelay, ep *coldEndpoint) {
	ep.notified[r.number] = true
	f.notified[r.number] = true
}

// coldBudget returns the calls within OverloadWindow that the settings allow a number of endpoints at a time after
// their return.
func (f *coldFleet) coldBudget(endpoints int, since time.Duration) float64 {
	share := f.settings.SlowStartInitialShare +
		(1-f.settings.SlowStartInitialShare)*since.Seconds()/f.settings.SlowStartWindow.Seconds()
	return f.settings.OverloadFactor * f.capacity() * float64(endpoints) * share *
		f.settings.OverloadWindow.Seconds()
}

// coldEndpoints returns the number of endpoints that the outages take.
func (f *coldFleet) coldEndpoints() int {
	if f.out > 0 {
		return f.out
	}
	return f.coldCase.endpoints
}

// countCold counts a call at a cold endpoint, and judges whether the endpoint or, if wholeFalls is set, the
// destination withstands it. What does not fails for good.
func (f *coldFleet) countCold(r *coldRelay, ep *coldEndpoint, send policy.Send) {
	since := f.now - ep.returnedAt
	if ep.out || ep.returnedAt == 0 || since >= f.settings.SlowStartWindow {
		return
	}
	call := coldCall{f.now, r.number, send.Limit}
	ep.recent = f.inWindow(append(ep.recent, call))
	f.recent = f.inWindow(append(f.recent, call))
	if budget := f.coldBudget(f.coldEndpoints(), since); f.wholeFalls && float64(len(f.recent)) > withstoodCalls(budget) {
		for _, other := range f.endpoints {
			other.fallen = other.fallen || other.inOutages
		}
		f.judge(destinationByDestination, "the destination", since, f.recent, f.notified, budget)
	}
	if budget := f.coldBudget(1, since); !f.wholeFalls && float64(len(ep.recent)) > withstoodCalls(budget) {
		ep.fallen = true
		f.judge(endpointByEndpoint, ep.id, since, ep.recent, ep.notified, budget)
		f.judge(endpointByDestination, ep.id, since, ep.recent, f.notified, budget)
	}
}

// inWindow returns the calls of the last OverloadWindow.
func (f *coldFleet) inWindow(calls []coldCall) []coldCall {
	for calls[0].at < f.now-f.settings.OverloadWindow {
		calls = calls[1:]
	}
	return calls
}

// judge records a violation if too many of the calls under which something fell came from notified relays.
func (f *coldFleet) judge(reading coldReading, what string, since time.Duration, calls []coldCall,
	notified map[int]bool, budget float64) {
	byLimit, fromNotified := map[policy.CallLimit]int{}, 0
	for _, call := range calls {
		byLimit[call.limit]++
		if notified[call.relay] {
			fromNotified++
		}
	}
	if f.broken[reading] != "" || float64(fromNotified) <= observedCallShare*float64(len(calls)) {
		return
	}
	f.broken[reading] = fmt.Sprintf("%s fell %v after its return under %d calls in %v, %d of them from notified "+
		"relays; N is %.1f, and it withstands %.1f; calls by limit: %v", what, since, len(calls),
		f.settings.OverloadWindow, fromNotified, budget, withstoodCalls(budget), byLimit)
}

// withstoodCalls returns how many calls a cold endpoint withstands whose budget is n calls, by the operators' rule on
// cold destinations.
func withstoodCalls(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}
