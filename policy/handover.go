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
	for _, t := range m.PriorAttempts {
		ep := d.lookUp(t.Endpoint, true)
		if ep == nil {
			// Its zone is not known any more: no other is known to share its memory.
			ep = &endpoint{Endpoint: Endpoint{ID: t.Endpoint, Destination: m.Destination, Zone: -1, Removed: true},
				q: d.dest(m.Destination).queues[0], strikes: make([]float64, len(d.s.Classes))}
		}
		c := &call{ep: ep, sent: t.SentAt}
		if t.InFlight {
			c = d.rejoin(ep, t)
			c.open++
			c.size += m.Size
			c.msgs = append(c.msgs, m)
			m.open++
		}
		m.attempts = append(m.attempts, attempt{call: c, sent: t.SentAt, unrun: t.NotExecuted, open: t.InFlight})
		if !t.NotExecuted {
			m.rest = max(m.rest, d.now.Add(d.s.OrderedKeyDelay))
		}
	}
	switch {
	case m.Completed:
		d.finish(m)
	case m.open == 0:
		d.hold(d.route(m), m)
	}
}

// rejoin gives the call of an attempt that an earlier process still has out: it holds a slot here as well.
func (d *Dispatcher) rejoin(ep *endpoint, t PriorAttempt) *call {
	for _, c := range ep.q.out {
		if c.no == t.Call {
			return c
		}
	}
	c := &call{ep: ep, no: t.Call, sent: t.SentAt}
	d.turn = max(d.turn, t.Call)
	d.out++
	d.wake(ep.q)
	older := func(a, b *call) int { return cmp.Compare(a.sent, b.sent) }
	ep.q.out, ep.out = append(ep.q.out, c), append(ep.out, c)
	slices.SortStableFunc(ep.q.out, older)
	slices.SortStableFunc(ep.out, older)
	return c
}

// ExportState is what this dispatcher has learned, for the process that takes over from it.
func (d *Dispatcher) ExportState() (all []StateInherited) {
	for _, q := range d.queues {
		l := StateInherited{RetryAfterUntil: q.waitUntil, BackoffUntil: q.holdUntil, Outcomes: q.n, MeanLatency: q.mean, ClassLatency: slices.Clone(q.class), Concurrency: q.width,
			SendRate: q.pace, Tokens: q.tokens, TokensAt: q.tokensAt, ConsecutiveRejections: q.fulls, FirstRejectionAt: q.firstFull, LastSuccessAt: q.lastOK,
			Arrivals: DecayingCount{q.arrivals.n, q.arrivals.at, q.arrivals.since}, Misses: DecayingCount{q.misses.n, q.misses.at, q.misses.since}}
		for _, ep := range q.eps {
			l.Endpoints = append(l.Endpoints, InheritedEndpoint{ID: ep.ID, Ejected: ep.sick, SlowStarting: ep.ramping, EjectedAt: ep.sickAt,
				RecoveredAt: ep.recovered, LastSuccessAt: ep.lastOK, ConsecutiveFailures: ep.failures, ConnectionLimit: ep.connCap, Tokens: ep.tokens, TokensAt: ep.tokensAt})
		}
		if len(l.Endpoints) > 0 {
			all = append(all, l)
		}
	}
	return all
}

// Translate gives what was learned with its moments as another clock has them; the zero Time stays.
func (l StateInherited) Translate(to func(instant.Time) instant.Time) StateInherited {
	l.RetryAfterUntil, l.BackoffUntil, l.TokensAt, l.FirstRejectionAt, l.LastSuccessAt = to(l.RetryAfterUntil), to(l.BackoffUntil), to(l.TokensAt), to(l.FirstRejectionAt), to(l.LastSuccessAt)
	l.Arrivals.UpdatedAt, l.Arrivals.StartedAt = to(l.Arrivals.UpdatedAt), to(l.Arrivals.StartedAt)
	l.Misses.UpdatedAt, l.Misses.StartedAt = to(l.Misses.UpdatedAt), to(l.Misses.StartedAt)
	l.Endpoints = slices.Clone(l.Endpoints)
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		e.EjectedAt, e.RecoveredAt, e.LastSuccessAt, e.TokensAt = to(e.EjectedAt), to(e.RecoveredAt), to(e.LastSuccessAt), to(e.TokensAt)
	}
	return l
}

// inherit takes in what the process before has learned of a queue, but for endpoints that are no longer listed.
func (d *Dispatcher) inherit(l StateInherited) {
	var q *queue
	for _, e := range l.Endpoints {
		ep := d.lookUp(e.ID, true)
		if ep == nil {
			continue
		}
		q = ep.q
		d.setSick(ep, e.Ejected)
		ep.ramping, ep.sickAt, ep.recovered, ep.lastOK = e.SlowStarting, e.EjectedAt, e.RecoveredAt, e.LastSuccessAt
		ep.failures, ep.connCap, ep.bucket = e.ConsecutiveFailures, e.ConnectionLimit, bucket{e.Tokens, e.TokensAt}
		q.ill = q.ill || e.Ejected
	}
	if q == nil {
		return
	}
	q.waitUntil, q.holdUntil, q.width, q.fulls, q.firstFull, q.lastOK = l.RetryAfterUntil, l.BackoffUntil, l.Concurrency, l.ConsecutiveRejections, l.FirstRejectionAt, l.LastSuccessAt
	q.pace, q.bucket = l.SendRate, bucket{l.Tokens, l.TokensAt}
	q.arrivals, q.misses = aged{l.Arrivals.Count, l.Arrivals.UpdatedAt, l.Arrivals.StartedAt}, aged{l.Misses.Count, l.Misses.UpdatedAt, l.Misses.StartedAt}
	if len(l.ClassLatency) == len(q.class) {
		q.latencies = latencies{n: l.Outcomes, mean: l.MeanLatency, class: slices.Clone(l.ClassLatency)}
		if pool := d.pool(q.kind); pool.n < l.Outcomes { // what others of the kind borrow
			*pool = latencies{n: l.Outcomes, mean: l.MeanLatency, class: slices.Clone(l.ClassLatency)}
		}
	}
}

// recall takes over an endpoint's outage or ramp from an earlier process, so that a restart in the middle of
// either does not send to a cold destination as to a warm one.
func (d *Dispatcher) recall(e StateRestored) {
	ramping := d.now.Sub(e.At) < d.s.SlowStartWindow
	ep := d.lookUp(e.Endpoint, e.Ejected || ramping)
	switch {
	case ep == nil:
	case e.Ejected:
		d.sicken(ep)
	case ramping:
		ep.ramping, ep.recovered = true, e.At
	}
}
