// Package clients simulates the clients that hand messages in. Arrivals are drawn in advance from the seed. Clients
// wait for their answer as long as the protocol says and retry after a refusal; others send malformed requests.
//
// The load is an open loop: no arrival waits for anything that a relay does, and arrivals that the lab itself delays
// are counted. Each hand-in, each answer and each client that gives up is in the history.
package clients

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"milletsail/internal/lab/scenario"
)

// Arrival is one message of a plan.
type Arrival struct {
	At    time.Duration
	Msg   int // number of the message, from 1 in order of arrival
	Class *scenario.Class
	Dest  int
	Home  int    // relay at which the message is first handed in
	Key   string // idempotency key; only in dedup classes
}

// loadChange multiplies the rate of arrivals by a factor from one time to another.
type loadChange struct {
	from, to time.Duration
	factor   float64
	relays   []int // affected relays; nil for all
}

// Plan draws the arrivals of a scenario: a Poisson process with the configured rate, a share of whose messages arrive
// in clumps for one destination, distributed unevenly over relays and destinations.
func Plan(s *scenario.Scenario) []Arrival {
	var bursts, shifts []loadChange
	for i, f := range s.Faults {
		span := loadChange{from: f.At.AsDuration(), to: f.At.AsDuration() + f.Duration.AsDuration(), factor: f.Magnitude}
		switch f.Kind {
		case "burst":
			bursts = append(bursts, span)
		case "shift":
			span.relays = s.AffectedRelays(i)
			shifts = append(shifts, span)
		}
	}
	most := 1.0
	for _, b := range bursts {
		most *= math.Max(1, b.factor)
	}
	d := &planner{s: s, rng: s.Draws("arrivals"), shifts: shifts}
	d.relays = shares(s, "relays", s.Fleet.Relays, s.Fleet.TrafficSigma)
	for i := range s.Destinations {
		for range s.Destinations[i].Count {
			d.dests = append(d.dests, s.Destinations[i].Share)
		}
	}
	for i := range s.Classes {
		d.classes = append(d.classes, s.Classes[i].Share)
	}
	// Thinning: candidates are drawn at the highest rate, and each is kept with probability (rate at its
	// time)/(highest rate). A clump is one candidate for all of its messages.
	single := s.Load.Rate * (1 - s.Load.BurstShare)
	clumps := s.Load.Rate * s.Load.BurstShare / float64(s.Load.BurstSize)
	for at := time.Duration(0); ; {
		at += time.Duration(d.rng.ExpFloat64() / ((single + clumps) * most) * float64(time.Second))
		if at >= s.Length.AsDuration() {
			break
		}
		rate := 1.0
		for _, b := range bursts {
			if at >= b.from && at < b.to {
				rate *= b.factor
			}
		}
		if d.rng.Float64()*most >= rate {
			continue
		}
		if d.rng.Float64()*(single+clumps) < single {
			d.add(at, pick(d.rng, d.dests), pick(d.rng, d.classes))
			continue
		}
		dest, class := pick(d.rng, d.dests), pick(d.rng, d.classes)
		for range s.Load.BurstSize {
			if then := at + time.Duration(d.rng.Float64()*float64(s.Load.BurstSpan.AsDuration())); then < s.Length.AsDuration() {
				d.add(then, dest, class)
			}
		}
	}
	sort.SliceStable(d.arrivals, func(i, j int) bool { return d.arrivals[i].At < d.arrivals[j].At })
	for i := range d.arrivals {
		a := &d.arrivals[i]
		a.Msg = i + 1
		if a.Class.Effect == "dedup" {
			a.Key = fmt.Sprintf("%016x%016x", d.rng.Uint64(), d.rng.Uint64())
		}
	}
	return d.arrivals
}

// planner collects the arrivals of a plan.
type planner struct {
	s                      *scenario.Scenario
	rng                    *rand.Rand
	relays, dests, classes []float64
	shifts                 []loadChange
	arrivals               []Arrival
}

func (d *planner) add(at time.Duration, dest, class int) {
	weights := d.relays
	for _, shift := range d.shifts {
		if at >= shift.from && at < shift.to {
			weights = append([]float64(nil), weights...)
			for _, r := range shift.relays {
				weights[r] *= shift.factor
			}
		}
	}
	d.arrivals = append(d.arrivals, Arrival{At: at, Class: &d.s.Classes[class], Dest: dest, Home: pick(d.rng, weights)})
}

// shares draws n lognormal weights with the given sigma.
func shares(s *scenario.Scenario, purpose string, n int, sigma float64) []float64 {
	rng, all := s.Draws(purpose), make([]float64, n)
	for i := range all {
		all[i] = math.Exp(sigma * rng.NormFloat64())
	}
	return all
}

// pick draws an index with probability proportional to its weight.
func pick(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	left := rng.Float64() * sum
	for i, w := range weights {
		if left -= w; left < 0 {
			return i
		}
	}
	return len(weights) - 1
}
