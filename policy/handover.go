package policy

import (
	"cmp"
	"slices"

	"milletsail/internal/instant"
)

// resumeMessage puts a message that an earlier process admitted back into its queue, with the attempts made
// for it; one with an attempt still out comes back to its queue by that attempt's end.
func (d *Dispatcher) resumeMessage(m *message) {
	for _, t := range m.PriorAttempts {
		ep := d.lookUpEndpoint(t.Endpoint, true)
		if ep == nil {
			// Its zone is not known any more: no other is known to share its memory.
			ep = &endpoint{Endpoint: Endpoint{ID: t.Endpoint, Destination: m.Destination, Zone: -1, Removed: true},
				queue: d.destination(m.Destination).queues[0], outlier: newOutlierDetector(len(d.settings.Classes))}
		}
		c := &call{endpoint: ep, sentAt: t.SentAt}
		if t.InFlight {
			c = d.adoptCall(ep, t)
			c.openAttempts++
			c.size += m.Size
			c.messages = append(c.messages, m)
			m.openAttempts++
		}
		m.attempts = append(m.attempts, attempt{call: c, sentAt: t.SentAt, notExecuted: t.NotExecuted, open: t.InFlight})
		if !t.NotExecuted {
			m.keyBlockedUntil = max(m.keyBlockedUntil, d.now.Add(d.settings.OrderedKeyDelay))
		}
	}
	switch {
	case m.Completed:
		d.complete(m)
	case m.openAttempts == 0:
		d.enqueue(d.selectQueue(m), m)
	}
}

// adoptCall gives the call of an attempt that an earlier process still has out: it holds a slot here as well.
func (d *Dispatcher) adoptCall(ep *endpoint, t PriorAttempt) *call {
	for _, c := range ep.queue.calls {
		if c.number == t.Call {
			return c
		}
	}
	c := &call{endpoint: ep, number: t.Call, sentAt: t.SentAt}
	d.slots.lastCall = max(d.slots.lastCall, t.Call)
	d.slots.inUse++
	d.activate(ep.queue)
	older := func(a, b *call) int { return cmp.Compare(a.sentAt, b.sentAt) }
	ep.queue.calls, ep.calls = append(ep.queue.calls, c), append(ep.calls, c)
	slices.SortStableFunc(ep.queue.calls, older)
	slices.SortStableFunc(ep.calls, older)
	return c
}

// ExportState is what this dispatcher has learned, for the process that takes over from it.
func (d *Dispatcher) ExportState() (all []StateInherited) {
	for _, q := range d.queues {
		l := StateInherited{RetryAfterUntil: q.circuit.retryAfterUntil, BackoffUntil: q.circuit.backoffUntil, Outcomes: q.latency.outcomes, MeanLatency: q.latency.mean, ClassLatency: slices.Clone(q.latency.byClass), Concurrency: q.typicalConcurrency,
			SendRate: q.limiter.rate, Tokens: q.limiter.bucket.tokens, TokensAt: q.limiter.bucket.updatedAt, ConsecutiveRejections: q.circuit.consecutiveRejections, FirstRejectionAt: q.circuit.firstRejectionAt, LastSuccessAt: q.lastSuccessAt,
			Arrivals: DecayingCount{q.admission.arrivals.value, q.admission.arrivals.updatedAt, q.admission.arrivals.startedAt}, Misses: DecayingCount{q.admission.misses.value, q.admission.misses.updatedAt, q.admission.misses.startedAt}}
		for _, ep := range q.endpoints {
			l.Endpoints = append(l.Endpoints, InheritedEndpoint{ID: ep.ID, Ejected: ep.outlier.ejected, SlowStarting: ep.slowStart.active, EjectedAt: ep.outlier.ejectedAt,
				RecoveredAt: ep.slowStart.recoveredAt, LastSuccessAt: ep.outlier.lastSuccessAt, ConsecutiveFailures: ep.outlier.consecutiveFailures, ConnectionLimit: ep.connections.limit, Tokens: ep.slowStart.bucket.tokens, TokensAt: ep.slowStart.bucket.updatedAt})
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

// restoreInherited takes in what the process before has learned of a queue, but for endpoints that are no
// longer listed.
func (d *Dispatcher) restoreInherited(l StateInherited) {
	var q *queue
	for _, e := range l.Endpoints {
		ep := d.lookUpEndpoint(e.ID, true)
		if ep == nil {
			continue
		}
		q = ep.queue
		d.setEjected(ep, e.Ejected)
		ep.slowStart.active, ep.outlier.ejectedAt, ep.slowStart.recoveredAt, ep.outlier.lastSuccessAt = e.SlowStarting, e.EjectedAt, e.RecoveredAt, e.LastSuccessAt
		ep.outlier.consecutiveFailures, ep.connections.limit, ep.slowStart.bucket = e.ConsecutiveFailures, e.ConnectionLimit, tokenBucket{e.Tokens, e.TokensAt}
		q.outageSuspected = q.outageSuspected || e.Ejected
	}
	if q == nil {
		return
	}
	q.circuit.retryAfterUntil, q.circuit.backoffUntil, q.typicalConcurrency, q.circuit.consecutiveRejections, q.circuit.firstRejectionAt, q.lastSuccessAt = l.RetryAfterUntil, l.BackoffUntil, l.Concurrency, l.ConsecutiveRejections, l.FirstRejectionAt, l.LastSuccessAt
	q.limiter.rate, q.limiter.bucket = l.SendRate, tokenBucket{l.Tokens, l.TokensAt}
	q.admission.arrivals, q.admission.misses = decayingCounter{l.Arrivals.Count, l.Arrivals.UpdatedAt, l.Arrivals.StartedAt}, decayingCounter{l.Misses.Count, l.Misses.UpdatedAt, l.Misses.StartedAt}
	if len(l.ClassLatency) == len(q.latency.byClass) {
		q.latency = latencyEstimate{outcomes: l.Outcomes, mean: l.MeanLatency, byClass: slices.Clone(l.ClassLatency)}
		if pool := d.latencyPrior(q.kind); pool.outcomes < l.Outcomes { // what others of the kind borrow
			*pool = latencyEstimate{outcomes: l.Outcomes, mean: l.MeanLatency, byClass: slices.Clone(l.ClassLatency)}
		}
	}
}

// restoreHealth takes over an endpoint's outage or ramp from an earlier process, so that a restart in the
// middle of either does not send to a cold destination as to a warm one.
func (d *Dispatcher) restoreHealth(e StateRestored) {
	ramping := d.now.Sub(e.At) < d.settings.SlowStartWindow
	ep := d.lookUpEndpoint(e.Endpoint, e.Ejected || ramping)
	switch {
	case ep == nil:
	case e.Ejected:
		d.eject(ep)
	case ramping:
		ep.slowStart.active, ep.slowStart.recoveredAt = true, e.At
	}
}
