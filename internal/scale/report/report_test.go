package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"milletsail/internal/scale"
)

// A table has a row with the fit for each figure and version, marks lower bounds and leaves them out of the fit, and
// lists failed points; each figure has a plot.
func TestReport(t *testing.T) {
	run := &scale.Run{Title: "x", Sweep: scale.SweepDestinations, Axis: "entries", Complete: true, Relays: []scale.Binary{{Label: "new"}, {Label: "old"}}}
	for i, x := range []int{1000, 2000, 3000, 4000} {
		run.Points = append(run.Points,
			scale.Point{Relay: "new", X: x, Figures: []scale.Figure{{Name: "bytes", Unit: "B", Value: 100}, {Name: "times", Unit: "s", Value: 5, AtLeast: i > 0}}},
			scale.Point{Relay: "old", X: x, Figures: []scale.Figure{{Name: "bytes", Unit: "B", Value: float64(3 * x)}}})
	}
	run.Points = append(run.Points, scale.Point{Relay: "old", X: 5000, Failed: "list too long"})
	var b strings.Builder
	if err := Table(&b, run); err != nil {
		t.Fatal(err)
	}
	text := b.String()
	for _, want := range []string{
		"| bytes | B | new | 100 | 100 | 100 | 100 | - | constant",
		"| bytes | B | old | 3000 | 6000 | 9000 | 1.2e+04 | - | linear, slope 3 (3 to 3)",
		"| times | s | new | 5 | > 5 | > 5 | > 5 | - | too few points |",
		"Failed at 5000, old: list too long",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the table does not contain %q:\n%s", want, text)
		}
	}
	dir := t.TempDir()
	count, err := Plots(dir, run)
	files, _ := filepath.Glob(filepath.Join(dir, "*.svg"))
	if err != nil || count != 2 || len(files) != 2 {
		t.Fatalf("Plots reported %d plots and wrote %d files (error %v), want 2 of each", count, len(files), err)
	}
	if text, err := os.ReadFile(files[0]); err != nil || !strings.Contains(string(text), "<svg") {
		t.Errorf("plot %s is not an SVG file (error %v)", files[0], err)
	}
}
