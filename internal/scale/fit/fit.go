// Package fit determines how a figure grows with a size, as a line with the confidence interval of its slope, a power
// law or a constant, and reports if none of these fits.
package fit

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Form is the kind of growth of a figure.
type Form string

// The forms of growth, and the outcomes without one.
const (
	Constant Form = "constant"  // the values differ by little
	Linear   Form = "linear"    // a line
	Power    Form = "power law" // linear in the logarithms of sizes and values
	None     Form = "no fit"    // none of the above; the result must not be used
	TooFew   Form = "too few points"
)

const (
	// minPoints is the least number of points from which a slope with a confidence interval is computed.
	minPoints = 3
	// conclusiveR2 is the R² from which a line is accepted without regard to the power law. Below it, the form with
	// the higher R² is chosen.
	conclusiveR2 = 0.99
	// minR2 is the least R² of a usable fit; mostResidual is the largest residual of a usable line, as a share of the
	// range of values.
	minR2, mostResidual = 0.95, 0.2
	// constantSpan is the largest range of values that count as constant, as a share of their mean.
	constantSpan = 0.25
	// confidence is the confidence level of the slope's interval.
	confidence = 0.95
)

// Result is the fit of a figure. Slope, Low, High, Intercept, R2 and Residual describe the fitted line, whatever the
// form.
type Result struct {
	Form      Form    `json:"form"`
	Points    int     `json:"points"`
	Slope     float64 `json:"slope"` // change of the value per unit of the size
	Low       float64 `json:"low"`   // lower end of the slope's 95% confidence interval
	High      float64 `json:"high"`
	Intercept float64 `json:"intercept"`
	R2        float64 `json:"r2"`
	Residual  float64 `json:"residual"` // largest absolute residual, in the unit of the values
	Exponent  float64 `json:"exponent"` // exponent of the power law; 0 unless all sizes and values are positive
	LogR2     float64 `json:"log_r2"`   // R² of the line fitted to the logarithms; 0 unless all sizes and values are positive
}

// Usable reports whether one of the forms fits.
func (r Result) Usable() bool { return r.Form != None && r.Form != TooFew }

// Of fits values as a function of sizes. Both must have the same length, and the sizes must not all be equal.
func Of(sizes, values []float64) Result {
	r := Result{Points: len(sizes), Form: TooFew}
	if len(sizes) < minPoints {
		return r
	}
	r.Intercept, r.Slope = stat.LinearRegression(sizes, values, nil, false)
	r.R2 = stat.RSquared(sizes, values, nil, r.Intercept, r.Slope)
	if math.IsNaN(r.R2) { // R² is undefined if all values are equal
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

// power fits a power law as a line through the logarithms; it returns zeros unless all sizes and values are positive.
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

// form chooses the form that describes the values.
func (r Result) form(values []float64) Form {
	low, high := math.Inf(1), math.Inf(-1)
	for _, v := range values {
		low, high = math.Min(low, v), math.Max(high, v)
	}
	span := high - low
	switch {
	case span <= constantSpan*math.Abs(stat.Mean(values, nil)):
		return Constant
	case r.Low <= 0 && r.High >= 0 && r.LogR2 < minR2: // the slope may be zero, and no power law fits
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

// String returns a short description of the fit for tables.
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
