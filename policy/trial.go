package policy

import (
	"math"

	"milletsail/internal/instant"
)

// This file holds the state of endpoints on trial; newcomers.go decides on it.

// trial is how an endpoint that is new on the list fares.
type trial struct {
	stage  int          // of stageShares
	since  instant.Time // of the stage, or the end of the time in which it gets nothing
	held   instant.Time // until when it gets nothing
	holds  int
	seen   int             // outcomes in the stage, of all relays
	credit float64         // calls that it may get now
	score  []float64       // by class: how much its outcomes speak for its being worse
	heard  map[uint64]bool // numbers of notes in this stage
}

// failing counts outcomes and those that are bad; older ones fade.
type failing struct{ bad, all float64 }

// fade is what is left of the counts with each outcome: about the last fifty count.
const fade = 0.98

func (f *failing) add(bad bool) { f.bad, f.all = fade*f.bad+truth(bad), fade*f.all+1 }

// share is the share that is bad, with one outcome more as a beginning, and a standard error more: few calls tell little.
func (f *failing) share() float64 {
	share := (f.bad + leastFailing) / (f.all + 1)
	return math.Min(1-leastFailing, share+math.Sqrt(share*(1-share)/(f.all+1)))
}

// maxHeard bounds the notes of a stage that are told from copies of themselves.
const maxHeard = 256

// stage begins a stage.
func (d *Dispatcher) stage(ep *endpoint, no int, at instant.Time) {
	t := ep.trial
	t.stage, t.since, t.seen, t.credit, t.heard = no, at, 0, d.chance.Float64(), nil
	clear(t.score)
	d.act(CanaryStageChanged{Endpoint: ep.ID, Share: stageShares[no], SuspendedUntil: t.held})
}

// trials lists the endpoints on trial, in the order of the queues.
func (d *Dispatcher) trials() (all []*endpoint) {
	if d.onTrial == 0 {
		return nil
	}
	for _, q := range d.queues {
		for _, ep := range q.eps {
			if ep.trial != nil {
				all = append(all, ep)
			}
		}
	}
	return all
}

// Canaries lists the endpoints on trial.
func (d *Dispatcher) Canaries() (all []Canary) {
	for _, ep := range d.trials() {
		t := ep.trial
		n := Canary{Endpoint: ep.ID, Destination: ep.Destination, Stage: t.stage, Share: stageShares[t.stage], StageStartedAt: t.since,
			SuspendedUntil: t.held, Suspensions: t.holds, HasBaseline: d.proves(ep)}
		for _, score := range t.score {
			n.RegressionScore = math.Max(n.RegressionScore, score/math.Log(worseTimes))
		}
		all = append(all, n)
	}
	return all
}

// credit gives the newcomers of a queue their parts of a call, which went to one of its endpoints.
func (d *Dispatcher) credit(q *queue, to *endpoint) {
	trials := 0.0
	for _, ep := range q.eps {
		trials += truth(ep.trial != nil && d.now >= ep.trial.held)
	}
	for _, ep := range q.eps {
		if t := ep.trial; t != nil && d.now >= t.held {
			t.credit = math.Min(2, t.credit+math.Min(stageShares[t.stage]/trials, 1/float64(len(q.eps))))
		}
	}
	if to.trial != nil {
		to.trial.credit = math.Max(0, to.trial.credit-1)
	}
}

// witness takes in what another relay tells of an endpoint on trial.
func (d *Dispatcher) witness(note []byte) {
	n, ok := readTrial(note)
	ep := d.endpoints[n.endpoint]
	if !ok || ep == nil || ep.trial == nil || n.class >= len(d.s.Classes) || len(ep.trial.heard) >= maxHeard || ep.trial.heard[n.no] {
		return
	}
	if ep.trial.heard == nil {
		ep.trial.heard = map[uint64]bool{}
	}
	ep.trial.heard[n.no] = true
	d.compare(ep, n.class, n.bad)
}
