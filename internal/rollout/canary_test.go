package rollout

import (
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
)

// simulatedRelays is the number of relays of a simulation.
const simulatedRelays = 60

// simulation describes samples of a fleet in which some relays are updated.
type simulation struct {
	updated          int
	samples          int
	rate             float64 // messages a second at a relay
	rejected         float64 // share of messages that are rejected
	rejectedIncrease float64 // of that share, for one of the two classes of updated relays
	latencyFactor    float64 // of updated relays; 0 for none
	memoryFactor     float64 // of updated relays; 0 for none
	crashes          int     // of each updated relay
	overloadFrom     int     // sample from which all relays are overloaded; 0 for never
}

// simulatedRelay is one relay of a simulation.
type simulatedRelay struct {
	weight    float64 // of its load
	isUpdated bool
	totals    Metrics
}

// simulatedClasses are the classes and their shares of the messages. The second one has the increase of rejections.
var simulatedClasses = []struct {
	name  string
	share float64
}{{"a", 0.6}, {"b", 0.4}}

// run adds samples to an analysis until it detects a regression, and returns the last evaluation and the number of samples.
func (s simulation) run(seed uint64) (evaluation Evaluation, samples int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	analysis := NewCanaryAnalysis(defaults().Gate, 4, len(simulatedClasses))
	relays := make([]simulatedRelay, simulatedRelays)
	for i := range relays {
		totals := Metrics{Outcomes: map[string][outcomeCount]int64{}, MemoryMB: 10 + rng.Float64()}
		relays[i] = simulatedRelay{math.Exp(0.5 * rng.NormFloat64()), i < s.updated, totals}
	}
	for sample := range s.samples {
		burst := math.Exp(0.3 * rng.NormFloat64()) // the load varies over time, for all relays alike
		metrics := map[int]Metrics{}
		for i := range relays {
			metrics[i] = s.sample(rng, &relays[i], burst, s.overloadFrom > 0 && sample >= s.overloadFrom)
		}
		analysis.AddSample(metrics, func(relay int) bool { return relay < s.updated })
		if evaluation = analysis.Evaluate(); evaluation.Regressed {
			return evaluation, sample + 1
		}
	}
	return evaluation, s.samples
}

// sample adds a second's messages to a relay's totals and returns its metrics.
func (s simulation) sample(rng *rand.Rand, relay *simulatedRelay, burst float64, isOverloaded bool) Metrics {
	for i, class := range simulatedClasses {
		rejected := s.rejected
		if relay.isUpdated && i == 1 {
			rejected += s.rejectedIncrease
		}
		if isOverloaded {
			rejected += 0.4
		}
		outcomes := relay.totals.Outcomes[class.name]
		for range poisson(rng, s.rate*relay.weight*burst*class.share) {
			if rng.Float64() < rejected {
				outcomes[outcomeRejected]++
			} else {
				outcomes[outcomeCompleted]++
			}
		}
		relay.totals.Outcomes[class.name] = outcomes
	}
	latency := 0.3
	metrics := relay.totals
	metrics.Outcomes = map[string][outcomeCount]int64{"a": relay.totals.Outcomes["a"], "b": relay.totals.Outcomes["b"]}
	if relay.isUpdated {
		latency *= max(1, s.latencyFactor)
		metrics.Crashes = s.crashes
		if s.memoryFactor > 0 {
			metrics.MemoryMB *= s.memoryFactor
		}
	}
	metrics.Pending = int64(poisson(rng, s.rate*relay.weight*latency*burst))
	return metrics
}

// poisson draws a number with a Poisson distribution.
func poisson(rng *rand.Rand, mean float64) (n int) {
	for p := rng.Float64(); p > math.Exp(-mean) && n < 1000; n++ {
		p *= rng.Float64()
	}
	return n
}

// simulationRuns is the number of runs of a simulation: $ROLLOUT_TRIALS, or few enough for a test beside others.
func simulationRuns() int {
	if n, err := strconv.Atoi(os.Getenv("ROLLOUT_TRIALS")); err == nil {
		return n
	}
	return 25
}

// A version that is as good is stopped no more often than the false positive rate allows, however often it is evaluated and
// whatever affects all relays alike; a worse one is stopped soon.
func TestCanaryAnalysis(t *testing.T) {
	for _, c := range []struct {
		name           string
		simulation     simulation
		maxStopped     float64 // share of the runs
		minStopped     float64 // share of the runs
		maxMeanSamples float64 // until the stop; 0 if it is not limited
	}{
		{"equal", simulation{updated: 3, samples: 120, rate: 5, rejected: 0.1}, 0.05, 0, 0},
		{"equal, one relay", simulation{updated: 1, samples: 120, rate: 5, rejected: 0.1}, 0.05, 0, 0},
		{"equal, overloaded", simulation{updated: 15, samples: 120, rate: 5, rejected: 0.1, overloadFrom: 40}, 0.05, 0, 0},
		{"equal, little traffic", simulation{updated: 3, samples: 200, rate: 0.5, rejected: 0.2}, 0.05, 0, 0},
		{"one class worse", simulation{updated: 3, samples: 120, rate: 5, rejected: 0.1, rejectedIncrease: 0.3}, 1, 0.99, 40},
		{"one class worse, one relay", simulation{updated: 1, samples: 200, rate: 5, rejected: 0.1, rejectedIncrease: 0.4},
			1, 0.95, 60},
		{"twice the latency", simulation{updated: 3, samples: 120, rate: 5, latencyFactor: 2}, 1, 0.99, 60},
		{"three times the memory", simulation{updated: 1, samples: 20, rate: 5, memoryFactor: 3}, 1, 1, 6},
		{"crashes", simulation{updated: 1, samples: 20, rate: 5, crashes: 2}, 1, 1, 2},
	} {
		runs, stopped, samples := simulationRuns(), 0, 0
		for seed := range uint64(runs) {
			if evaluation, n := c.simulation.run(seed); evaluation.Regressed {
				stopped++
				samples += n
			}
		}
		share := float64(stopped) / float64(runs)
		mean := float64(samples) / math.Max(1, float64(stopped))
		t.Logf("%s: stopped in %.3f of %d runs, after %.1f samples in the mean", c.name, share, runs, mean)
		isLate := c.maxMeanSamples > 0 && float64(samples) > c.maxMeanSamples*float64(stopped)
		if share > c.maxStopped || share < c.minStopped || isLate {
			t.Errorf("%s: stopped in %.3f of the runs, after %.1f samples", c.name, share, mean)
		}
	}
}

// With too little traffic the evaluation is not conclusive.
func TestInconclusive(t *testing.T) {
	if evaluation, _ := (simulation{updated: 3, samples: 30, rate: 5, rejected: 0.1}).run(1); evaluation.Regressed {
		t.Errorf("%+v", evaluation)
	}
	for _, s := range []simulation{{updated: 3, samples: 5, rate: 5}, {updated: 1, samples: 10, rate: 0.2, rejected: 0.3}} {
		if evaluation, _ := s.run(1); evaluation.Conclusive || evaluation.Regressed || evaluation.Reason == "" {
			t.Errorf("%+v: %+v", s, evaluation)
		}
	}
	if evaluation, _ := (simulation{updated: 3, samples: 120, rate: 10, rejected: 0.1}).run(1); !evaluation.Conclusive {
		t.Errorf("with traffic: %+v", evaluation)
	}
}
