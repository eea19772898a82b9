package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

const (
	// canaryMaxAge is the age, since its process started, up to which a newly listed or restarted endpoint
	// becomes a canary.
	canaryMaxAge = time.Minute
	// minStageDuration is the shortest duration of a stage.
	minStageDuration = 2 * time.Second
	// maxStageDuration is the time after which a stage may end with fewer than minStageOutcomes outcomes.
	maxStageDuration = 4500 * time.Millisecond
	// minStageOutcomes is the number of outcomes, over all relays, with which a stage may end before
	// maxStageDuration.
	minStageOutcomes = 8
	// maxPromotionScore is the regression score above which a canary stays in its stage, as a share of the
	// score that suspends it. Where failures are rare, a single failure exceeds it.
	maxPromotionScore = 1.0 / 3
	// minFailureShare is the smallest failure share that is assumed for the baseline.
	minFailureShare = 0.02
	// regressionLikelihoodRatio is the likelihood ratio at which a canary is suspended: its outcomes are this
	// many times more likely under a failure share halfway between the baseline's and 1 than under the
	// baseline's. The test is Wald's sequential probability ratio test with the score floored at 0, as in
	// Page's CUSUM, since a canary may do well at first.
	regressionLikelihoodRatio = 1000.0
	// initialSuspension is the duration of a canary's first suspension. It doubles with each further one.
	initialSuspension = 15 * time.Second
	// maxSuspension bounds the duration of a suspension.
	maxSuspension = 4 * time.Minute
	// maxBaselineFailureShare is the failure share of the baseline above which failures of a canary are
	// ignored at this relay, since its own network may be the cause.
	maxBaselineFailureShare = 0.25
	// maxSuspensionDoublings bounds the shift that doubles a suspension, so that it cannot overflow.
	// maxSuspension is reached with fewer doublings.
	maxSuspensionDoublings = 8
)

// recordOutcome updates the regression score of a class with an outcome, given the baseline's failure share,
// and reports whether the score reaches the suspension threshold.
func (c *canaryState) recordOutcome(class int, failed bool, baselineShare float64) (regressed bool) {
	c.outcomes++
	baselineRate := math.Max(minFailureShare, baselineShare)
	regressedRate := baselineRate + (1-baselineRate)/2
	if !failed {
		c.scores[class] = math.Max(0, c.scores[class]+math.Log((1-regressedRate)/(1-baselineRate)))
		return false
	}
	c.scores[class] += math.Log(regressedRate / baselineRate)
	return c.scores[class] >= math.Log(regressionLikelihoodRatio)
}

// stageComplete reports whether the canary may go on to the next stage.
func (c *canaryState) stageComplete(now instant.Time) bool {
	age := now.Sub(c.stageStartedAt)
	if c.maxScore() > maxPromotionScore*math.Log(regressionLikelihoodRatio) || age < minStageDuration {
		return false
	}
	return c.outcomes >= minStageOutcomes || age >= maxStageDuration
}

// evaluateCanaries promotes each canary whose stage is complete: to the next stage, or after the last stage
// to an ordinary endpoint.
func (d *Dispatcher) evaluateCanaries() {
	for _, ep := range d.canaries() {
		canary := ep.canary
		switch {
		case !canary.stageComplete(d.now):
		case canary.stage+1 < len(canaryStageShares):
			d.startCanaryStage(ep, canary.stage+1, d.now)
		default:
			ep.canary = nil
			d.canaryCount--
			d.emit(CanaryStageChanged{Endpoint: ep.ID})
		}
	}
}

// analyzeOutcome updates the canary analysis with the end of a call, either for the canary itself or for the
// baseline of its queue. Rejections are ignored, since the endpoint may only be at its limit, and so are
// calls that were not sent and canceled ones that were not late. A call is late if it took longer than
// stalledFactor times the usual latency; it counts as a failure even if it succeeded. Failures of a canary
// are ignored while the baseline fails at this relay too (maxBaselineFailureShare).
func (d *Dispatcher) analyzeOutcome(ep *endpoint, m *message, ended AttemptEnded, late bool) {
	if !d.settings.CanaryAnalysis || ended.Outcome == Rejected || ended.Outcome == NotSent {
		return
	}
	if ended.Outcome == Canceled && !late {
		return
	}
	failed := ended.Outcome != OK || late
	baseline := &ep.queue.baseline[m.Class]
	if ep.canary == nil {
		baseline.add(failed)
		return
	}
	if failed && baseline.share() >= maxBaselineFailureShare {
		return
	}
	d.recordCanaryOutcome(ep, m.Class, failed)
	d.reportCanaryOutcome(ep, m.Class, failed)
}

// recordCanaryOutcome counts an outcome of a canary, observed here or at another relay, and suspends the
// canary if the regression score reaches the threshold.
func (d *Dispatcher) recordCanaryOutcome(ep *endpoint, class int, failed bool) {
	canary := ep.canary
	regressed := canary.recordOutcome(class, failed, ep.queue.baseline[class].share())
	if regressed && !canary.suspended(d.now) {
		canary.suspend(d.now)
		d.startCanaryStage(ep, 0, canary.suspendedUntil)
	}
}

// reportCanaryOutcome broadcasts an outcome of a canary if gossip is on. In stages with larger shares there
// are more outcomes, so only a random part is broadcast. That part is the same for successes and failures,
// so that the failure share is not biased.
func (d *Dispatcher) reportCanaryOutcome(ep *endpoint, class int, failed bool) {
	reportedShare := canaryStageShares[1] / canaryStageShares[ep.canary.stage]
	if !d.settings.Gossip || d.random.Float64() >= reportedShare {
		return
	}
	id := d.random.Uint64() % maxGossipNumber
	message := canaryMessage{endpoint: ep.ID, class: class, failed: failed, id: id}
	d.emit(Broadcast{Message: message.encode()})
}

// handleCanaryMessage counts the canary outcome that a gossip message reports. Messages of other types,
// malformed ones and reports on endpoints that are no canaries here are ignored.
func (d *Dispatcher) handleCanaryMessage(message []byte) {
	report, ok := decodeCanaryMessage(message)
	ep := d.endpoints[report.endpoint]
	if !ok || ep == nil || ep.canary == nil || report.class >= len(d.settings.Classes) {
		return
	}
	if ep.canary.addReport(report.id) {
		d.recordCanaryOutcome(ep, report.class, report.failed)
	}
}
