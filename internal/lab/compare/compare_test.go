package compare

import (
	"math"
	"testing"

	"milletsail/internal/lab/checker"
	"milletsail/internal/lab/report"
)

// Checks the interval against a textbook value: mean 2, four differences, t quantile 3.182.
func TestInterval(t *testing.T) {
	mean, low, high := Interval([]float64{1, 2, 2, 3})
	half := 3.18245 * math.Sqrt(2.0/3) / 2
	if math.Abs(mean-2) > 1e-9 || math.Abs(high-2-half) > 1e-3 || math.Abs(2-low-half) > 1e-3 {
		t.Errorf("got mean %v, interval %v to %v; want mean 2 and half-width %v", mean, low, high, half)
	}
	if _, low, high := Interval([]float64{1}); !math.IsInf(low, -1) || !math.IsInf(high, 1) {
		t.Errorf("interval of one difference: got %v to %v, want it unbounded", low, high)
	}
}

// Both sides must run on the same seeds, the side that runs first must alternate, and an invalid run must take its pair out.
func TestPairs(t *testing.T) {
	var order []int
	side := func(of int, served float64) Side {
		return Side{Run: func(seed uint64) (*report.Figures, error) {
			f := &report.Figures{Seed: seed, Served: served + float64(seed)/100}
			if of == 1 && seed == 3 {
				f.Verdict.InvalidReason = "late"
			}
			if of == 0 && seed == 1 {
				f.Verdict.Violations = make([]checker.Violation, 2)
			}
			return f, nil
		}}
	}
	r, err := Pairs([2]Side{side(0, 0.5), side(1, 0.6)}, 4, func(_ uint64, of int, _ *report.Figures) { order = append(order, of) })
	if err != nil {
		t.Fatal(err)
	}
	if row := r.Rows[0]; r.Pairs != 3 || r.InvalidPairs != 1 || r.Violations != [2]int{2, 0} || math.Abs(row.Diff-0.1) > 1e-9 {
		t.Errorf("got %+v; want 3 pairs, 1 invalid pair, 2 violations of side 0, and a difference of 0.1", r)
	}
	if order[0] == order[2] || order[0] == order[1] {
		t.Errorf("the first side does not alternate: sides ran in the order %v", order)
	}
}
