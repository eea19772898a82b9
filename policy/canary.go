package policy

import (
	"math"

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

// canaryStageShares of a destination's calls go to its newcomers, over all relays, until they are through,
// but to none more than to the others.
var canaryStageShares = [...]float64{0.02, 0.06, 0.2, 0.5}

// canaryState is how an endpoint that is new on the list fares.
type canaryState struct {
	stage          int          // of stageShares
	stageStartedAt instant.Time // of the stage, or the end of the time in which it gets nothing
	suspendedUntil instant.Time // until when it gets nothing
	suspensions    int
	outcomes       int             // outcomes in the stage, of all relays
	credit         float64         // calls that it may get now
	scores         []float64       // by class: how much its outcomes speak for its being worse
	reportIDs      map[uint64]bool // numbers of notes in this stage
}

// failureRate counts outcomes and those that are bad; older ones fade.
type failureRate struct{ failed, total float64 }

func (f *failureRate) add(bad bool) {
	f.failed, f.total = failureRateDecay*f.failed+indicator(bad), failureRateDecay*f.total+1
}

// share is the share that is bad, with one outcome more as a beginning, and a standard error more: few calls
// tell little.
func (f *failureRate) share() float64 {
	share := (f.failed + minFailureShare) / (f.total + 1)
	return math.Min(1-minFailureShare, share+math.Sqrt(share*(1-share)/(f.total+1)))
}

// startCanaryStage begins a stage.
func (d *Dispatcher) startCanaryStage(ep *endpoint, no int, at instant.Time) {
	t := ep.canary
	t.stage, t.stageStartedAt, t.outcomes, t.credit, t.reportIDs = no, at, 0, d.random.Float64(), nil
	clear(t.scores)
	d.emit(CanaryStageChanged{Endpoint: ep.ID, Share: canaryStageShares[no], SuspendedUntil: t.suspendedUntil})
}

// canaries lists the endpoints on trial, in the order of the queues.
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

// Canaries lists the endpoints on trial.
func (d *Dispatcher) Canaries() (all []Canary) {
	for _, ep := range d.canaries() {
		t := ep.canary
		n := Canary{Endpoint: ep.ID, Destination: ep.Destination, Stage: t.stage, Share: canaryStageShares[t.stage], StageStartedAt: t.stageStartedAt,
			SuspendedUntil: t.suspendedUntil, Suspensions: t.suspensions, HasBaseline: d.hasBaseline(ep)}
		for _, score := range t.scores {
			n.RegressionScore = math.Max(n.RegressionScore, score/math.Log(regressionLikelihoodRatio))
		}
		all = append(all, n)
	}
	return all
}

// addCanaryCredit gives the newcomers of a queue their parts of a call, which went to one of its endpoints.
func (d *Dispatcher) addCanaryCredit(q *queue, to *endpoint) {
	trials := 0.0
	for _, ep := range q.endpoints {
		trials += indicator(ep.canary != nil && d.now >= ep.canary.suspendedUntil)
	}
	for _, ep := range q.endpoints {
		if t := ep.canary; t != nil && d.now >= t.suspendedUntil {
			t.credit = math.Min(maxCanaryCredit, t.credit+math.Min(canaryStageShares[t.stage]/trials, 1/float64(len(q.endpoints))))
		}
	}
	if to.canary != nil {
		to.canary.credit = math.Max(0, to.canary.credit-1)
	}
}

// handleCanaryMessage takes in what another relay tells of an endpoint on trial.
func (d *Dispatcher) handleCanaryMessage(note []byte) {
	n, ok := decodeCanaryMessage(note)
	ep := d.endpoints[n.endpoint]
	if !ok || ep == nil || ep.canary == nil || n.class >= len(d.settings.Classes) || len(ep.canary.reportIDs) >= maxReportsPerStage || ep.canary.reportIDs[n.number] {
		return
	}
	if ep.canary.reportIDs == nil {
		ep.canary.reportIDs = map[uint64]bool{}
	}
	ep.canary.reportIDs[n.number] = true
	d.recordCanaryOutcome(ep, n.class, n.failed)
}
