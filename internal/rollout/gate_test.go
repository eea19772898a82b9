package rollout

import (
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
)

// trial plays looks at 60 relays, some of them changed, and gives the verdict and the number of looks until it.
type trial struct {
	changed  int
	looks    int
	rate     float64 // messages a second at a relay
	refused  float64 // share, unchanged
	worse    float64 // more of it, on changed relays, of the second class alone
	longer   float64 // factor on their time
	memory   float64 // factor, on changed relays
	crashes  int
	overload int // the look from which all fare badly
}

func (c trial) play(seed uint64) (v Evaluation, looks int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	g := defaults().Gate
	cmp := NewCanaryAnalysis(g, 4, 2)
	sums := map[int]*Metrics{}
	weight := make([]float64, 60) // relays are uneven
	for i := range weight {
		weight[i] = math.Exp(0.5 * rng.NormFloat64())
		sums[i] = &Metrics{Outcomes: map[string][3]int64{}, MemoryMB: 10 + rng.Float64()}
	}
	for look := range c.looks {
		clump := math.Exp(0.3 * rng.NormFloat64()) // seconds are uneven, for all alike
		seen := map[int]Metrics{}
		for i := range weight {
			f := sums[i]
			isChanged := i < c.changed
			for class, share := range map[string]float64{"a": 0.6, "b": 0.4} {
				n := poisson(rng, c.rate*weight[i]*clump*share)
				refused := c.refused
				if isChanged && class == "b" {
					refused += c.worse
				}
				if c.overload > 0 && look >= c.overload {
					refused += 0.4
				}
				ends := f.Outcomes[class]
				for range n {
					if rng.Float64() < refused {
						ends[1]++
					} else {
						ends[0]++
					}
				}
				f.Outcomes[class] = ends
			}
			took := 0.3
			if isChanged {
				took *= max(1, c.longer)
				f.Crashes = c.crashes
			}
			f.Pending = int64(poisson(rng, c.rate*weight[i]*took*clump))
			said := *f
			if isChanged && c.memory > 0 {
				said.MemoryMB *= c.memory
			}
			said.Outcomes = map[string][3]int64{"a": f.Outcomes["a"], "b": f.Outcomes["b"]}
			seen[i] = said
		}
		cmp.AddSample(seen, func(relay int) bool { return relay < c.changed })
		if v = cmp.Evaluate(); v.Regressed {
			return v, look + 1
		}
	}
	return v, c.looks
}

func poisson(rng *rand.Rand, mean float64) (n int) {
	for p := rng.Float64(); p > math.Exp(-mean) && n < 1000; n++ {
		p *= rng.Float64()
	}
	return n
}

// trialsOf is how many trials are played: $ROLLOUT_TRIALS, or as many as a test that runs beside others can.
func trialsOf() int {
	if n, err := strconv.Atoi(os.Getenv("ROLLOUT_TRIALS")); err == nil {
		return n
	}
	return 25
}

// An equal version is stopped no more often than stated, however often it is looked at and whatever strikes all alike;
// a worse one is, soon.
func TestComparison(t *testing.T) {
	for _, c := range []struct {
		name  string
		trial trial
		most  float64 // share of the trials that stop
		least float64
		looks float64 // in the mean, where it stops
	}{
		{"equal", trial{changed: 3, looks: 120, rate: 5, refused: 0.1}, 0.05, 0, 0},
		{"equal, one relay", trial{changed: 1, looks: 120, rate: 5, refused: 0.1}, 0.05, 0, 0},
		{"equal, in an overload", trial{changed: 15, looks: 120, rate: 5, refused: 0.1, overload: 40}, 0.05, 0, 0},
		{"equal, sparse", trial{changed: 3, looks: 200, rate: 0.5, refused: 0.2}, 0.05, 0, 0},
		{"one class worse", trial{changed: 3, looks: 120, rate: 5, refused: 0.1, worse: 0.3}, 1, 0.99, 40},
		{"one class worse, one relay", trial{changed: 1, looks: 200, rate: 5, refused: 0.1, worse: 0.4}, 1, 0.95, 60},
		{"twice as slow", trial{changed: 3, looks: 120, rate: 5, longer: 2}, 1, 0.99, 60},
		{"three times the memory", trial{changed: 1, looks: 20, rate: 5, memory: 3}, 1, 1, 6},
		{"crashes", trial{changed: 1, looks: 20, rate: 5, crashes: 2}, 1, 1, 2},
	} {
		trials := trialsOf()
		stopped, looks := 0, 0
		for seed := range uint64(trials) {
			if v, n := c.trial.play(seed); v.Regressed {
				stopped++
				looks += n
			}
		}
		share := float64(stopped) / float64(trials)
		t.Logf("%s: stopped in %.3f of %d trials, after %.1f looks in the mean", c.name, share, trials, float64(looks)/math.Max(1, float64(stopped)))
		if share > c.most || share < c.least || c.looks > 0 && float64(looks) > c.looks*float64(stopped) {
			t.Errorf("%s: stopped in %.3f of the trials, after %.1f looks", c.name, share, float64(looks)/math.Max(1, float64(stopped)))
		}
	}
}

// A stage with too little traffic is not found good.
func TestTooLittle(t *testing.T) {
	if v, _ := (trial{changed: 3, looks: 30, rate: 5, refused: 0.1}).play(1); v.Regressed {
		t.Errorf("%+v", v)
	}
	for _, c := range []trial{{changed: 3, looks: 5, rate: 5}, {changed: 1, looks: 10, rate: 0.2, refused: 0.3}} {
		if v, _ := c.play(1); v.Conclusive || v.Regressed || v.Reason == "" {
			t.Errorf("%+v: %+v", c, v)
		}
	}
	if v, _ := (trial{changed: 3, looks: 120, rate: 10, refused: 0.1}).play(1); !v.Conclusive {
		t.Errorf("with traffic: %+v", v)
	}
}
