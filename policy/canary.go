package policy

import (
	"math"
	"slices"

	"milletsail/internal/instant"
)

const (
	// failureRateDecay is what each outcome leaves of the earlier ones: about the last fifty count.
	failureRateDecay = 0.98
	// maxReportsPerStage bounds the gossip messages of a stage that are told from copies of themselves.
	maxReportsPerStage = 256
	// maxCanaryCredit is the number of calls that a canary may save up.
	maxCanaryCredit = 2
)

// canaryStageShares are the shares of a destination's calls that its canaries get together, over all relays,
// in each stage; none gets more than an endpoint that is no canary.
var canaryStageShares = [...]float64{0.02, 0.06, 0.2, 0.5}

// canaryState is the state of an endpoint on trial. It belongs to one endpoint and is not safe for concurrent
// use.
type canaryState struct {
	stage          int          // of canaryStageShares
	stageStartedAt instant.Time // may lie ahead, at the end of a suspension
	suspendedUntil instant.Time // until when it gets nothing
	suspensions    int
	outcomes       int             // in this stage, of all relays
	credit         float64         // calls that it may get now
	scores         []float64       // by class: the log-likelihood ratio of a regression
	reportIDs      map[uint64]bool // of the gossip messages in this stage
}

// suspended reports whether the canary gets nothing now.
func (c *canaryState) suspended(now instant.Time) bool { return now < c.suspendedUntil }

// startStage starts a stage at a moment, with part of a call as credit.
func (c *canaryState) startStage(stage int, at instant.Time, credit float64) {
	c.stage, c.stageStartedAt, c.outcomes, c.credit, c.reportIDs = stage, at, 0, credit, nil
	clear(c.scores)
}

// suspend starts the next suspension.
func (c *canaryState) suspend(now instant.Time) {
	duration := min(maxSuspension, initialSuspension<<min(c.suspensions, maxSuspensionDoublings))
	c.suspendedUntil = now.Add(duration)
	c.suspensions++
}

// maxScore is the highest score of a class.
func (c *canaryState) maxScore() float64 {
	highest := 0.0
	for _, score := range c.scores {
		highest = math.Max(highest, score)
	}
	return highest
}

// addReport notes the gossip message with a random ID, and reports whether it is to be counted: not if it is
// a copy.
func (c *canaryState) addReport(id uint64) bool {
	if len(c.reportIDs) >= maxReportsPerStage || c.reportIDs[id] {
		return false
	}
	if c.reportIDs == nil {
		c.reportIDs = map[uint64]bool{}
	}
	c.reportIDs[id] = true
	return true
}

// failureRate estimates a share of failing calls; each outcome decays the earlier ones.
type failureRate struct{ failed, total float64 }

// add counts an outcome.
func (f *failureRate) add(failed bool) {
	f.failed, f.total = failureRateDecay*f.failed, failureRateDecay*f.total+1
	if failed {
		f.failed++
	}
}

// share is the failing share, with a prior of one outcome, and a standard error more, as few calls tell
// little.
func (f *failureRate) share() float64 {
	share := (f.failed + minFailureShare) / (f.total + 1)
	return math.Min(1-minFailureShare, share+math.Sqrt(share*(1-share)/(f.total+1)))
}

// Canaries returns the endpoints on trial.
func (d *Dispatcher) Canaries() (all []Canary) {
	for _, ep := range d.canaries() {
		canary := ep.canary
		all = append(all, Canary{
			Endpoint:        ep.ID,
			Destination:     ep.Destination,
			Stage:           canary.stage,
			Share:           canaryStageShares[canary.stage],
			StageStartedAt:  canary.stageStartedAt,
			SuspendedUntil:  canary.suspendedUntil,
			Suspensions:     canary.suspensions,
			RegressionScore: canary.maxScore() / math.Log(regressionLikelihoodRatio),
			HasBaseline:     ep.hasBaseline(d.now),
		})
	}
	return all
}

// canaries returns the endpoints on trial, in the order of the queues.
func (d *Dispatcher) canaries() (all []*endpoint) {
	if d.canaryCount == 0 {
		return nil
	}
	for _, q := range d.queues {
		for _, ep := range q.endpoints {
			if ep.canary != nil {
				all = append(all, ep)
			}
		}
	}
	return all
}

// startCanary puts an endpoint on trial that was not listed before, or has restarted since.
func (d *Dispatcher) startCanary(ep *endpoint, listed Endpoint) {
	if !d.youngEnoughForCanary(listed) || listed.StartedAt <= ep.StartedAt || listed.Draining {
		return
	}
	if ep.canary == nil {
		d.canaryCount++
	}
	ep.canary = &canaryState{
		stageStartedAt: d.now,
		credit:         d.random.Float64(),
		scores:         make([]float64, len(d.settings.Classes)),
	}
}

// startCanaryStage starts a stage of a canary at a moment.
func (d *Dispatcher) startCanaryStage(ep *endpoint, stage int, at instant.Time) {
	ep.canary.startStage(stage, at, d.random.Float64())
	d.emit(CanaryStageChanged{
		Endpoint:       ep.ID,
		Share:          canaryStageShares[stage],
		SuspendedUntil: ep.canary.suspendedUntil,
	})
}

// youngEnoughForCanary reports whether a listed endpoint may be on trial by its age.
func (d *Dispatcher) youngEnoughForCanary(listed Endpoint) bool {
	return d.settings.CanaryAnalysis && listed.StartedAt > 0 && d.now.Sub(listed.StartedAt) < canaryMaxAge
}

// hasBaseline reports whether an endpoint on trial has a baseline: a healthy endpoint of its queue that is no
// canary. Without one it serves as any other.
func (ep *endpoint) hasBaseline(now instant.Time) bool {
	return ep.canary != nil && slices.ContainsFunc(ep.queue.endpoints, func(other *endpoint) bool {
		return other.canary == nil && !other.outlier.ejected && !other.Draining && !other.unresponsive(now)
	})
}

// canaryWithheld reports whether an endpoint on trial gets no call now.
func (ep *endpoint) canaryWithheld(now instant.Time) bool {
	return ep.canary != nil && (ep.canary.suspended(now) || ep.canary.credit < 1) && ep.hasBaseline(now)
}

// addCanaryCredit gives the canaries of a queue their shares of a call, which one of its endpoints gets.
func (d *Dispatcher) addCanaryCredit(q *queue, to *endpoint) {
	eligible := 0.0
	for _, ep := range q.endpoints {
		if ep.canary != nil && !ep.canary.suspended(d.now) {
			eligible++
		}
	}
	for _, ep := range q.endpoints {
		if canary := ep.canary; canary != nil && !canary.suspended(d.now) {
			share := math.Min(canaryStageShares[canary.stage]/eligible, 1/float64(len(q.endpoints)))
			canary.credit = math.Min(maxCanaryCredit, canary.credit+share)
		}
	}
	if to.canary != nil {
		to.canary.credit = math.Max(0, to.canary.credit-1)
	}
}
