// Package compare runs two sides on the same seeds and computes paired differences. The side that runs first alternates with
// the seed, so that neither side gains from changes of the machine's load over time.
package compare

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"milletsail/internal/lab/report"
)

// Side is one of the two sides of a comparison.
type Side struct {
	Name string
	Run  func(seed uint64) (*report.Figures, error)
}

// Row is one figure: the means of both sides, and the mean difference B−A with its 95% confidence interval.
type Row struct {
	Name                  string
	A, B, Diff, Low, High float64
}

// Result is the result of a comparison.
type Result struct {
	Rows         []Row
	Pairs        int
	InvalidPairs int    // pairs left out because one of their runs was invalid
	Violations   [2]int // number of rule violations, by side
}

// comparedFigures are the figures that a comparison reports.
var comparedFigures = []struct {
	name string
	of   func(*report.Figures) float64
}{
	{"worth served", func(f *report.Figures) float64 { return f.Served }},
	{"refused", func(f *report.Figures) float64 { return f.Outcomes[report.Refused] + f.Outcomes[report.HandedBack] }},
	{"delivered p50 s", func(f *report.Figures) float64 { return f.Latency["p50"] }},
	{"delivered p99 s", func(f *report.Figures) float64 { return f.Latency["p99"] }},
	{"attempts a message", func(f *report.Figures) float64 { return f.Attempts }},
	{"calls turned away", func(f *report.Figures) float64 { return f.RejectedShare }},
	{"connections a message", func(f *report.Figures) float64 { return f.Connections }},
	{"CPU s a relay", func(f *report.Figures) float64 { return f.CPU.Mean }},
	{"MB a relay", func(f *report.Figures) float64 { return f.MemoryMB.Mean }},
}

// Pairs runs both sides on the seeds 1 to seeds and calls onRun after each run.
func Pairs(sides [2]Side, seeds int, onRun func(seed uint64, side int, f *report.Figures)) (*Result, error) {
	r := &Result{}
	var pairs [][2]*report.Figures
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		var pair [2]*report.Figures
		for _, side := range [][]int{{0, 1}, {1, 0}}[seed%2] {
			f, err := sides[side].Run(seed)
			if err != nil {
				return nil, err
			}
			onRun(seed, side, f)
			r.Violations[side] += len(f.Verdict.Violations)
			pair[side] = f
		}
		if pair[0].Verdict.InvalidReason != "" || pair[1].Verdict.InvalidReason != "" {
			r.InvalidPairs++
			continue
		}
		pairs = append(pairs, pair)
	}
	r.Pairs = len(pairs)
	for _, fig := range comparedFigures {
		row := Row{Name: fig.name}
		var diffs []float64
		for _, pair := range pairs {
			a, b := fig.of(pair[0]), fig.of(pair[1])
			row.A += a / float64(len(pairs))
			row.B += b / float64(len(pairs))
			diffs = append(diffs, b-a)
		}
		row.Diff, row.Low, row.High = Interval(diffs)
		r.Rows = append(r.Rows, row)
	}
	return r, nil
}

// Interval returns the mean of paired differences with its 95% confidence interval by Student's t. With fewer than two
// differences the interval is unbounded.
func Interval(diffs []float64) (mean, low, high float64) {
	n := float64(len(diffs))
	if n < 2 {
		if n == 1 {
			mean = diffs[0]
		}
		return mean, math.Inf(-1), math.Inf(1)
	}
	mean, deviation := stat.MeanStdDev(diffs, nil)
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * stat.StdErr(deviation, n)
	return mean, mean - half, mean + half
}
