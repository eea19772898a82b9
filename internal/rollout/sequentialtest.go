package rollout

import "math"

const (
	// minSamples is the minimum number of samples for a result: a variance that is estimated from fewer is too inaccurate.
	minSamples = 6
	// minVariance is the minimum variance of a sample; it keeps the likelihood ratio finite if all samples are equal.
	minVariance = 1e-9
	// varianceInflation corrects a variance that is estimated from few samples: the variance is increased by this fraction, divided
	// by the number of samples.
	varianceInflation = 4
)

// sequentialTest is a mixture sequential probability ratio test of whether a difference has a mean above 0 (Robbins,
// "Statistical methods related to the law of the iterated logarithm", 1970; Johari and others, "Always valid inference", 2017).
// It may be evaluated after each sample without exceeding the stated rate of false positives.
type sequentialTest struct {
	samples           float64 // number of samples
	mean              float64 // mean difference of the samples
	squaredDeviations float64 // sum of squared deviations from the mean (Welford)
	chanceVariance    float64 // mean over the samples of the variance that is due to chance in the counts
	effect            float64 // size of the difference to detect
}

// add adds a sample: a difference, and its variance due to chance, which is computed from the counts of messages behind it.
func (t *sequentialTest) add(difference, chanceVariance float64) {
	t.samples++
	deviation := difference - t.mean
	t.mean += deviation / t.samples
	t.squaredDeviations += deviation * (difference - t.mean)
	t.chanceVariance += (chanceVariance - t.chanceVariance) / t.samples
}

// variance returns the estimated variance of one sample. It is never below the variance due to chance: few samples may agree by
// accident, so that the estimate is too low.
func (t *sequentialTest) variance() float64 {
	variance := t.chanceVariance
	if t.samples > 1 {
		variance = math.Max(variance, t.squaredDeviations/(t.samples-1))
	}
	return math.Max(minVariance, variance*(1+varianceInflation/t.samples))
}

// likelihoodRatio returns the likelihood of the samples under a normal distribution of differences, whose standard deviation is
// the effect, divided by their likelihood under no difference.
func (t *sequentialTest) likelihoodRatio() float64 {
	variance, prior := t.variance(), t.effect*t.effect
	return math.Sqrt(variance/(variance+t.samples*prior)) *
		math.Exp(t.samples*t.samples*prior*t.mean*t.mean/(2*variance*(variance+t.samples*prior)))
}

// detects reports whether the samples show a mean above 0. The probability of a false positive, over all samples, is at most
// 1/minLikelihoodRatio.
func (t *sequentialTest) detects(minLikelihoodRatio float64) bool {
	return t.samples >= minSamples && t.mean > 0 && t.likelihoodRatio() >= minLikelihoodRatio
}

// excludes reports whether the samples exclude a difference of the size of the effect: the upper confidence bound of the mean, at
// level 1-falseNegativeRate, is below the effect.
func (t *sequentialTest) excludes(falseNegativeRate float64) bool {
	quantile := math.Sqrt2 * math.Erfinv(1-2*falseNegativeRate)
	return t.samples >= minSamples && t.mean+quantile*math.Sqrt(t.variance()/t.samples) < t.effect
}
