// Package report writes the results of scale runs as Markdown tables and SVG plots.
package report

import (
	"cmp"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"milletsail/internal/scale"
	"milletsail/internal/scale/fit"
)

// Series holds the values of one figure over the points of a run, for one version and variant. Sizes, Values and
// AtLeast have one element for each point; AtLeast marks a value as a lower bound.
type Series struct {
	Run     *scale.Run
	Figure  string
	Unit    string
	Relay   string
	Variant string
	Sizes   []float64
	Values  []float64
	AtLeast []bool
	Fit     fit.Result
}

// SeriesOf returns the series of a run, ordered by figure as in its points, then by version and variant. Values that
// are lower bounds are left out of the fit.
func SeriesOf(run *scale.Run) (all []*Series) {
	type key struct{ figure, relay, variant string }
	found := map[key]*Series{}
	order := map[string]int{}
	for _, point := range run.Points {
		for _, figure := range point.Figures {
			k := key{figure.Name, point.Relay, point.Variant}
			if found[k] == nil {
				found[k] = &Series{Run: run, Figure: figure.Name, Unit: figure.Unit, Relay: point.Relay, Variant: point.Variant}
				all = append(all, found[k])
			}
			if _, ok := order[figure.Name]; !ok {
				order[figure.Name] = len(order)
			}
			s := found[k]
			s.Sizes, s.Values = append(s.Sizes, float64(point.X)), append(s.Values, figure.Value)
			s.AtLeast = append(s.AtLeast, figure.AtLeast)
		}
	}
	for _, s := range all {
		s.Fit = fit.Of(s.exactValues())
	}
	slices.SortStableFunc(all, func(a, b *Series) int {
		return cmp.Or(cmp.Compare(order[a.Figure], order[b.Figure]), cmp.Compare(a.Relay, b.Relay), cmp.Compare(a.Variant, b.Variant))
	})
	return all
}

// exactValues returns the values that are not lower bounds, with their sizes.
func (s *Series) exactValues() (sizes, values []float64) {
	for i, bound := range s.AtLeast {
		if !bound {
			sizes, values = append(sizes, s.Sizes[i]), append(values, s.Values[i])
		}
	}
	return sizes, values
}

// Name returns the label of the version, with the variant if there is one.
func (s *Series) Name() string {
	if s.Variant == "" {
		return s.Relay
	}
	return s.Relay + ", " + s.Variant
}

// Table writes a run as a Markdown table with a row for each figure, version and variant, with its values and its
// fit.
func Table(out io.Writer, run *scale.Run) error {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n", cmp.Or(run.Title, run.Sweep))
	fmt.Fprintf(&b, "Run of %s, %.0f s, seed %d; %d cores, %.0f MB, Linux %s, load %.1f before it; program %s.\n",
		run.Begun.UTC().Format("2006-01-02 15:04:05"), run.Seconds, run.Plan.Seed, run.Machine.Cores, run.Machine.MemoryMB, run.Machine.Kernel,
		run.Machine.Load, cmp.Or(run.Program, "unknown"))
	for _, relay := range run.Relays {
		fmt.Fprintf(&b, "Relay %s: revision %s%s, binary %.12s.\n", relay.Label, cmp.Or(relay.Revision, "unknown"),
			map[bool]string{true: ", modified"}[relay.Modified], relay.Digest)
	}
	if run.Invalid != "" {
		fmt.Fprintf(&b, "**Invalid: %s.**\n", run.Invalid)
	}
	if !run.Complete {
		b.WriteString("**Incomplete: the run has not reached the end of its plan.**\n")
	}
	points := pointsOf(run)
	fmt.Fprintf(&b, "\n| figure | unit | relay |%s fit |\n| --- | --- | --- |%s --- |\n", headerCells(run.Axis, points), strings.Repeat(" ---: |", len(points)))
	for _, s := range SeriesOf(run) {
		fmt.Fprintf(&b, "| %s | %s | %s |%s %s |\n", s.Figure, s.Unit, s.Name(), s.cells(points), s.Fit)
	}
	for _, point := range run.Points {
		if point.Failed != "" {
			s := Series{Relay: point.Relay, Variant: point.Variant}
			fmt.Fprintf(&b, "\nFailed at %d, %s: %s\n", point.X, s.Name(), point.Failed)
		}
	}
	b.WriteString("\n")
	_, err := io.WriteString(out, b.String())
	return err
}

func pointsOf(run *scale.Run) (points []int) {
	for _, point := range run.Points {
		points = append(points, point.X)
	}
	slices.Sort(points)
	return slices.Compact(points)
}

func headerCells(axis string, points []int) string {
	var b strings.Builder
	for i, point := range points {
		if i == 0 {
			fmt.Fprintf(&b, " %s: %d |", axis, point)
			continue
		}
		fmt.Fprintf(&b, " %d |", point)
	}
	return b.String()
}

func (s *Series) cells(points []int) string {
	var b strings.Builder
	for _, point := range points {
		i := slices.Index(s.Sizes, float64(point))
		switch {
		case i < 0:
			b.WriteString(" - |")
		case s.AtLeast[i]:
			fmt.Fprintf(&b, " > %.4g |", s.Values[i])
		default:
			fmt.Fprintf(&b, " %.4g |", s.Values[i])
		}
	}
	return b.String()
}

// The width and height of a plot.
const plotWidth, plotHeight = 16 * vg.Centimeter, 10 * vg.Centimeter

// Plots writes one SVG plot for each figure of a run into a directory and returns how many it wrote.
func Plots(dir string, run *scale.Run) (count int, err error) {
	byFigure := map[string][]*Series{}
	for _, s := range SeriesOf(run) {
		byFigure[s.Figure] = append(byFigure[s.Figure], s)
	}
	for figure, all := range byFigure {
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text = figure, run.Axis, all[0].Unit
		p.Add(plotter.NewGrid())
		var lines []any
		for _, s := range all {
			lines = append(lines, s.Name(), s.xys())
		}
		if err := plotutil.AddLinePoints(p, lines...); err != nil {
			return count, err
		}
		p.Legend.Top, p.Legend.Left = true, true
		p.Y.Min = min(0, p.Y.Min)
		name := fmt.Sprintf("%s-%s-%s.svg", run.Sweep, run.Begun.UTC().Format("20060102T150405"), fileName(figure))
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, name)); err != nil {
			return count, err
		}
		count++
	}
	return count, nil
}

func (s *Series) xys() plotter.XYs {
	xys := make(plotter.XYs, len(s.Sizes))
	for i := range xys {
		xys[i].X, xys[i].Y = s.Sizes[i], s.Values[i]
	}
	return xys
}

// fileName returns the lowercase name of a figure with each character other than letters and digits replaced by a
// dash.
func fileName(figure string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}, strings.ToLower(figure))
}
