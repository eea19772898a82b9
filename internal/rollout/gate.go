package rollout

import (
	"fmt"
	"math"
	"slices"
)

// Evaluation is the result of the canary analysis of a stage.
type Evaluation struct {
	Regressed  bool   // the new version is worse: stop
	Conclusive bool   // enough samples to exclude a regression: promote
	Reason     string // why it regressed, or why the evaluation is not conclusive
}

// Metrics are what an agent says of its relay at a look: sums since the relay's process started.
type Metrics struct {
	Outcomes       map[string][3]int64 `json:"ends"` // by class: delivered, refused, failed
	Pending        int64               `json:"pending"`
	MemoryMB       float64             `json:"memory_mb"`
	Crashes        int                 `json:"crashes"`        // ends that nobody asked for, since the version was changed
	EvacuatedZones []string            `json:"left,omitempty"` // zones that it has left, where it decides by zones
}

// group is relays of one version, over one step between two looks.
type group struct {
	ends               map[string][3]float64
	pending, delivered float64 // at the last look, and since the one before
	memory             float64
	relays             float64
	crashes            int
}

// sojourn is what was pending, and what was delivered meanwhile.
type sojourn struct{ pending, delivered float64 }

// CanaryAnalysis compares changed relays with unchanged ones, look by look, by differences over the same time, so that what
// strikes all alike cancels out. The test is sequential: it may be looked at as often as wanted, and still stops an equal
// version with no more than the chance that was stated (mixture sequential probability ratio test: Robbins, "Statistical
// methods related to the law of the iterated logarithm", 1970; Johari and others, "Always valid inference", 2017).
type CanaryAnalysis struct {
	gate   Gate
	tests  int // that the chance of a false stop is shared out to
	last   map[int]Metrics
	series map[string]*series
	block  [2]group   // looks that are not compared yet: unchanged and changed
	times  [2]sojourn // the same for what is pending
	heavy  int        // looks in a row with too much memory
	looks  int
	why    string
	worse  bool
}

// series is the differences of one figure, changed less unchanged.
type series struct {
	n        float64
	mean, m2 float64 // Welford's sums
	least    float64 // variance that chance alone makes, by the counts
	scale    float64 // of what is looked for
}

// timeFigure is the series of how long messages take.
const timeFigure = "time"

// leastEnds messages have to end on both sides for a difference to be taken: shares and times of fewer are skewed.
const leastEnds = 15

// leastLooks is how many differences a variance needs to mean something.
const leastLooks = 6

// heavyLooks with too much memory in a row are not chance: memory does not come and go in a second.
const heavyLooks = 5

// mostCrashes of changed relays are ordinary; one more is a version that does not live.
const mostCrashes = 1

// NewCanaryAnalysis begins a comparison for one stage of some, over some classes.
func NewCanaryAnalysis(g Gate, stages, classes int) *CanaryAnalysis {
	return &CanaryAnalysis{gate: g, tests: max(1, stages) * (2*max(1, classes) + 1), last: map[int]Metrics{}, series: map[string]*series{}}
}

// AddSample takes in what all relays say at one look: changed tells which have the new version.
func (c *CanaryAnalysis) AddSample(seen map[int]Metrics, isChanged func(relay int) bool) {
	groups := &c.block
	for i := range groups {
		if groups[i].ends == nil {
			groups[i].ends = map[string][3]float64{}
		}
		groups[i].memory, groups[i].relays, groups[i].crashes, groups[i].pending, groups[i].delivered = 0, 0, 0, 0, 0
	}
	for relay, f := range seen {
		g := &groups[0]
		if isChanged(relay) {
			g = &groups[1]
			g.crashes += f.Crashes
		}
		before, had := c.last[relay]
		c.last[relay] = f
		g.memory, g.pending, g.relays = g.memory+f.MemoryMB, g.pending+float64(f.Pending), g.relays+1
		if !had {
			continue
		}
		for class, now := range f.Outcomes {
			sum := g.ends[class]
			g.delivered += float64(max(0, now[0]-before.Outcomes[class][0]))
			for k := range now {
				sum[k] += float64(max(0, now[k]-before.Outcomes[class][k])) // a restart begins at 0 again
			}
			g.ends[class] = sum
		}
	}
	old, new := &groups[0], &groups[1]
	if new.crashes > mostCrashes {
		c.found(fmt.Sprintf("changed relays ended by themselves %d times", new.crashes))
	}
	if old.relays == 0 || new.relays == 0 {
		return
	}
	c.looks++
	if new.memory/new.relays > c.gate.MemoryFactor*old.memory/old.relays {
		if c.heavy++; c.heavy >= heavyLooks {
			c.found(fmt.Sprintf("changed relays take %.0f MB, unchanged ones %.0f MB", new.memory/new.relays, old.memory/old.relays))
		}
	} else {
		c.heavy = 0
	}
	c.sojourns(old, new)
	if old.left() < leastEnds || new.left() < leastEnds {
		return
	}
	for class, a := range new.ends {
		b := old.ends[class]
		na, nb := a[0]+a[1]+a[2], b[0]+b[1]+b[2]
		if na == 0 || nb == 0 {
			continue
		}
		for k, what := range map[int]string{1: "refused", 2: "failed"} {
			p := (a[k] + b[k]) / (na + nb)
			c.add(class+" "+what, a[k]/na-b[k]/nb, p*(1-p)*(1/na+1/nb), c.gate.ErrorRateIncrease)
		}
	}
	c.block = [2]group{}
}

// sojourns compares how long messages take. By Little's law that is what is pending over what is delivered, so the
// difference of the logarithms is that of the times.
func (c *CanaryAnalysis) sojourns(old, new *group) {
	for i, g := range []*group{old, new} {
		c.times[i].pending += g.pending
		c.times[i].delivered += g.delivered
	}
	a, b := c.times[1], c.times[0]
	if least := min(a.pending, a.delivered, b.pending, b.delivered); least < leastEnds {
		return
	}
	x := math.Log(a.pending/a.delivered) - math.Log(b.pending/b.delivered)
	c.add(timeFigure, x, 1/a.pending+1/a.delivered+1/b.pending+1/b.delivered, math.Log(c.gate.LatencyFactor))
	c.times = [2]sojourn{}
}

// left is how many messages ended.
func (g *group) left() (n float64) {
	for _, ends := range g.ends {
		n += ends[0] + ends[1] + ends[2]
	}
	return n
}

// add takes in one difference.
func (c *CanaryAnalysis) add(name string, x, chance, scale float64) {
	s := c.series[name]
	if s == nil {
		s = &series{scale: scale}
		c.series[name] = s
	}
	s.n++
	d := x - s.mean
	s.mean += d / s.n
	s.m2 += d * (x - s.mean)
	s.least += (chance - s.least) / s.n
	if s.n >= leastLooks && s.mean > 0 && s.evidence() >= float64(c.tests)/c.gate.FalsePositiveRate {
		c.found(fmt.Sprintf("%s: %+.3f on changed relays, after %.0f looks", name, s.mean, s.n))
	}
}

// variance is that of one difference: what chance alone makes at least, since few looks may agree by chance. The small
// addition stands for the doubt in a variance that was estimated from few.
func (s *series) variance() float64 {
	v := s.least
	if s.n > 1 {
		v = math.Max(v, s.m2/(s.n-1))
	}
	return math.Max(1e-9, v*(1+4/s.n))
}

// evidence is the likelihood ratio of a difference, over a mixture of sizes about scale, against none.
func (s *series) evidence() float64 {
	v, t := s.variance(), s.scale*s.scale
	return math.Sqrt(v/(v+s.n*t)) * math.Exp(s.n*s.n*t*s.mean*s.mean/(2*v*(v+s.n*t)))
}

// tells whether a worsening of the size that is looked for would have been seen: the mean's upper bound is under it.
func (s *series) tells(missed float64) bool {
	z := math.Sqrt2 * math.Erfinv(1-2*missed)
	return s.n >= leastLooks && s.mean+z*math.Sqrt(s.variance()/s.n) < s.scale
}

func (c *CanaryAnalysis) found(why string) {
	if !c.worse {
		c.worse, c.why = true, why
	}
}

// Evaluate is what can be said so far.
func (c *CanaryAnalysis) Evaluate() Evaluation {
	if c.worse {
		return Evaluation{Regressed: true, Reason: c.why}
	}
	if len(c.series) == 0 || c.looks < leastLooks {
		return Evaluation{Reason: fmt.Sprintf("too little traffic: %d looks with messages on both sides, %d are needed", c.looks, leastLooks)}
	}
	var unclear []string
	for name, s := range c.series {
		// Where messages take well under a look's time, few are pending at one: times can stop a version, but what little
		// can be told of them does not hold a good one up.
		if name != timeFigure && !s.tells(c.gate.FalseNegativeRate) {
			unclear = append(unclear, name)
		}
	}
	if len(unclear) > 0 {
		slices.Sort(unclear)
		return Evaluation{Reason: fmt.Sprintf("too little traffic to tell of: %v", unclear)}
	}
	return Evaluation{Conclusive: true}
}
