package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

const (
	// canaryMaxAge is the age up to which an endpoint that was not known before is a canary.
	canaryMaxAge = time.Minute
	// minStageDuration is the least duration of a stage.
	minStageDuration = 2 * time.Second
	// maxStageDuration ends a stage that has fewer than minStageOutcomes outcomes.
	maxStageDuration = 4500 * time.Millisecond
	// minStageOutcomes is the number of outcomes, of all relays together, that end a stage before
	// maxStageDuration.
	minStageOutcomes = 8
	// maxPromotionScore is the regression score, as a share of the one that suspends a canary, above which it
	// stays in its stage: one failure is enough where failures are rare.
	maxPromotionScore = 1.0 / 3
	// minFailureShare is the least share of failing calls that the baseline is taken to have.
	minFailureShare = 0.02
	// regressionLikelihoodRatio suspends a canary: its outcomes fit the baseline's failure share so many
	// times less well than one halfway from there to 1 (Wald's sequential probability ratio test, restarted
	// at 0 as in Page's CUSUM, since a canary may do well at first).
	regressionLikelihoodRatio = 1000.0
	// initialSuspension is the duration of a canary's first suspension. It doubles with each further one.
	initialSuspension = 15 * time.Second
	// maxSuspension bounds the duration of a suspension.
	maxSuspension = 4 * time.Minute
	// maxBaselineFailureShare is the share of failing calls to older endpoints up to which a relay's
	// observations count against canaries; above it, its own network may be the cause.
	maxBaselineFailureShare = 0.25
	// maxSuspensionDoublings bounds the shift that doubles a suspension; maxSuspension is reached long
	// before.
	maxSuspensionDoublings = 8
)

// recordOutcome updates the score of a class by an outcome, with the baseline's share of failing calls, and
// reports whether the canary is found to be worse than the baseline.
func (c *canaryState) recordOutcome(class int, failed bool, baselineShare float64) (regressed bool) {
	c.outcomes++
	usual := math.Max(minFailureShare, baselineShare)
	worse := usual + (1-usual)/2
	if !failed {
		c.scores[class] = math.Max(0, c.scores[class]+math.Log((1-worse)/(1-usual)))
		return false
	}
	c.scores[class] += math.Log(worse / usual)
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

// evaluateCanaries promotes the canaries whose stages are complete: to the next stage, and after the last one
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

// analyzeOutcome takes in what the end of a call says of a canary, or of the baseline beside one. An endpoint
// that rejects may just be at its limit. A relay whose own network may be at fault observes nothing bad.
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

// recordCanaryOutcome takes in an outcome of a canary, here or at another relay, and suspends it if it is
// found to be worse than its baseline.
func (d *Dispatcher) recordCanaryOutcome(ep *endpoint, class int, failed bool) {
	canary := ep.canary
	regressed := canary.recordOutcome(class, failed, ep.queue.baseline[class].share())
	if regressed && !canary.suspended(d.now) {
		canary.suspend(d.now)
		d.startCanaryStage(ep, 0, canary.suspendedUntil)
	}
}

// reportCanaryOutcome broadcasts an outcome of a canary. In later stages outcomes come faster, and a random
// part of them says as much, if it is the same of successes and failures.
func (d *Dispatcher) reportCanaryOutcome(ep *endpoint, class int, failed bool) {
	reportedShare := canaryStageShares[1] / canaryStageShares[ep.canary.stage]
	if !d.settings.Gossip || d.random.Float64() >= reportedShare {
		return
	}
	id := d.random.Uint64() % maxGossipNumber
	message := canaryMessage{endpoint: ep.ID, class: class, failed: failed, id: id}
	d.emit(Broadcast{Message: message.encode()})
}

// handleCanaryMessage takes in a gossip message, if it reports an outcome of a canary.
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
