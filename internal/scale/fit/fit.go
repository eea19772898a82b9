// Package fit finds how a figure grows with a size, and says how far that can be trusted: a line with the interval of its
// slope, a power law, no growth, or no fit at all.
package fit

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Form is how a figure grows.
type Form string

// The forms.
const (
	Constant Form = "constant"  // the slope may be zero, and the values differ by little
	Linear   Form = "linear"    // a line
	Power    Form = "power law" // a line in the logarithms
	None     Form = "no fit"    // nothing of these: not to be used
	TooFew   Form = "too few points"
)

const (
	// minPoints that a slope with an interval needs.
	minPoints = 3
	// A line with an R² of conclusiveR2 is taken for one; below it, the better of line and power law.
	conclusiveR2 = 0.99
	// minR2 of a fit that may be used, and the largest residual of one, as a share of the span of the values.
	minR2, mostResidual = 0.95, 0.2
	// constantSpan is the span of values that count as constant, as a share of their mean.
	constantSpan = 0.25
	// confidence of the slope's interval.
	confidence = 0.95
)

// Result is a fit. Slope, interval and residual are those of the line, whatever the form.
type Result struct {
	Form      Form    `json:"form"`
	Points    int     `json:"points"`
	Slope     float64 `json:"slope"` // of the value a unit of the size
	Low       float64 `json:"low"`   // of the interval of 95%
	High      float64 `json:"high"`
	Intercept float64 `json:"intercept"`
	R2        float64 `json:"r2"`
	Residual  float64 `json:"residual"` // the largest, in the unit of the value
	Exponent  float64 `json:"exponent"` // of the power law; 0 where a value is not above zero
	LogR2     float64 `json:"log_r2"`   // of the line in the logarithms
}

// Usable tells whether a fit may be used.
func (r Result) Usable() bool { return r.Form != None && r.Form != TooFew }

// Of fits values to sizes, which have to be as many and not all the same.
func Of(sizes, values []float64) Result {
	r := Result{Points: len(sizes), Form: TooFew}
	if len(sizes) < minPoints {
		return r
	}
	r.Intercept, r.Slope = stat.LinearRegression(sizes, values, nil, false)
	r.R2 = stat.RSquared(sizes, values, nil, r.Intercept, r.Slope)
	if math.IsNaN(r.R2) { // all values are the same
		r.R2 = 1
	}
	var squares float64
	for i := range sizes {
		residual := values[i] - r.Intercept - r.Slope*sizes[i]
		squares += residual * residual
		r.Residual = math.Max(r.Residual, math.Abs(residual))
	}
	freedom := float64(len(sizes) - 2)
	_, variance := stat.MeanVariance(sizes, nil)
	deviation := math.Sqrt(squares / freedom / (variance * float64(len(sizes)-1)))
	margin := distuv.StudentsT{Sigma: 1, Nu: freedom}.Quantile((1+confidence)/2) * deviation
	r.Low, r.High = r.Slope-margin, r.Slope+margin
	r.Exponent, r.LogR2 = power(sizes, values)
	r.Form = r.form(values)
	return r
}

// power fits a line to the logarithms; zeros where a value has none.
func power(sizes, values []float64) (exponent, r2 float64) {
	var x, y []float64
	for i := range sizes {
		if !(sizes[i] > 0 && values[i] > 0) {
			return 0, 0
		}
		x, y = append(x, math.Log(sizes[i])), append(y, math.Log(values[i]))
	}
	intercept, exponent := stat.LinearRegression(x, y, nil, false)
	if r2 = stat.RSquared(x, y, nil, intercept, exponent); math.IsNaN(r2) {
		r2 = 1
	}
	return exponent, r2
}

// form names the form of a fit.
func (r Result) form(values []float64) Form {
	low, high := math.Inf(1), math.Inf(-1)
	for _, v := range values {
		low, high = math.Min(low, v), math.Max(high, v)
	}
	span := high - low
	switch {
	case span <= constantSpan*math.Abs(stat.Mean(values, nil)):
		return Constant
	case r.Low <= 0 && r.High >= 0 && r.LogR2 < minR2: // nor is a slope that may be zero
		return None
	case r.R2 >= conclusiveR2 && r.Residual <= mostResidual*span:
		return Linear
	case r.LogR2 >= minR2 && r.LogR2 > r.R2:
		return Power
	case r.R2 >= minR2 && r.Residual <= mostResidual*span:
		return Linear
	}
	return None
}

// String states a fit in short.
func (r Result) String() string {
	switch r.Form {
	case TooFew:
		return string(r.Form)
	case Constant:
		return fmt.Sprintf("constant (slope %.3g, %.3g to %.3g)", r.Slope, r.Low, r.High)
	case Linear:
		return fmt.Sprintf("linear, slope %.3g (%.3g to %.3g), R² %.3f, residual %.3g", r.Slope, r.Low, r.High, r.R2, r.Residual)
	case Power:
		return fmt.Sprintf("power law, exponent %.2f, R² of the logarithms %.3f (line: R² %.3f)", r.Exponent, r.LogR2, r.R2)
	}
	return fmt.Sprintf("no fit: R² %.3f, residual %.3g; R² of the logarithms %.3f", r.R2, r.Residual, r.LogR2)
}
