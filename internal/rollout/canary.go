package rollout

import (
	"fmt"
	"math"
	"slices"
)

const (
	// minMessages is the minimum number of messages of each cohort for a comparison: the distributions of shares and latencies over
	// fewer messages are too skewed.
	minMessages = 15
	// maxMemoryViolations is the number of consecutive samples above the memory factor that count as a regression. Memory changes
	// slowly, so that a single sample shows little.
	maxMemoryViolations = 5
	// toleratedCrashes is the maximum total of crashes of updated relays that does not count as a regression.
	toleratedCrashes = 1
	// testsPerClass is the number of sequential tests for each class: one for rejected messages, one for failed messages.
	testsPerClass = 2
	// latencyTest is the name of the sequential test for latency in CanaryAnalysis.tests.
	latencyTest = "latency"
)

// Evaluation is the result of the canary analysis of a stage.
type Evaluation struct {
	Regressed  bool   // the new version is worse, and the rollout has to stop
	Conclusive bool   // the samples exclude a regression, and the stage may be promoted
	Reason     string // why the version has regressed, or why the evaluation is not conclusive
}

// cohort holds the metrics of one group of relays: those with the old version (control) or those with the new one (canary).
type cohort struct {
	outcomes  map[string][outcomeCount]float64 // messages by class and outcome since outcomes were last compared
	pending   float64                          // messages pending in the last sample
	completed float64                          // messages completed between the last two samples
	memoryMB  float64                          // memory of all relays of the cohort in the last sample, in MB
	relays    float64                          // number of relays in the last sample
	crashes   int                              // crashes of updated relays as of the last sample; 0 in the control cohort
}

// latencySums holds the messages pending and completed since latencies were last compared. By Little's law their ratio is the
// latency of a cohort.
type latencySums struct{ pending, completed float64 }

// CanaryAnalysis compares the relays with the new version to the others. Both cohorts are sampled over the same time, so that
// influences on all relays cancel out, and the differences are evaluated by sequential tests, which may be done after each sample.
type CanaryAnalysis struct {
	gate               Gate
	minLikelihoodRatio float64
	last               map[int]Metrics // metrics of the last sample, by relay
	tests              map[string]*sequentialTest
	control, canary    cohort
	controlLatency     latencySums
	canaryLatency      latencySums
	memoryViolations   int // consecutive samples above the memory factor
	samples            int // number of samples that had relays in both cohorts
	regression         string
}

// NewCanaryAnalysis returns the analysis of one stage. stages is the number of stages of the rollout, and classes the number of
// message classes: the false positive rate of the gate is divided among all tests of all stages (Bonferroni correction).
func NewCanaryAnalysis(gate Gate, stages, classes int) *CanaryAnalysis {
	tests := max(1, stages) * (testsPerClass*max(1, classes) + 1)
	return &CanaryAnalysis{
		gate:               gate,
		minLikelihoodRatio: float64(tests) / gate.FalsePositiveRate,
		last:               map[int]Metrics{},
		tests:              map[string]*sequentialTest{},
	}
}

// AddSample adds one sample, the metrics of the relays at one time. isUpdated reports whether a relay has the new version.
func (c *CanaryAnalysis) AddSample(metrics map[int]Metrics, isUpdated func(relay int) bool) {
	c.control.startSample()
	c.canary.startSample()
	for relay, sample := range metrics {
		before, hasBefore := c.last[relay]
		c.last[relay] = sample
		group := &c.control
		if isUpdated(relay) {
			group = &c.canary
			group.crashes += sample.Crashes
		}
		group.add(sample)
		if hasBefore {
			group.addOutcomes(sample, before)
		}
	}
	if c.canary.crashes > toleratedCrashes {
		c.recordRegression(fmt.Sprintf("updated relays crashed %d times", c.canary.crashes))
	}
	if c.control.relays == 0 || c.canary.relays == 0 {
		return
	}
	c.samples++
	c.compareMemory()
	c.compareLatency()
	c.compareOutcomes()
}

// startSample resets the fields that describe the last sample; outcomes continue to accumulate.
func (g *cohort) startSample() {
	outcomes := g.outcomes
	if outcomes == nil {
		outcomes = map[string][outcomeCount]float64{}
	}
	*g = cohort{outcomes: outcomes}
}

// add adds a relay's metrics to the sample.
func (g *cohort) add(sample Metrics) {
	g.memoryMB += sample.MemoryMB
	g.pending += float64(sample.Pending)
	g.relays++
}

// addOutcomes adds the outcomes of a relay's messages between two samples. A count that has decreased comes from a new process and
// adds nothing to this sample.
func (g *cohort) addOutcomes(sample, before Metrics) {
	for class, counts := range sample.Outcomes {
		sum, countsBefore := g.outcomes[class], before.Outcomes[class]
		for outcome, count := range counts {
			increase := float64(max(0, count-countsBefore[outcome]))
			sum[outcome] += increase
			if outcome == outcomeCompleted {
				g.completed += increase
			}
		}
		g.outcomes[class] = sum
	}
}

// messages returns the number of messages of all classes and outcomes.
func (g *cohort) messages() (count float64) {
	for _, outcomes := range g.outcomes {
		count += countMessages(outcomes)
	}
	return count
}

func countMessages(outcomes [outcomeCount]float64) float64 {
	return outcomes[outcomeCompleted] + outcomes[outcomeRejected] + outcomes[outcomeFailed]
}

// compareMemory compares the mean memory of the relays of each cohort in the last sample.
func (c *CanaryAnalysis) compareMemory() {
	canary, control := c.canary.memoryMB/c.canary.relays, c.control.memoryMB/c.control.relays
	if canary <= c.gate.MemoryFactor*c.control.memoryMB/c.control.relays {
		c.memoryViolations = 0
		return
	}
	c.memoryViolations++
	if c.memoryViolations >= maxMemoryViolations {
		c.recordRegression(fmt.Sprintf("updated relays use %.0f MB of memory, the others %.0f MB", canary, control))
	}
}

// compareLatency compares latencies, which by Little's law are the pending messages divided by the completed ones. The test is on
// the difference of the logarithms, since the gate gives the increase to detect as a factor.
func (c *CanaryAnalysis) compareLatency() {
	c.controlLatency.add(&c.control)
	c.canaryLatency.add(&c.canary)
	control, canary := c.controlLatency, c.canaryLatency
	if min(canary.pending, canary.completed, control.pending, control.completed) < minMessages {
		return
	}
	difference := math.Log(canary.pending/canary.completed) - math.Log(control.pending/control.completed)
	chanceVariance := 1/canary.pending + 1/canary.completed + 1/control.pending + 1/control.completed
	c.addDifference(latencyTest, difference, chanceVariance, math.Log(c.gate.LatencyFactor))
	c.controlLatency, c.canaryLatency = latencySums{}, latencySums{}
}

func (l *latencySums) add(group *cohort) {
	l.pending += group.pending
	l.completed += group.completed
}

// compareOutcomes compares the shares of rejected and failed messages of each class, once both cohorts have enough messages.
func (c *CanaryAnalysis) compareOutcomes() {
	if c.control.messages() < minMessages || c.canary.messages() < minMessages {
		return
	}
	for class, canary := range c.canary.outcomes {
		control := c.control.outcomes[class]
		canaryTotal, controlTotal := countMessages(canary), countMessages(control)
		if canaryTotal == 0 || controlTotal == 0 {
			continue
		}
		for outcome, name := range map[int]string{outcomeRejected: "rejected", outcomeFailed: "failed"} {
			share := (canary[outcome] + control[outcome]) / (canaryTotal + controlTotal)
			difference := canary[outcome]/canaryTotal - control[outcome]/controlTotal
			chanceVariance := share * (1 - share) * (1/canaryTotal + 1/controlTotal)
			c.addDifference(class+" "+name, difference, chanceVariance, c.gate.ErrorRateIncrease)
		}
	}
	c.control, c.canary = cohort{}, cohort{}
}

// addDifference adds a sample, the value of the canary cohort minus that of the control cohort, to the named test.
func (c *CanaryAnalysis) addDifference(name string, difference, chanceVariance, effect float64) {
	test := c.tests[name]
	if test == nil {
		test = &sequentialTest{effect: effect}
		c.tests[name] = test
	}
	test.add(difference, chanceVariance)
	if test.detects(c.minLikelihoodRatio) {
		c.recordRegression(fmt.Sprintf("%s: %+.3f on updated relays, after %.0f samples", name, test.mean, test.samples))
	}
}

// recordRegression records a regression. Only the first reason is kept.
func (c *CanaryAnalysis) recordRegression(reason string) {
	if c.regression == "" {
		c.regression = reason
	}
}

// Evaluate returns the result of all samples so far. The latency test can detect a regression, but the evaluation is conclusive
// without it: if latencies are well below the sampling interval, too few messages are pending in a sample for it to conclude.
func (c *CanaryAnalysis) Evaluate() Evaluation {
	if c.regression != "" {
		return Evaluation{Regressed: true, Reason: c.regression}
	}
	if len(c.tests) == 0 || c.samples < minSamples {
		return Evaluation{Reason: fmt.Sprintf("too little traffic: %d samples of both versions, %d are needed", c.samples, minSamples)}
	}
	var inconclusive []string
	for name, test := range c.tests {
		if name != latencyTest && !test.excludes(c.gate.FalseNegativeRate) {
			inconclusive = append(inconclusive, name)
		}
	}
	if len(inconclusive) > 0 {
		slices.Sort(inconclusive)
		return Evaluation{Reason: fmt.Sprintf("too little traffic to evaluate: %v", inconclusive)}
	}
	return Evaluation{Conclusive: true}
}
