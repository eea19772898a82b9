package policy

import "milletsail/internal/instant"

// This file holds the timer.

// arm asks for a timer when something is next due by time alone.
func (d *Dispatcher) arm() {
	next := never
	soon := func(t instant.Time) { next = min(next, max(t, d.now.Add(d.s.BatchInterval))) }
	soon(d.resub)
	for _, m := range d.live {
		if m.q != nil {
			soon(d.lastChance(m))
			soon(d.forgotten(m))
		}
	}
	for _, q := range d.active {
		for _, c := range q.out {
			for _, factor := range []float64{stuckAfter, silentAfter, silentAfter * finalFactor} {
				if at := d.lateAt(c, factor); at > d.now && !c.canceled {
					soon(at)
				}
			}
		}
		if len(q.held) == 0 {
			continue
		}
		at := max(d.pausedTo(q), d.now)
		if q.pace > 0 && d.tokens(q) < 1 && !d.tries(q) {
			at = max(at, d.now.Add(wait(1-q.tokens, q.pace)))
		}
		if d.fenced(q) && len(q.eps) > 0 {
			at = max(at, d.tryAt(q.eps[0]))
		}
		if at > d.now {
			soon(at)
		}
		for _, ep := range q.eps {
			if ep.lack.until > d.now {
				soon(max(at, ep.lack.until))
			}
			if (ep.sick || ep.ramping) && d.epTokens(ep) < 1 {
				soon(max(at, d.now.Add(wait(1-ep.tokens, d.budget(ep, d.coldFor(ep))))))
			}
			if turn := d.tryAt(ep); ep.sick && turn > d.now {
				soon(max(at, turn))
			}
		}
	}
	for _, m := range d.resting {
		soon(m.rest)
	}
	// A clock with coarser steps than ours may wake us a little before the time: that timer is used up.
	if next < never && (d.wakeAt < d.now.Add(d.s.BatchInterval) || next < d.wakeAt) {
		d.wakeAt = next
		d.act(SetTimer{After: next.Sub(d.now)})
	}
}
