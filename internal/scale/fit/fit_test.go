package fit

import (
	"math"
	"testing"
)

func series(sizes []float64, of func(float64) float64) (values []float64) {
	for _, size := range sizes {
		values = append(values, of(size))
	}
	return values
}

// Each form is recognized with its slope or exponent; noise, an insignificant slope and too few points are not
// usable.
func TestForms(t *testing.T) {
	sizes := []float64{1000, 10_000, 50_000, 120_000, 490_000}
	line := Of(sizes, series(sizes, func(x float64) float64 { return 3 + 2*x }))
	if line.Form != Linear || math.Abs(line.Slope-2) > 1e-9 || line.Low > 2 || line.High < 2 || line.R2 < 0.999 {
		t.Errorf("fit of values on a line with slope 2 is %+v", line)
	}
	if flat := Of(sizes, series(sizes, func(float64) float64 { return 7 })); flat.Form != Constant || flat.Slope != 0 {
		t.Errorf("fit of equal values is %+v, want a constant with slope 0", flat)
	}
	square := Of(sizes, series(sizes, func(x float64) float64 { return x * x / 1e6 }))
	if square.Form != Power || math.Abs(square.Exponent-2) > 1e-6 {
		t.Errorf("fit of squares is %+v, want a power law with exponent 2", square)
	}
	if noise := Of(sizes, []float64{5, 900, 3, 700, 10}); noise.Usable() {
		t.Errorf("fit of noise is %+v, want none that is usable", noise)
	}
	if wide := Of([]float64{1, 20, 100}, []float64{0, 15, 40}); wide.Usable() {
		t.Errorf("fit with a slope that may be zero is %+v, want none that is usable", wide)
	}
	if few := Of(sizes[:2], []float64{1, 2}); few.Usable() {
		t.Errorf("fit of two points is %+v, want none that is usable", few)
	}
}

// The confidence interval of a slope contains the true slope and widens in proportion to the noise.
func TestInterval(t *testing.T) {
	sizes := []float64{1, 2, 3, 4, 5, 6}
	noise := []float64{0.1, -0.2, 0.1, 0.15, -0.1, -0.05}
	with := func(factor float64) Result {
		values := series(sizes, func(x float64) float64 { return 10 * x })
		for i := range values {
			values[i] += factor * noise[i]
		}
		return Of(sizes, values)
	}
	small, large := with(1), with(10)
	for _, r := range []Result{small, large} {
		if r.Low > 10 || r.High < 10 {
			t.Errorf("the interval of the slope is %v to %v, want one that contains 10", r.Low, r.High)
		}
	}
	if large.High-large.Low < 9*(small.High-small.Low) {
		t.Errorf("fits with noise and with ten times the noise are %v and %v, want an interval ten times as wide", small, large)
	}
}
