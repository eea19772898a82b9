// Package campaign runs a fault-injection campaign: cases derived from one scenario, each run over several seeds and variants,
// with their figures checked against what each case expects.
//
// Read validates every scenario of a plan, so a plan that it returns can be run completely. Variants are paired by seed: all
// random draws of a run follow from the scenario and the seed. A run in which the lab was late does not count and is repeated;
// if it stays invalid, its result says so. Expectations apply to each single run, not to a mean. A Plan is read-only after
// Read; Run must not be called by several goroutines at once.
package campaign

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"

	"github.com/pelletier/go-toml/v2"
	"gonum.org/v1/gonum/stat"

	"milletsail/internal/config"
	"milletsail/internal/lab/checker"
	"milletsail/internal/lab/compare"
	"milletsail/internal/lab/report"
	"milletsail/internal/lab/scenario"
)

// Plan is a campaign.
type Plan struct {
	Title    string    `toml:"title"`
	Base     string    `toml:"base"` // name of the scenario that all cases derive from
	Seeds    int       `toml:"seeds"`
	Parallel int       `toml:"at_once"` // number of runs at the same time
	Variants []Variant `toml:"variant"`
	Cases    []Case    `toml:"case"`

	scenarios map[[2]string][]byte // scenario texts, by case and variant
}

// Variant is one of the sides that are compared. The first variant is the baseline for the others.
type Variant struct {
	Name      string         `toml:"name"`
	Overrides map[string]any `toml:"set"` // values that override the scenario's; an array replaces the whole array
}

// Case is one situation that a campaign tests.
type Case struct {
	Name      string         `toml:"name"`
	Title     string         `toml:"title"`
	Seeds     int            `toml:"seeds"`    // overrides the plan's number of seeds; 0 keeps it
	Variants  []string       `toml:"variants"` // names of the variants to run; all if empty
	Overrides map[string]any `toml:"set"`
	Expect    []Expect       `toml:"expect"`
}

// Expect bounds a figure in each run of a case.
type Expect struct {
	Figure  string   `toml:"figure"`
	Variant string   `toml:"variant"` // variant that the bound applies to; all if empty
	Min     *float64 `toml:"least"`
	Max     *float64 `toml:"most"`
}

// Figures are the figures that a campaign can report and bound, by name. A figure without data in a run is 0; the time of an
// event that never happened is +Inf.
var Figures = map[string]func(*report.Figures) float64{
	"served":     func(f *report.Figures) float64 { return f.Served },
	"late":       func(f *report.Figures) float64 { return f.Outcomes[report.Late] },
	"refused":    func(f *report.Figures) float64 { return f.Outcomes[report.Refused] + f.Outcomes[report.HandedBack] },
	"local":      func(f *report.Figures) float64 { return f.LocalShare },
	"local_part": func(f *report.Figures) float64 { return f.LocalShare / math.Max(1e-9, f.LocalPossible) },
	"p99":        func(f *report.Figures) float64 { return f.Latency["p99"] },
	"fell":       func(f *report.Figures) float64 { return float64(f.Overloaded) },
	// The following are the largest numbers of calls in a window to what came back cold, as shares of the threshold of the
	// operators' rule, in each reading of it.
	"cold_endpoint":    coldLoad(0),
	"cold_informed":    coldLoad(1),
	"cold_destination": coldLoad(2),
	"evacuations":      maxOver(zones, func(z *report.ZoneFigures) float64 { return float64(z.Evacuations) }),
	"returns":          maxOver(zones, func(z *report.ZoneFigures) float64 { return float64(z.Returns) }),
	"left":             maxOver(zones, func(z *report.ZoneFigures) float64 { return float64(z.LeftBy) }),
	// accused is the largest number of relays that evacuated one zone without a fault.
	"accused": maxOver(zones, func(z *report.ZoneFigures) float64 {
		if z.Faulted {
			return 0
		}
		return float64(z.LeftBy)
	}),
	"cut_off": maxOver(zones, func(z *report.ZoneFigures) float64 { return float64(z.Isolated) }),
	"zone_back": maxOver(zones, func(z *report.ZoneFigures) float64 {
		if !z.Faulted {
			return 0
		}
		return orInfinity(z.Recovery)
	}),
	"carried": maxOver(faults, func(x *report.FaultFigures) float64 { return x.DegradedTime }),
	"back":    maxOver(faults, func(x *report.FaultFigures) float64 { return orInfinity(x.Recovery) }),
	// exposed is the largest share of its destination's calls that a new endpoint got until it was held back, or in its first
	// 20 s. new_full is when the last new endpoint had its full traffic. new_failed is the number of calls to new endpoints
	// that got an error.
	"exposed":  maxOver(newEndpoints, func(n *report.NewEndpoint) float64 { return n.ExposedShare }),
	"new_full": maxOver(newEndpoints, func(n *report.NewEndpoint) float64 { return orInfinity(n.FullAfter) }),
	"new_failed": func(f *report.Figures) (sum float64) {
		for _, n := range f.NewEndpoints {
			sum += float64(n.FailedCalls)
		}
		return sum
	},
	"held": func(f *report.Figures) (n float64) {
		for _, x := range f.NewEndpoints {
			if x.HeldAfter != nil {
				n++
			}
		}
		return n
	},
}

func orInfinity(v *float64) float64 {
	if v == nil {
		return math.Inf(1)
	}
	return *v
}

// coldLoad returns a figure for one of checker.ColdReadings.
func coldLoad(reading int) func(*report.Figures) float64 {
	return func(f *report.Figures) (load float64) {
		for _, w := range f.Verdict.ColdWindows {
			if w.Reading == checker.ColdReadings()[reading] {
				load = w.Load()
			}
		}
		return load
	}
}

func zones(f *report.Figures) []report.ZoneFigures        { return f.Zones }
func faults(f *report.Figures) []report.FaultFigures      { return f.Faults }
func newEndpoints(f *report.Figures) []report.NewEndpoint { return f.NewEndpoints }

// maxOver returns a figure that is the maximum over a run's zones, faults or new endpoints; 0 if there are none.
func maxOver[T any](all func(*report.Figures) []T, of func(*T) float64) func(*report.Figures) float64 {
	return func(f *report.Figures) (most float64) {
		for _, x := range all(f) {
			most = math.Max(most, of(&x))
		}
		return most
	}
}

// Read parses a campaign and rejects unknown keys; name identifies the file in errors. base returns the text of a scenario by
// its name.
func Read(name string, text []byte, base func(string) ([]byte, error)) (*Plan, error) {
	p := &Plan{Seeds: 5, Parallel: 1, scenarios: map[[2]string][]byte{}}
	if err := config.Decode(name, text, p); err != nil {
		return nil, err
	}
	if len(p.Variants) == 0 {
		p.Variants = []Variant{{Name: "as it is"}}
	}
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	from, err := base(p.Base)
	if err != nil {
		return nil, fmt.Errorf("%s: base: %w", name, err)
	}
	for _, c := range p.Cases {
		for _, v := range p.Variants {
			text, err := applyOverrides(from, c.Overrides, v.Overrides)
			if err == nil {
				_, err = scenario.Parse(p.Base, text)
			}
			if err != nil {
				return nil, fmt.Errorf("%s: case %q, variant %q: %w", name, c.Name, v.Name, err)
			}
			p.scenarios[[2]string{c.Name, v.Name}] = text
		}
	}
	return p, nil
}

func (p *Plan) check() error {
	if p.Seeds < 1 || p.Parallel < 1 || len(p.Cases) == 0 {
		return errors.New("seeds and at_once must be above 0, and there must be at least one case")
	}
	variants, cases := map[string]bool{"": true}, map[string]bool{"": true}
	for _, v := range p.Variants {
		if variants[v.Name] {
			return fmt.Errorf("variant %q: name is empty or used twice", v.Name)
		}
		variants[v.Name] = true
	}
	for _, c := range p.Cases {
		if cases[c.Name] || c.Seeds < 0 {
			return fmt.Errorf("case %q: name is empty or used twice, or seeds is below 0", c.Name)
		}
		cases[c.Name] = true
		for _, v := range c.Variants {
			if !variants[v] {
				return fmt.Errorf("case %q: there is no variant %q", c.Name, v)
			}
		}
		for _, e := range c.Expect {
			switch {
			case Figures[e.Figure] == nil:
				return fmt.Errorf("case %q: unknown figure %q; known figures: %v", c.Name, e.Figure, slices.Sorted(maps.Keys(Figures)))
			case !variants[e.Variant]:
				return fmt.Errorf("case %q: there is no variant %q", c.Name, e.Variant)
			case e.Min == nil && e.Max == nil:
				return fmt.Errorf("case %q: the bound on %s needs least or most", c.Name, e.Figure)
			}
		}
	}
	return nil
}

// applyOverrides applies sets of values to the text of a scenario, in order.
func applyOverrides(base []byte, sets ...map[string]any) ([]byte, error) {
	all := map[string]any{}
	if err := toml.Unmarshal(base, &all); err != nil {
		return nil, err
	}
	for _, set := range sets {
		merge(all, set)
	}
	var out bytes.Buffer
	err := toml.NewEncoder(&out).Encode(all)
	return out.Bytes(), err
}

// merge sets values in a tree of tables; nested tables are merged, other values replaced.
func merge(into, set map[string]any) {
	for key, v := range set {
		if table, ok := v.(map[string]any); ok {
			if old, ok := into[key].(map[string]any); ok {
				merge(old, table)
				continue
			}
		}
		into[key] = v
	}
}

// Scenario returns the scenario of a case with a variant and a seed.
func (p *Plan) Scenario(c, variant string, seed uint64) (*scenario.Scenario, error) {
	text, ok := p.scenarios[[2]string{c, variant}]
	if !ok {
		return nil, fmt.Errorf("the plan has no case %q with a variant %q", c, variant)
	}
	text, err := applyOverrides(text, map[string]any{"seed": int64(seed)})
	if err != nil {
		return nil, err
	}
	return scenario.Parse(p.Base, text)
}

// RunResult is the result of a run that counts, or of one that was invalid in every attempt.
type RunResult struct {
	Case              string             `json:"case"`
	Variant           string             `json:"variant"`
	Seed              uint64             `json:"seed"`
	InvalidReason     string             `json:"void,omitempty"`
	Violations        []string           `json:"broken,omitempty"` // rule violations as text
	UnmetExpectations []string           `json:"missed,omitempty"` // expectations not met, as text
	Figures           map[string]float64 `json:"figures"`
	attempts          int
}

// maxAttempts bounds the attempts at a run that is invalid, usually since other programs used the processors.
const maxAttempts = 4

// Runner runs a scenario.
type Runner func(context.Context, *scenario.Scenario) (*report.Figures, error)

// Run runs the named cases, or all if none is named, and calls onResult after each run. It stops at the first run that returns
// an error.
func (p *Plan) Run(ctx context.Context, cases []string, run Runner, onResult func(RunResult)) ([]RunResult, error) {
	for _, name := range cases {
		if !slices.ContainsFunc(p.Cases, func(c Case) bool { return c.Name == name }) {
			return nil, fmt.Errorf("the plan has no case %q", name)
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	pending := make(chan RunResult)
	var mu sync.Mutex
	var results []RunResult
	var workers sync.WaitGroup
	for range p.Parallel {
		workers.Go(func() {
			for result := range pending {
				done, err := p.runUntilValid(ctx, result, run)
				mu.Lock()
				if err != nil {
					cancel(fmt.Errorf("case %q, variant %q, seed %d: %w", result.Case, result.Variant, result.Seed, err))
				} else {
					results = append(results, done)
					onResult(done)
				}
				mu.Unlock()
			}
		})
	}
	for _, c := range p.Cases {
		if len(cases) > 0 && !slices.Contains(cases, c.Name) {
			continue
		}
		seeds := c.Seeds
		if seeds == 0 {
			seeds = p.Seeds
		}
		for seed := range seeds {
			// The variants of a seed run close together, so that they see a similar load of the machine.
			for _, v := range p.Variants {
				if len(c.Variants) > 0 && !slices.Contains(c.Variants, v.Name) {
					continue
				}
				select {
				case pending <- RunResult{Case: c.Name, Variant: v.Name, Seed: uint64(seed + 1)}:
				case <-ctx.Done():
				}
			}
		}
	}
	close(pending)
	workers.Wait()
	return results, context.Cause(ctx)
}

// runUntilValid runs one case, variant and seed until the run is valid, at most maxAttempts times.
func (p *Plan) runUntilValid(ctx context.Context, result RunResult, run Runner) (RunResult, error) {
	for result.attempts < maxAttempts {
		result.attempts++
		s, err := p.Scenario(result.Case, result.Variant, result.Seed)
		if err != nil {
			return result, err
		}
		f, err := run(ctx, s)
		if err != nil {
			return result, err
		}
		result.InvalidReason, result.Violations, result.UnmetExpectations, result.Figures = f.Verdict.InvalidReason, nil, nil, map[string]float64{}
		for name, of := range Figures {
			if v := of(f); !math.IsInf(v, 0) { // JSON has no infinity; a figure that is absent never came about
				result.Figures[name] = v
			}
		}
		for _, x := range f.Verdict.Violations {
			result.Violations = append(result.Violations, fmt.Sprintf("%s: relay %d, message %s: %s", x.Rule, x.Relay, x.ID, x.Text))
		}
		i := slices.IndexFunc(p.Cases, func(c Case) bool { return c.Name == result.Case })
		for _, e := range p.Cases[i].Expect {
			v := Figures[e.Figure](f)
			if e.Variant != "" && e.Variant != result.Variant {
				continue
			}
			if e.Min != nil && !(v >= *e.Min) {
				result.UnmetExpectations = append(result.UnmetExpectations, fmt.Sprintf("%s is %.4g, below the minimum of %.4g", e.Figure, v, *e.Min))
			}
			if e.Max != nil && !(v <= *e.Max) {
				result.UnmetExpectations = append(result.UnmetExpectations, fmt.Sprintf("%s is %.4g, above the maximum of %.4g", e.Figure, v, *e.Max))
			}
		}
		if result.InvalidReason == "" { // an invalid run may show effects of the lab itself
			break
		}
	}
	return result, nil
}

// Row is one figure of a case for one variant: its mean, minimum and maximum over the runs. For variants other than the
// baseline it also holds the mean difference from the baseline, paired by seed, with its 95% confidence interval.
type Row struct {
	Case, Variant, Figure   string
	Runs                    int
	Mean, Low, High         float64
	Pairs                   int
	Diff, DiffLow, DiffHigh float64
}

// Table summarizes results by case, figure and variant. It leaves out invalid runs, and runs in which the figure never came
// about.
func (p *Plan) Table(results []RunResult, figures []string) (rows []Row) {
	for _, c := range p.Cases {
		by := map[string]map[uint64]RunResult{}
		for _, result := range results {
			if result.Case == c.Name && result.InvalidReason == "" {
				if by[result.Variant] == nil {
					by[result.Variant] = map[uint64]RunResult{}
				}
				by[result.Variant][result.Seed] = result
			}
		}
		for _, figure := range figures {
			for n, v := range p.Variants {
				row := Row{Case: c.Name, Variant: v.Name, Figure: figure}
				var values, diffs []float64
				for _, seed := range slices.Sorted(maps.Keys(by[v.Name])) {
					value, ok := by[v.Name][seed].Figures[figure]
					if !ok {
						continue
					}
					values = append(values, value)
					if first, ok := by[p.Variants[0].Name][seed].Figures[figure]; ok && n > 0 {
						diffs = append(diffs, value-first)
					}
				}
				if row.Runs = len(values); row.Runs == 0 {
					continue
				}
				row.Mean, row.Low, row.High = stat.Mean(values, nil), slices.Min(values), slices.Max(values)
				if row.Pairs = len(diffs); row.Pairs > 0 {
					row.Diff, row.DiffLow, row.DiffHigh = compare.Interval(diffs)
				}
				rows = append(rows, row)
			}
		}
	}
	return rows
}
