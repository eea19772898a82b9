package policy

import (
	"math"
	"slices"

	"milletsail/internal/instant"
)

const (
	// failureRateDecay is the factor by which each outcome reduces the weight of the earlier ones, so that
	// about the last fifty outcomes count.
	failureRateDecay = 0.98
	// maxReportsPerStage bounds the report IDs that are kept per stage to recognize duplicate gossip
	// messages. Further reports of the stage are not counted.
	maxReportsPerStage = 256
	// maxCanaryCredit is the largest number of calls that a canary can accumulate as credit.
	maxCanaryCredit = 2
)

// canaryStageShares holds, for each stage, the share of a destination's calls that its canaries receive
// together, over all relays. In a queue with n endpoints, a canary never gets more than 1/n of the calls.
var canaryStageShares = [...]float64{0.02, 0.06, 0.2, 0.5}

// canaryState is the state of a canary. It belongs to one endpoint and is not safe for concurrent use.
type canaryState struct {
	stage          int             // index into canaryStageShares
	stageStartedAt instant.Time    // start of the stage; in the future while the canary is suspended
	suspendedUntil instant.Time    // end of the last suspension
	suspensions    int             // number of suspensions so far
	outcomes       int             // outcomes in this stage: those here, and those that other relays reported
	credit         float64         // calls that the canary may receive now
	scores         []float64       // log-likelihood ratio of a regression, by class
	reportIDs      map[uint64]bool // IDs of the reports from other relays in this stage
}

// suspended reports whether the canary is suspended. It then receives no calls, unless it has no baseline
// (hasBaseline).
func (c *canaryState) suspended(now instant.Time) bool { return now < c.suspendedUntil }

// startStage starts a stage at the given time, with the given initial credit.
func (c *canaryState) startStage(stage int, at instant.Time, credit float64) {
	c.stage, c.stageStartedAt, c.outcomes, c.credit, c.reportIDs = stage, at, 0, credit, nil
	clear(c.scores)
}

// suspend starts a suspension: initialSuspension for the first one, and twice as long for each further one,
// up to maxSuspension.
func (c *canaryState) suspend(now instant.Time) {
	duration := min(maxSuspension, initialSuspension<<min(c.suspensions, maxSuspensionDoublings))
	c.suspendedUntil = now.Add(duration)
	c.suspensions++
}

// maxScore returns the highest regression score of all classes.
func (c *canaryState) maxScore() float64 {
	highest := 0.0
	for _, score := range c.scores {
		highest = math.Max(highest, score)
	}
	return highest
}

// addReport records the ID of another relay's report and returns whether the report counts. It does not if
// it is a duplicate, or if maxReportsPerStage reports have counted in this stage.
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

// failureRate estimates the share of failing calls from exponentially decaying counts.
type failureRate struct{ failed, total float64 }

// add counts one outcome.
func (f *failureRate) add(failed bool) {
	f.failed, f.total = failureRateDecay*f.failed, failureRateDecay*f.total+1
	if failed {
		f.failed++
	}
}

// share returns an upper estimate of the failing share: the mean with a prior of one outcome, plus one
// standard error, since a few calls say little.
func (f *failureRate) share() float64 {
	share := (f.failed + minFailureShare) / (f.total + 1)
	return math.Min(1-minFailureShare, share+math.Sqrt(share*(1-share)/(f.total+1)))
}

// Canaries returns the status of all canaries.
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

// canaries returns the endpoints that are canaries, in the order of the queues.
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

// startCanary makes an endpoint a canary if it has started recently (youngEnoughForCanary), is newly listed
// or has restarted since the last listing, and does not drain.
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

// startCanaryStage starts a stage of a canary at the given time and reports the change.
func (d *Dispatcher) startCanaryStage(ep *endpoint, stage int, at instant.Time) {
	ep.canary.startStage(stage, at, d.random.Float64())
	d.emit(CanaryStageChanged{
		Endpoint:       ep.ID,
		Share:          canaryStageShares[stage],
		SuspendedUntil: ep.canary.suspendedUntil,
	})
}

// youngEnoughForCanary reports whether canary analysis is on and the listed endpoint started less than
// canaryMaxAge ago.
func (d *Dispatcher) youngEnoughForCanary(listed Endpoint) bool {
	return d.settings.CanaryAnalysis && listed.StartedAt > 0 && d.now.Sub(listed.StartedAt) < canaryMaxAge
}

// hasBaseline reports whether an endpoint is a canary and has a baseline: a healthy endpoint of its queue
// that is not a canary. A canary without a baseline receives calls like any other endpoint.
func (ep *endpoint) hasBaseline(now instant.Time) bool {
	return ep.canary != nil && slices.ContainsFunc(ep.queue.endpoints, func(other *endpoint) bool {
		return other.canary == nil && !other.outlier.ejected && !other.Draining && !other.unresponsive(now)
	})
}

// canaryWithheld reports whether a canary must not receive a call now, because it is suspended or has less
// credit than one call. A canary without a baseline is never withheld.
func (ep *endpoint) canaryWithheld(now instant.Time) bool {
	return ep.canary != nil && (ep.canary.suspended(now) || ep.canary.credit < 1) && ep.hasBaseline(now)
}

// addCanaryCredit counts a call of a queue: each canary that is not suspended gets its share of a call as
// credit, and if the endpoint that receives the call is a canary, its credit falls by one call.
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
