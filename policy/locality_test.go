package policy

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Checks these properties for random demands and capacities: all messages of a zone are assigned, no zone
// receives more from others than its free capacity, a zone with enough capacity keeps its messages, as much
// is served as the total capacity allows, and the order of the zones does not matter.
func TestSpilloverShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64Range(0, 100), 2, 6)
		demand := rates.Draw(t, "demand")
		capacity := rapid.SliceOfN(rapid.Float64Range(0, 100), len(demand), len(demand)).Draw(t, "capacity")
		shares := spilloverShares(demand, capacity)
		totalDemand, totalCapacity, served := 0.0, 0.0, 0.0
		for zone := range demand {
			totalDemand, totalCapacity = totalDemand+demand[zone], totalCapacity+capacity[zone]
			served += checkZoneShares(t, zone, demand, capacity, shares) + math.Min(capacity[zone],
				demand[zone])
		}
		if served < math.Min(totalDemand, totalCapacity)-1e-6 {
			t.Fatalf("%v messages a second are served, of a demand of %v with a total capacity of %v",
				served, totalDemand, totalCapacity)
		}
		checkZoneOrder(t, demand, capacity, shares)
	})
}

// checkZoneShares checks the shares of one zone, and returns the messages a second that it receives from
// others.
func checkZoneShares(t *rapid.T, zone int, demand, capacity []float64,
	shares [][]float64) (received float64) {
	sum := 0.0
	for other := range demand {
		if shares[zone][other] < -1e-9 {
			t.Fatalf("zone %d sends a negative share of %v to zone %d", zone, shares[zone][other], other)
		}
		sum += shares[zone][other]
		if other != zone {
			received += shares[other][zone] * demand[other]
		}
	}
	if math.Abs(sum-1) > 1e-6 {
		t.Fatalf("the shares of zone %d add up to %v, want 1", zone, sum)
	}
	if received > math.Max(0, capacity[zone]-demand[zone])+1e-6 {
		t.Fatalf("zone %d with a capacity of %v and an own demand of %v receives %v from other zones",
			zone, capacity[zone], demand[zone],
			received)
	}
	if demand[zone] <= capacity[zone] && shares[zone][zone] < 1-1e-9 {
		t.Fatalf("zone %d has enough capacity but keeps only a share of %v", zone, shares[zone][zone])
	}
	return received
}

// checkZoneOrder checks that another order of the zones gives the same shares.
func checkZoneOrder(t *rapid.T, demand, capacity []float64, shares [][]float64) {
	zones := make([]int, len(demand))
	for zone := range zones {
		zones[zone] = zone
	}
	order := rapid.Permutation(zones).Draw(t, "order")
	orderedDemand, orderedCapacity := make([]float64, len(demand)), make([]float64, len(demand))
	for i, zone := range order {
		orderedDemand[i], orderedCapacity[i] = demand[zone], capacity[zone]
	}
	for i, row := range spilloverShares(orderedDemand, orderedCapacity) {
		for j, share := range row {
			if want := shares[order[i]][order[j]]; math.Abs(share-want) > 1e-6 {
				t.Fatalf("with the zones in another order, zone %d sends zone %d a share of %v, want %v",
					order[i], order[j], share, want)
			}
		}
	}
}

// Guards against calls that leave a zone with free capacity, and against a zone that keeps its calls although
// it rejects half of them.
func TestCallsStayInOwnZoneWithCapacity(t *testing.T) {
	z := newZonedRelay(t, 3, 4, nil)
	z.run(20 * time.Second)
	if local := float64(z.sent["0"]) / float64(z.sent["all"]); local < 0.98 {
		t.Errorf("share of %.3f of the calls in a healthy own zone, want at least 0.98", local)
	}
	z.outcome = func(_ string, _, zone int) Outcome {
		if zone == 0 && z.rng.IntN(2) == 0 {
			return Rejected
		}
		return OK
	}
	clear(z.sent)
	z.run(40 * time.Second)
	if local := float64(z.sent["0"]) / float64(z.sent["all"]); local > 0.5 {
		t.Errorf("share of %.3f of the calls in an own zone that rejects half of them, want at most 0.5",
			local)
	}
}

// Guards against a relay that considers only its own traffic: if all relays of its zone together exceed the
// capacity there, each has to send a part of its calls to other zones.
func TestSpilloverByPeerRates(t *testing.T) {
	z := newZonedRelay(t, 3, 1, func(s *Settings) { s.Weights, s.FleetSize = WeightsNominal, 1 })
	z.d.Handle(0, []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "0-0", Weight: 300},
		{ID: "0-1", Zone: 1, Weight: 300}, {ID: "0-2", Zone: 2, Weight: 300}}},
		PeerRateReceived{LiveRelays: 3, Reporters: 5, RateShare: 1, ArrivalRate: 100,
			ArrivalRateByZone: []float64{160, 50, 80}, ValidFor: time.Minute}})
	z.run(20 * time.Second)
	for zone, want := range []float64{100.0 / 160, 60.0 / 160 * 50 / 70, 60.0 / 160 * 20 / 70} {
		if got := float64(z.sent[fmt.Sprint(zone)]) / float64(z.sent["all"]); math.Abs(got-want) > 0.05 {
			t.Errorf("zone %d serves a share of %.3f of the calls, want %.3f", zone, got, want)
		}
	}
}

func TestLocalityBalancer(t *testing.T) {
	const own, other = 0, 1
	var balancer localityBalancer
	if got := balancer.target(own); got != own {
		t.Errorf("the first call goes to zone %d, want the own zone", got)
	}
	for range 1000 {
		balancer.recordSlowCall()
	}
	if balancer.spillover != maxSpillover {
		t.Errorf("spillover of %v after slow calls, want maxSpillover", balancer.spillover)
	}
	balancer.spillover = 0.5
	sent := 0
	for range 100 {
		to := balancer.target(own)
		balancer.recordCall(to, own, map[int]bool{other: true})
		if to == other {
			sent++
		}
	}
	if sent < 49 || sent > 50 {
		t.Errorf("with a spillover of 0.5, %d of 100 calls go to the other zone, want 49 or 50", sent)
	}
	for range 1000 {
		balancer.recordQuickCall()
	}
	if balancer.spillover != 0 {
		t.Errorf("spillover of %v after quick calls, want 0", balancer.spillover)
	}
}
