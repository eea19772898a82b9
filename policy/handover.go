package policy

import (
	"cmp"
	"slices"

	"milletsail/internal/instant"
)

// This file holds what goes from one process of a relay to the next.

// resume puts a message that an earlier process admitted back into its queue, with the attempts made for it; one
// with an attempt still out comes back to its queue by that attempt's end.
func (d *Dispatcher) resume(m *message) {
	for _, t := range m.Tried {
		ep := d.lookUp(t.Endpoint, true)
		if ep == nil {
			// Its zone is not known any more: no other is known to share its memory.
			ep = &endpoint{Endpoint: Endpoint{ID: t.Endpoint, Destination: m.Destination, Zone: -1, Gone: true},
				q: d.dest(m.Destination).queues[0], strikes: make([]float64, len(d.s.Classes))}
		}
		c := &call{ep: ep, sent: t.Sent}
		if t.Out {
			c = d.rejoin(ep, t)
			c.open++
			c.size += m.Size
			c.msgs = append(c.msgs, m)
			m.open++
		}
		m.attempts = append(m.attempts, attempt{call: c, sent: t.Sent, unrun: t.Unrun, open: t.Out})
		if !t.Unrun {
			m.rest = max(m.rest, d.now.Add(d.s.OrderPause))
		}
	}
	switch {
	case m.Over:
		d.finish(m)
	case m.open == 0:
		d.hold(d.route(m), m)
	}
}

// rejoin gives the call of an attempt that an earlier process still has out: it holds a slot here as well.
func (d *Dispatcher) rejoin(ep *endpoint, t Tried) *call {
	for _, c := range ep.q.out {
		if c.no == t.Call {
			return c
		}
	}
	c := &call{ep: ep, no: t.Call, sent: t.Sent}
	d.turn = max(d.turn, t.Call)
	d.out++
	d.wake(ep.q)
	older := func(a, b *call) int { return cmp.Compare(a.sent, b.sent) }
	ep.q.out, ep.out = append(ep.q.out, c), append(ep.out, c)
	slices.SortStableFunc(ep.q.out, older)
	slices.SortStableFunc(ep.out, older)
	return c
}

// Learned is what this dispatcher has learned, for the process that takes over from it.
func (d *Dispatcher) Learned() (all []Learned) {
	for _, q := range d.queues {
		l := Learned{Wait: q.waitUntil, Hold: q.holdUntil, Outcomes: q.n, Mean: q.mean, Class: slices.Clone(q.class), Width: q.width,
			Pace: q.pace, Tokens: q.tokens, TokensAt: q.tokensAt, Fulls: q.fulls, FirstFull: q.firstFull, LastOK: q.lastOK,
			Arrivals: Counted{q.arrivals.n, q.arrivals.at, q.arrivals.since}, Misses: Counted{q.misses.n, q.misses.at, q.misses.since}}
		for _, ep := range q.eps {
			l.Endpoints = append(l.Endpoints, LearnedEndpoint{ID: ep.ID, Sick: ep.sick, Ramping: ep.ramping, SickAt: ep.sickAt,
				Recovered: ep.recovered, LastOK: ep.lastOK, Failures: ep.failures, ConnCap: ep.connCap, Tokens: ep.tokens, TokensAt: ep.tokensAt})
		}
		if len(l.Endpoints) > 0 {
			all = append(all, l)
		}
	}
	return all
}

// Translate gives what was learned with its moments as another clock has them; the zero Time stays.
func (l Learned) Translate(to func(instant.Time) instant.Time) Learned {
	l.Wait, l.Hold, l.TokensAt, l.FirstFull, l.LastOK = to(l.Wait), to(l.Hold), to(l.TokensAt), to(l.FirstFull), to(l.LastOK)
	l.Arrivals.At, l.Arrivals.Since = to(l.Arrivals.At), to(l.Arrivals.Since)
	l.Misses.At, l.Misses.Since = to(l.Misses.At), to(l.Misses.Since)
	l.Endpoints = slices.Clone(l.Endpoints)
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		e.SickAt, e.Recovered, e.LastOK, e.TokensAt = to(e.SickAt), to(e.Recovered), to(e.LastOK), to(e.TokensAt)
	}
	return l
}

// inherit takes in what the process before has learned of a queue, but for endpoints that are no longer listed.
func (d *Dispatcher) inherit(l Learned) {
	var q *queue
	for _, e := range l.Endpoints {
		ep := d.lookUp(e.ID, true)
		if ep == nil {
			continue
		}
		q = ep.q
		d.setSick(ep, e.Sick)
		ep.ramping, ep.sickAt, ep.recovered, ep.lastOK = e.Ramping, e.SickAt, e.Recovered, e.LastOK
		ep.failures, ep.connCap, ep.bucket = e.Failures, e.ConnCap, bucket{e.Tokens, e.TokensAt}
		q.ill = q.ill || e.Sick
	}
	if q == nil {
		return
	}
	q.waitUntil, q.holdUntil, q.width, q.fulls, q.firstFull, q.lastOK = l.Wait, l.Hold, l.Width, l.Fulls, l.FirstFull, l.LastOK
	q.pace, q.bucket = l.Pace, bucket{l.Tokens, l.TokensAt}
	q.arrivals, q.misses = aged{l.Arrivals.N, l.Arrivals.At, l.Arrivals.Since}, aged{l.Misses.N, l.Misses.At, l.Misses.Since}
	if len(l.Class) == len(q.class) {
		q.latencies = latencies{n: l.Outcomes, mean: l.Mean, class: slices.Clone(l.Class)}
		if pool := d.pool(q.kind); pool.n < l.Outcomes { // what others of the kind borrow
			*pool = latencies{n: l.Outcomes, mean: l.Mean, class: slices.Clone(l.Class)}
		}
	}
}

// recall takes over an endpoint's outage or ramp from an earlier process, so that a restart in the middle of
// either does not send to a cold destination as to a warm one.
func (d *Dispatcher) recall(e Recalled) {
	ramping := d.now.Sub(e.At) < d.s.RampTime
	ep := d.lookUp(e.Endpoint, e.Sick || ramping)
	switch {
	case ep == nil:
	case e.Sick:
		d.sicken(ep)
	case ramping:
		ep.ramping, ep.recovered = true, e.At
	}
}
