package rollout

import (
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
)

// simulatedRelays is the number of relays in a simulated fleet.
const simulatedRelays = 60

// simulation describes the metrics of a simulated fleet in which some relays have the new version.
type simulation struct {
	updated          int     // number of relays with the new version
	samples          int     // number of samples, one a second
	rate             float64 // mean messages a second at a relay
	rejected         float64 // share of messages that are rejected
	rejectedIncrease float64 // increase of that share on updated relays, for the second class
	latencyFactor    float64 // factor on the latency of updated relays; 0 is 1
	memoryFactor     float64 // factor on the memory of updated relays; 0 is 1
	crashes          int     // crashes of each updated relay
	overloadFrom     int     // index of the sample from which all relays are overloaded; 0 is never
}

// simulatedRelay is the state of one relay of a simulation.
type simulatedRelay struct {
	weight    float64 // factor on the rate of messages
	isUpdated bool
	totals    Metrics // since the start of the relay
}

// simulatedClasses are the message classes and their shares of the messages. Rejections of the second class increase by
// simulation.rejectedIncrease.
var simulatedClasses = []struct {
	name  string
	share float64
}{{"a", 0.6}, {"b", 0.4}}

// run adds samples to a canary analysis, until it detects a regression or all samples are used. It returns the last evaluation and
// the number of samples.
func (s simulation) run(seed uint64) (evaluation Evaluation, samples int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	analysis := NewCanaryAnalysis(defaults().Gate, 4, len(simulatedClasses))
	relays := make([]simulatedRelay, simulatedRelays)
	for i := range relays {
		totals := Metrics{Outcomes: map[string][outcomeCount]int64{}, MemoryMB: 10 + rng.Float64()}
		relays[i] = simulatedRelay{math.Exp(0.5 * rng.NormFloat64()), i < s.updated, totals}
	}
	for sample := range s.samples {
		burst := math.Exp(0.3 * rng.NormFloat64()) // variation of the load over time, the same for all relays
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

// sample adds the messages of one second to a relay's totals and returns its metrics.
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

// poisson returns a random number with a Poisson distribution, at most 1000.
func poisson(rng *rand.Rand, mean float64) (n int) {
	for p := rng.Float64(); p > math.Exp(-mean) && n < 1000; n++ {
		p *= rng.Float64()
	}
	return n
}

// simulationRuns returns the number of runs of each simulation: $ROLLOUT_TRIALS, or by default few enough for the usual test run.
func simulationRuns() int {
	if n, err := strconv.Atoi(os.Getenv("ROLLOUT_TRIALS")); err == nil {
		return n
	}
	return 25
}

// Guards against false positives and missed regressions of the canary analysis, in simulations. A version that equals the old one
// may be stopped only within the false positive rate, although it is evaluated after each sample and although load and overload
// affect all relays; a worse version has to be stopped within a number of samples.
func TestCanaryAnalysis(t *testing.T) {
	for _, c := range []struct {
		name           string
		simulation     simulation
		maxStopped     float64 // maximum share of the runs that are stopped
		minStopped     float64 // minimum share of the runs that are stopped
		maxMeanSamples float64 // maximum of the mean number of samples until the stop; 0 for no limit
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
		t.Logf("%s: stopped in %.3f of %d runs, after a mean of %.1f samples", c.name, share, runs, mean)
		isLate := c.maxMeanSamples > 0 && float64(samples) > c.maxMeanSamples*float64(stopped)
		if share > c.maxStopped || share < c.minStopped || isLate {
			t.Errorf("%s: stopped in %.3f of the runs, after a mean of %.1f samples; outside the limits of the case", c.name, share, mean)
		}
	}
}

// Guards against the promotion of a version after too little traffic: the evaluation must not be conclusive until there are enough
// samples and messages, and has to say why.
func TestInconclusive(t *testing.T) {
	if evaluation, _ := (simulation{updated: 3, samples: 30, rate: 5, rejected: 0.1}).run(1); evaluation.Regressed {
		t.Errorf("equal versions, 30 samples: got %+v, want no regression", evaluation)
	}
	for _, s := range []simulation{{updated: 3, samples: 5, rate: 5}, {updated: 1, samples: 10, rate: 0.2, rejected: 0.3}} {
		if evaluation, _ := s.run(1); evaluation.Conclusive || evaluation.Regressed || evaluation.Reason == "" {
			t.Errorf("simulation %+v: got %+v, want an inconclusive evaluation with a reason", s, evaluation)
		}
	}
	if evaluation, _ := (simulation{updated: 3, samples: 120, rate: 10, rejected: 0.1}).run(1); !evaluation.Conclusive {
		t.Errorf("equal versions, 120 samples at 10 messages a second: got %+v, want a conclusive evaluation", evaluation)
	}
}
