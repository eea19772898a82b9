package policy

import (
	"math"
	"slices"
	"time"
)

// This file decides by how endpoints that are new on the list do (docs/rollout.md), where Settings.Newcomers
// is on: they begin with a small share of their destination's calls over the whole fleet, get more by
// evidence, and nothing for a while where they do worse than the destination's older ones.

const (
	// newFor is the age up to which an endpoint that was not known before is new.
	newFor = time.Minute
	// A stage lasts stageLeast, and until stageSeen outcomes, of all relays together, or stageMost without
	// them; and while its outcomes speak by more than stays of what would hold it for its being worse: one
	// failure does where failures are rare.
	stageLeast, stageMost, stageSeen, stays = 2 * time.Second, 4500 * time.Millisecond, 8, 1.0 / 3
	// A newcomer is worse in a class if its outcomes fit the failing share of the older ones, leastFailing at
	// least, worseTimes less well than one that lies halfway from there to 1 (Wald's likelihood ratio, begun
	// anew at 0, as in Page's cumulative sum: it may do well at first).
	leastFailing, worseTimes = 0.02, 1000.0
	// It then gets nothing for holdFor, twice as long after each further time, up to holdMost, and begins
	// anew.
	holdFor, holdMost = 15 * time.Second, 4 * time.Minute
	// ownFailing of its calls to older endpoints a relay may see fail and still speak against newcomers.
	ownFailing = 0.25
)

// stageShares of a destination's calls go to its newcomers, over all relays, until they are through, but to
// none more than to the others.
var stageShares = [...]float64{0.02, 0.06, 0.2, 0.5}

// arrives takes in an endpoint that was not listed before, or has started anew since.
func (d *Dispatcher) arrives(ep *endpoint, e Endpoint) {
	if d.isNew(e) && e.StartedAt > ep.StartedAt && !e.Draining {
		if ep.trial == nil {
			d.onTrial++
		}
		ep.trial = &trial{since: d.now, credit: d.chance.Float64(), score: make([]float64, len(d.s.Classes))}
	}
}

// isNew tells whether a listed endpoint may be on trial by its age.
func (d *Dispatcher) isNew(e Endpoint) bool {
	return d.s.CanaryAnalysis && e.StartedAt > 0 && d.now.Sub(e.StartedAt) < newFor
}

// proves tells whether an endpoint is on trial: only beside an older one that serves its destination.
func (d *Dispatcher) proves(ep *endpoint) bool {
	return ep.trial != nil && slices.ContainsFunc(ep.q.eps, func(o *endpoint) bool {
		return o.trial == nil && !o.sick && !o.Draining && !d.silent(o)
	})
}

// waits tells whether an endpoint on trial gets nothing now.
func (d *Dispatcher) waits(ep *endpoint) bool {
	return ep.trial != nil && (d.now < ep.trial.held || ep.trial.credit < 1) && d.proves(ep)
}

// compare takes in an outcome of an endpoint on trial, here or at another relay.
func (d *Dispatcher) compare(ep *endpoint, class int, bad bool) {
	t := ep.trial
	t.seen++
	usual := math.Max(leastFailing, ep.q.failing[class].share())
	worse := usual + (1-usual)/2
	if !bad {
		t.score[class] = math.Max(0, t.score[class]+math.Log((1-worse)/(1-usual)))
		return
	}
	if t.score[class] += math.Log(worse / usual); t.score[class] >= math.Log(worseTimes) && d.now >= t.held {
		t.held = d.now.Add(min(holdMost, holdFor<<min(t.holds, 8)))
		t.holds++
		d.stage(ep, 0, t.held)
	}
}

// prove moves the endpoints on trial on, with each batch.
func (d *Dispatcher) prove() {
	for _, ep := range d.trials() {
		t, doubt := ep.trial, 0.0
		for _, score := range t.score {
			doubt = math.Max(doubt, score)
		}
		age := d.now.Sub(t.since)
		switch {
		case doubt > stays*math.Log(worseTimes) || age < stageLeast || t.seen < stageSeen && age < stageMost:
		case t.stage+1 < len(stageShares):
			d.stage(ep, t.stage+1, d.now)
		default:
			ep.trial = nil
			d.onTrial--
			d.act(CanaryStageChanged{Endpoint: ep.ID})
		}
	}
}

// judged draws from a call's end what it says of a newcomer, or of what is usual beside one. An endpoint that
// refuses may just be at its limit. A relay whose own network is bad speaks against nobody.
func (d *Dispatcher) judged(ep *endpoint, m *message, e AttemptEnded, late bool) {
	if !d.s.CanaryAnalysis || e.Outcome == Rejected || e.Outcome == NotSent || e.Outcome == Canceled && !late {
		return
	}
	q, bad := ep.q, e.Outcome != OK || late
	if ep.trial == nil {
		q.failing[m.Class].add(bad)
	} else if !bad || q.failing[m.Class].share() < ownFailing {
		d.compare(ep, m.Class, bad)
		// Later outcomes come faster: a part of them says as much, if it is the same of good and bad ones.
		if d.s.Gossip && d.chance.Float64() < stageShares[1]/stageShares[ep.trial.stage] {
			d.act(Broadcast{Message: trialNote{ep.ID, m.Class, bad, d.chance.Uint64() % maxNumber}.note()})
		}
	}
}
