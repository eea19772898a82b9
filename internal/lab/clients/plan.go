// Package clients stands in for those who hand messages in: arrivals drawn ahead from the seed, clients that wait for
// their answer for as long as the protocol says and come again after a refusal, and peers that send nothing proper.
//
// It promises an open loop: no arrival waits for anything that a relay does, and one that the lab itself is late with
// is counted. Every hand-in, answer and leaving stands in the history.
package clients

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"milletsail/internal/lab/scenario"
)

// Arrival is one message as it was drawn.
type Arrival struct {
	At    time.Duration
	Msg   int // from 1, in the order of time
	Class *scenario.Class
	Dest  int
	Home  int    // the relay that its client uses first
	Key   string // of a dedup class
}

// stretch is a span of time with a factor on something.
type loadChange struct {
	from, to time.Duration
	factor   float64
	relays   []int // struck; nil for all
}

// Plan draws the arrivals of a scenario: Poisson at the rate of the moment, a share of them in clumps for one
// destination, unevenly over relays and destinations.
func Plan(s *scenario.Scenario) []Arrival {
	var bursts, shifts []loadChange
	for i, f := range s.Faults {
		span := loadChange{from: f.At.AsDuration(), to: f.At.AsDuration() + f.For.AsDuration(), factor: f.Size}
		switch f.Kind {
		case "burst":
			bursts = append(bursts, span)
		case "shift":
			span.relays = s.StruckRelays(i)
			shifts = append(shifts, span)
		}
	}
	most := 1.0
	for _, b := range bursts {
		most *= math.Max(1, b.factor)
	}
	d := &planner{s: s, rng: s.Draws("arrivals"), shifts: shifts}
	d.relays = shares(s, "relays", s.Fleet.Relays, s.Fleet.Spread)
	for i := range s.Destinations {
		for range s.Destinations[i].Count {
			d.dests = append(d.dests, s.Destinations[i].Share)
		}
	}
	for i := range s.Classes {
		d.classes = append(d.classes, s.Classes[i].Share)
	}
	// Thinning: candidates at the highest rate, each kept with the share that the rate of its moment has of that. A
	// clump counts for all of its messages.
	single := s.Load.Rate * (1 - s.Load.Clumps)
	clumps := s.Load.Rate * s.Load.Clumps / float64(s.Load.ClumpSize)
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
		for range s.Load.ClumpSize {
			if then := at + time.Duration(d.rng.Float64()*float64(s.Load.ClumpSpan.AsDuration())); then < s.Length.AsDuration() {
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

// drawing is a plan as it grows.
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

// shares draws lognormal weights with a sigma.
func shares(s *scenario.Scenario, purpose string, n int, sigma float64) []float64 {
	rng, all := s.Draws(purpose), make([]float64, n)
	for i := range all {
		all[i] = math.Exp(sigma * rng.NormFloat64())
	}
	return all
}

// pick draws an index by weight.
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
