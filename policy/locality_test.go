package policy

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Over any zones, all of each zone's messages go somewhere, no zone gets more than it has capacity for beyond
// its own, what has capacity stays at home, as much is served as can be, and the order of the zones does not
// matter.
func TestSpilloverShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64Range(0, 100), 2, 6)
		demand := rates.Draw(t, "demand")
		capacity := rapid.SliceOfN(rapid.Float64Range(0, 100), len(demand), len(demand)).Draw(t, "room")
		shares := spilloverShares(demand, capacity)
		totalDemand, totalCapacity, served := 0.0, 0.0, 0.0
		for zone := range demand {
			totalDemand, totalCapacity = totalDemand+demand[zone], totalCapacity+capacity[zone]
			served += checkZoneShares(t, zone, demand, capacity, shares) + math.Min(capacity[zone],
				demand[zone])
		}
		if served < math.Min(totalDemand, totalCapacity)-1e-6 {
			t.Fatalf("%v is served of %v, with capacity for %v", served, totalDemand, totalCapacity)
		}
		checkZoneOrder(t, demand, capacity, shares)
	})
}

// checkZoneShares checks the shares of a zone, and returns what it gets from others.
func checkZoneShares(t *rapid.T, zone int, demand, capacity []float64,
	shares [][]float64) (received float64) {
	sum := 0.0
	for other := range demand {
		if shares[zone][other] < -1e-9 {
			t.Fatalf("zone %d sends %v to %d", zone, shares[zone][other], other)
		}
		sum += shares[zone][other]
		if other != zone {
			received += shares[other][zone] * demand[other]
		}
	}
	if math.Abs(sum-1) > 1e-6 {
		t.Fatalf("the shares of zone %d come to %v", zone, sum)
	}
	if received > math.Max(0, capacity[zone]-demand[zone])+1e-6 {
		t.Fatalf("zone %d with capacity for %v and %v of its own gets %v", zone, capacity[zone], demand[zone],
			received)
	}
	if demand[zone] <= capacity[zone] && shares[zone][zone] < 1-1e-9 {
		t.Fatalf("zone %d has capacity and keeps %v", zone, shares[zone][zone])
	}
	return received
}

// checkZoneOrder checks that the shares are the same in another order of the zones.
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
				t.Fatalf("in another order %d sends %d %v, not %v", order[i], order[j], share, want)
			}
		}
	}
}

// Calls stay in the own zone while it answers as it is used to, and leave it as far as it slows down.
func TestLocalFirst(t *testing.T) {
	z := newZonedRelay(t, 3, 4, nil)
	z.run(20 * time.Second)
	if local := float64(z.sent["0"]) / float64(z.sent["all"]); local < 0.98 {
		t.Errorf("%.3f of the calls stay in the own zone", local)
	}
	z.fails = func(_ string, _, zone int) Outcome {
		if zone == 0 && z.rng.IntN(2) == 0 {
			return Rejected
		}
		return OK
	}
	clear(z.sent)
	z.run(40 * time.Second)
	if local := float64(z.sent["0"]) / float64(z.sent["all"]); local > 0.5 {
		t.Errorf("%.3f of the calls stay in a zone that turns half of them away", local)
	}
}

// What other relays of the zone send counts: where the zones together have less capacity here, a part goes
// elsewhere.
func TestSpilloverByPeerRates(t *testing.T) {
	z := newZonedRelay(t, 3, 1, func(s *Settings) { s.Weights, s.FleetSize = WeightsNominal, 1 })
	z.d.Handle(0, []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "0-0", Weight: 300},
		{ID: "0-1", Zone: 1, Weight: 300}, {ID: "0-2", Zone: 2, Weight: 300}}},
		PeerRateReceived{LiveRelays: 3, Reporters: 5, RateShare: 1, ArrivalRate: 100,
			ArrivalRateByZone: []float64{160, 50, 80}, ValidFor: time.Minute}})
	z.run(20 * time.Second)
	for zone, want := range []float64{100.0 / 160, 60.0 / 160 * 50 / 70, 60.0 / 160 * 20 / 70} {
		if got := float64(z.sent[fmt.Sprint(zone)]) / float64(z.sent["all"]); math.Abs(got-want) > 0.05 {
			t.Errorf("zone %d serves %.3f, want %.3f", zone, got, want)
		}
	}
}

func TestLocalityBalancer(t *testing.T) {
	const own, other = 0, 1
	var balancer localityBalancer
	if got := balancer.target(own); got != own {
		t.Errorf("the first call goes to zone %d", got)
	}
	for range 1000 {
		balancer.recordSlowCall()
	}
	if balancer.spillover != maxSpillover {
		t.Errorf("spillover of %v after slow calls", balancer.spillover)
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
		t.Errorf("%d of 100 calls go to the other zone", sent)
	}
	for range 1000 {
		balancer.recordQuickCall()
	}
	if balancer.spillover != 0 {
		t.Errorf("spillover of %v after quick calls", balancer.spillover)
	}
}
