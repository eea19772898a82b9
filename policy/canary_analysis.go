package policy

import (
	"math"
	"slices"
	"time"
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

// startCanary takes in an endpoint that was not listed before, or has started anew since.
func (d *Dispatcher) startCanary(ep *endpoint, e Endpoint) {
	if d.youngEnoughForCanary(e) && e.StartedAt > ep.StartedAt && !e.Draining {
		if ep.canary == nil {
			d.canaryCount++
		}
		ep.canary = &canaryState{stageStartedAt: d.now, credit: d.random.Float64(), scores: make([]float64, len(d.settings.Classes))}
	}
}

// youngEnoughForCanary tells whether a listed endpoint may be on trial by its age.
func (d *Dispatcher) youngEnoughForCanary(e Endpoint) bool {
	return d.settings.CanaryAnalysis && e.StartedAt > 0 && d.now.Sub(e.StartedAt) < canaryMaxAge
}

// hasBaseline tells whether an endpoint is on trial: only beside an older one that serves its destination.
func (d *Dispatcher) hasBaseline(ep *endpoint) bool {
	return ep.canary != nil && slices.ContainsFunc(ep.queue.endpoints, func(o *endpoint) bool {
		return o.canary == nil && !o.outlier.ejected && !o.Draining && !d.unresponsive(o)
	})
}

// canaryWithheld tells whether an endpoint on trial gets nothing now.
func (d *Dispatcher) canaryWithheld(ep *endpoint) bool {
	return ep.canary != nil && (d.now < ep.canary.suspendedUntil || ep.canary.credit < 1) && d.hasBaseline(ep)
}

// recordCanaryOutcome takes in an outcome of an endpoint on trial, here or at another relay.
func (d *Dispatcher) recordCanaryOutcome(ep *endpoint, class int, bad bool) {
	t := ep.canary
	t.outcomes++
	usual := math.Max(minFailureShare, ep.queue.baseline[class].share())
	worse := usual + (1-usual)/2
	if !bad {
		t.scores[class] = math.Max(0, t.scores[class]+math.Log((1-worse)/(1-usual)))
		return
	}
	if t.scores[class] += math.Log(worse / usual); t.scores[class] >= math.Log(regressionLikelihoodRatio) && d.now >= t.suspendedUntil {
		t.suspendedUntil = d.now.Add(min(maxSuspension, initialSuspension<<min(t.suspensions, maxSuspensionDoublings)))
		t.suspensions++
		d.startCanaryStage(ep, 0, t.suspendedUntil)
	}
}

// evaluateCanaries moves the endpoints on trial on, with each batch.
func (d *Dispatcher) evaluateCanaries() {
	for _, ep := range d.canaries() {
		t, doubt := ep.canary, 0.0
		for _, score := range t.scores {
			doubt = math.Max(doubt, score)
		}
		age := d.now.Sub(t.stageStartedAt)
		switch {
		case doubt > maxPromotionScore*math.Log(regressionLikelihoodRatio) || age < minStageDuration || t.outcomes < minStageOutcomes && age < maxStageDuration:
		case t.stage+1 < len(canaryStageShares):
			d.startCanaryStage(ep, t.stage+1, d.now)
		default:
			ep.canary = nil
			d.canaryCount--
			d.emit(CanaryStageChanged{Endpoint: ep.ID})
		}
	}
}

// analyzeOutcome draws from a call's end what it says of a newcomer, or of what is usual beside one. An
// endpoint that refuses may just be at its limit. A relay whose own network is bad speaks against nobody.
func (d *Dispatcher) analyzeOutcome(ep *endpoint, m *message, e AttemptEnded, late bool) {
	if !d.settings.CanaryAnalysis || e.Outcome == Rejected || e.Outcome == NotSent || e.Outcome == Canceled && !late {
		return
	}
	q, bad := ep.queue, e.Outcome != OK || late
	if ep.canary == nil {
		q.baseline[m.Class].add(bad)
	} else if !bad || q.baseline[m.Class].share() < maxBaselineFailureShare {
		d.recordCanaryOutcome(ep, m.Class, bad)
		// Later outcomes come faster: a part of them says as much, if it is the same of good and bad ones.
		if d.settings.Gossip && d.random.Float64() < canaryStageShares[1]/canaryStageShares[ep.canary.stage] {
			d.emit(Broadcast{Message: canaryMessage{ep.ID, m.Class, bad, d.random.Uint64() % maxGossipNumber}.encode()})
		}
	}
}
