package policy

import "math"

// closeAttempt notes that an attempt has ended, and gives its message and its call: nil where it is unknown
// or has ended before. A call gives its slot back with the last of its messages. One that was not begun
// leaves no trace.
func (d *Dispatcher) closeAttempt(e AttemptEnded) (*message, *call) {
	m := d.messages.byID[e.ID]
	if m == nil || e.Attempt < 0 || e.Attempt >= len(m.attempts) || !m.attempts[e.Attempt].open {
		return nil, nil
	}
	a := &m.attempts[e.Attempt]
	c := a.call
	a.open = false
	a.notExecuted = e.Outcome.ProvesNotExecuted()
	m.openAttempts--
	if e.Outcome == NotStarted && e.Attempt == len(m.attempts)-1 { // its number goes to the next one
		m.attempts = m.attempts[:e.Attempt]
	}
	c.openAttempts--
	if c.openAttempts == 0 {
		d.slots.inUse--
		c.endpoint.calls, c.endpoint.queue.calls = remove(c.endpoint.calls, c), remove(c.endpoint.queue.calls, c)
	}
	return m, c
}

// handleAttemptEnded takes in the outcome of an attempt.
func (d *Dispatcher) handleAttemptEnded(e AttemptEnded) {
	m, c := d.closeAttempt(e)
	if c == nil {
		return
	}
	if e.RetryAfter > 0 { // it binds whatever became of the message, and calls that are not written yet
		c.endpoint.queue.circuit.retryAfterUntil = max(c.endpoint.queue.circuit.retryAfterUntil, d.now.Add(min(e.RetryAfter, never.Sub(d.now))))
		for _, ep := range c.endpoint.queue.endpoints {
			d.emit(CancelUnwritten{Endpoint: ep.ID})
		}
	}
	switch {
	case e.Outcome == NotStarted:
		d.recordNotStarted(c)
	case c.openAttempts == 0:
		c.endpoint.recordStarted()
		d.recordOutcome(c, m, e)
		if len(c.endpoint.calls) == 0 && d.connectionsFull(c.endpoint) {
			d.emit(CloseIdleConnections{Endpoint: c.endpoint.ID})
		}
	}
	if e.Outcome == TimedOut || e.Outcome == Reset || e.Outcome == Canceled {
		m.keyBlockedUntil = d.now.Add(d.settings.OrderedKeyDelay)
	}
	switch {
	case e.Completed || e.Outcome == OK:
		d.complete(m)
	case m.done:
		d.releaseKey(m)
	case m.openAttempts > 0:
	case e.AttemptsExhausted || len(m.attempts) >= d.settings.MaxAttempts:
		d.abandon(m, ReasonAttemptsExhausted)
	case d.now >= m.expiresAt.Add(-d.settings.BatchInterval):
		d.abandon(m, ReasonNoTimeLeft)
	case !d.retryAllowed(m, nil):
		d.abandon(m, ReasonNotRetryable)
	default:
		d.enqueue(d.selectQueue(m), m)
	}
}

// recordOutcome draws from a call's end what it tells, by its own time: a relay without turns hears late of
// it.
func (d *Dispatcher) recordOutcome(c *call, m *message, e AttemptEnded) {
	ep, q := c.endpoint, c.endpoint.queue
	if e.Latency <= 0 {
		e.Latency = d.now.Sub(c.sentAt)
	}
	took := min(e.Latency, m.class.Deadline).Seconds()
	if c.sentAt.Add(e.Latency) >= d.overdueAt(c, stalledFactor) {
		d.slots.unansweredShare *= 1 - latencyWeight
		if e.Outcome != OK {
			d.slots.unansweredShare += latencyWeight
		}
	}
	d.recordLocalLoad(ep, e)
	d.analyzeOutcome(ep, m, e, q.latency.byClass[m.Class] > 0 && took > stalledFactor*q.latency.byClass[m.Class])
	switch e.Outcome {
	case OK:
		if c.sentAt < ep.connections.errorAt { // the endpoint served us while it turned another's connection away
			ep.connections.fullAt = d.now
		}
		ep.succeededCallAt, ep.lastLatency = max(ep.succeededCallAt, c.sentAt), took
		q.latency.record(m.Class, took)
		q.typicalConcurrency += latencyWeight * (float64(len(q.calls)+1) - q.typicalConcurrency)
		d.latencyPrior(q.kind).record(m.Class, took)
		ep.outlier.classFailures[m.Class] = 0
		if ep.outlier.ejected && c.sentAt < ep.outlier.ejectedAt && d.now < q.circuit.retryAfterUntil {
			break // begun before the destination shut: it says nothing of its return
		}
		d.recordSuccess(ep, e.LoadReport == nil || e.LoadReport.Remaining >= minRemainingAllowance)
		open := limitMessage{accepted: true, destination: q.destination.number, callAge: d.now.Sub(c.sentAt)}
		if (d.closeCircuit(q, open) || q.peerReport.observers > 0) && d.settings.Gossip {
			q.peerReport = peerReport{}
			d.emit(Broadcast{Message: open.encode()})
		}
	case Rejected:
		d.recordRejection(q, limitMessage{destination: q.destination.number, retryAfter: e.RetryAfter, callAge: d.now.Sub(c.sentAt)})
	case ConnectError:
		if d.settings.Gossip && d.now >= ep.connections.errorAt.Add(rateWindow) {
			ep.connections.errorAt = d.now
			if d.random.Float64()*float64(d.settings.FleetSize) < connectErrorReporters {
				d.emit(Broadcast{Message: encodeEndpointMessage(connectErrorType, ep.ID)})
			}
		}
		if ep.outlier.lastSuccessAt > c.sentAt {
			// Others get through: the endpoint takes no more connections, it is not down.
			ep.connections.limit = math.Max(1, float64(len(ep.calls)))
			return
		}
		d.recordFailure(ep, c, 1)
	case Failed, Reset:
		d.recordFailure(ep, c, errorResponseWeight)
	case TimedOut, Canceled:
		if took > stalledFactor*q.latency.mean && (e.Outcome == TimedOut || c.canceled) {
			d.recordFailure(ep, c, 1)
		}
	}
}
