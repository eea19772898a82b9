package rollout

import "math"

const (
	// minSamples is the number of samples below which an estimated variance means little.
	minSamples = 6
	// minVariance keeps the likelihood ratio finite when all samples are equal.
	minVariance = 1e-9
	// varianceInflation inflates a variance that was estimated from few samples, by this over their number.
	varianceInflation = 4
)

// sequentialTest is a mixture sequential probability ratio test of whether a difference has a mean above 0 (Robbins,
// "Statistical methods related to the law of the iterated logarithm", 1970; Johari and others, "Always valid inference", 2017).
// It may be evaluated after each sample without more false positives than stated.
type sequentialTest struct {
	samples        float64
	mean           float64
	squares        float64 // sum of squared deviations (Welford)
	chanceVariance float64 // mean variance that the counts alone explain
	effect         float64 // the size of difference that is to be detected
}

// add adds a sample: a difference, and the variance that the counts behind it explain.
func (t *sequentialTest) add(difference, chanceVariance float64) {
	t.samples++
	deviation := difference - t.mean
	t.mean += deviation / t.samples
	t.squares += deviation * (difference - t.mean)
	t.chanceVariance += (chanceVariance - t.chanceVariance) / t.samples
}

// variance returns the variance of one sample, at least what the counts explain: few samples may agree by chance.
func (t *sequentialTest) variance() float64 {
	variance := t.chanceVariance
	if t.samples > 1 {
		variance = math.Max(variance, t.squares/(t.samples-1))
	}
	return math.Max(minVariance, variance*(1+varianceInflation/t.samples))
}

// likelihoodRatio returns the likelihood of the samples over a mixture of differences about the effect, against none.
func (t *sequentialTest) likelihoodRatio() float64 {
	variance, prior := t.variance(), t.effect*t.effect
	return math.Sqrt(variance/(variance+t.samples*prior)) *
		math.Exp(t.samples*t.samples*prior*t.mean*t.mean/(2*variance*(variance+t.samples*prior)))
}

// detects reports whether the mean is above 0. The probability of a false positive, over all samples, is at most the inverse of
// minLikelihoodRatio.
func (t *sequentialTest) detects(minLikelihoodRatio float64) bool {
	return t.samples >= minSamples && t.mean > 0 && t.likelihoodRatio() >= minLikelihoodRatio
}

// excludes reports whether a difference of the size of the effect would have been detected: the upper bound of the mean is below
// it, with a probability of a false negative of at most falseNegativeRate.
func (t *sequentialTest) excludes(falseNegativeRate float64) bool {
	quantile := math.Sqrt2 * math.Erfinv(1-2*falseNegativeRate)
	return t.samples >= minSamples && t.mean+quantile*math.Sqrt(t.variance()/t.samples) < t.effect
}
