package policy

import "time"

// callOutcome is the end of a call, as reported with the last of its attempts.
type callOutcome struct {
	AttemptEnded
	call    *call
	message *message // of the last attempt
	seconds float64  // latency, as far as it matters for the message's class
}

// handleAttemptEnded takes in the end of an attempt: first what it says of the endpoint, then what becomes of
// the message.
func (d *Dispatcher) handleAttemptEnded(ended AttemptEnded) {
	sent, endedCall := d.closeAttempt(ended)
	if endedCall == nil {
		return
	}
	if ended.RetryAfter > 0 {
		d.handleRetryAfter(endedCall.endpoint.queue, ended.RetryAfter)
	}
	switch {
	case ended.Outcome == NotStarted:
		d.recordNotStarted(endedCall)
	case endedCall.openAttempts == 0:
		d.handleCallEnded(endedCall, sent, ended)
	}
	if ended.Outcome == TimedOut || ended.Outcome == Reset || ended.Outcome == Canceled {
		sent.keyBlockedUntil = d.now.Add(d.settings.OrderedKeyDelay)
	}
	d.continueMessage(sent, ended)
}

// closeAttempt marks an attempt as ended, and returns its message and its call, or nil if it is unknown or
// has ended before. A call frees its slot with the last of its messages. One that was not started leaves no
// trace.
func (d *Dispatcher) closeAttempt(ended AttemptEnded) (*message, *call) {
	sent := d.messages.byID[ended.ID]
	if sent == nil || ended.Attempt < 0 || ended.Attempt >= len(sent.attempts) {
		return nil, nil
	}
	closed := &sent.attempts[ended.Attempt]
	if !closed.open {
		return nil, nil
	}
	closedCall := closed.call
	closed.open = false
	closed.notExecuted = ended.Outcome.ProvesNotExecuted()
	sent.openAttempts--
	isLast := ended.Attempt == len(sent.attempts)-1
	if ended.Outcome == NotStarted && isLast { // its number goes to the next one
		sent.attempts = sent.attempts[:ended.Attempt]
	}
	closedCall.openAttempts--
	if closedCall.openAttempts == 0 {
		d.slots.inUse--
		ep := closedCall.endpoint
		ep.calls, ep.queue.calls = remove(ep.calls, closedCall), remove(ep.queue.calls, closedCall)
	}
	return sent, closedCall
}

// handleRetryAfter keeps to a Retry-After, whatever became of the message, also with calls that are not
// written yet.
func (d *Dispatcher) handleRetryAfter(q *queue, retryAfter time.Duration) {
	q.circuit.extendRetryAfter(d.now, retryAfter)
	for _, ep := range q.endpoints {
		d.emit(CancelUnwritten{Endpoint: ep.ID})
	}
}

// handleCallEnded takes in the end of a whole call.
func (d *Dispatcher) handleCallEnded(c *call, m *message, ended AttemptEnded) {
	ep := c.endpoint
	ep.resourceBackoff = resourceBackoff{}
	if ended.Latency <= 0 {
		ended.Latency = d.now.Sub(c.sentAt)
	}
	seconds := min(ended.Latency, m.class.Deadline).Seconds()
	d.recordOutcome(callOutcome{AttemptEnded: ended, call: c, message: m, seconds: seconds})
	if len(ep.calls) == 0 && ep.connections.full(d.now, d.settings.IdleConnTimeout) {
		d.emit(CloseIdleConnections{Endpoint: ep.ID})
	}
}

// continueMessage decides what becomes of a message after an attempt: it is complete, waits for another
// attempt, or ends undelivered.
func (d *Dispatcher) continueMessage(m *message, ended AttemptEnded) {
	switch {
	case ended.Completed || ended.Outcome == OK:
		d.complete(m)
	case m.done:
		d.releaseKey(m)
	case m.openAttempts > 0:
	case ended.AttemptsExhausted || len(m.attempts) >= d.settings.MaxAttempts:
		d.abandon(m, ReasonAttemptsExhausted)
	case d.now >= m.expiresAt.Add(-d.settings.BatchInterval):
		d.abandon(m, ReasonNoTimeLeft)
	case !d.retryAllowed(m, nil):
		d.abandon(m, ReasonNotRetryable)
	default:
		d.enqueue(d.selectQueue(m), m)
	}
}

// recordOutcome updates what is known of an endpoint and its queue. It goes by the call's own latency, since
// a relay that was suspended learns late of the end.
func (d *Dispatcher) recordOutcome(outcome callOutcome) {
	ep, queue := outcome.call.endpoint, outcome.call.endpoint.queue
	endedAt := outcome.call.sentAt.Add(outcome.Latency)
	d.slots.recordLateness(outcome.Outcome, endedAt >= outcome.call.overdueAt(stalledFactor))
	d.recordLocalLoad(ep, outcome.AttemptEnded)
	usual := queue.latency.byClass[outcome.message.Class]
	late := usual > 0 && outcome.seconds > stalledFactor*usual
	d.analyzeOutcome(ep, outcome.message, outcome.AttemptEnded, late)
	switch outcome.Outcome {
	case OK:
		d.recordDelivery(outcome)
	case Rejected:
		d.recordRejection(queue, limitMessage{
			destination: queue.destination.number,
			retryAfter:  outcome.RetryAfter,
			callAge:     d.now.Sub(outcome.call.sentAt),
		})
	case ConnectError:
		d.recordConnectError(ep, outcome.call)
	case Failed, Reset:
		d.recordFailure(ep, outcome.call, errorResponseWeight)
	case TimedOut, Canceled:
		lateForQueue := outcome.seconds > stalledFactor*queue.latency.mean
		if lateForQueue && (outcome.Outcome == TimedOut || outcome.call.canceled) {
			d.recordFailure(ep, outcome.call, 1)
		}
	case NotSent, NotStarted:
	}
}

// recordDelivery takes in a delivered call.
func (d *Dispatcher) recordDelivery(outcome callOutcome) {
	ep, queue := outcome.call.endpoint, outcome.call.endpoint.queue
	class, sentAt := outcome.message.Class, outcome.call.sentAt
	ep.connections.recordSuccess(d.now, sentAt)
	ep.succeededCallAt, ep.lastLatency = max(ep.succeededCallAt, sentAt), outcome.seconds
	queue.latency.record(class, outcome.seconds)
	queue.typicalConcurrency += latencyWeight * (float64(len(queue.calls)+1) - queue.typicalConcurrency)
	d.latencyPriors.get(queue.kind).record(class, outcome.seconds)
	ep.outlier.classFailures[class] = 0
	if ep.outlier.ejected && sentAt < ep.outlier.ejectedAt && d.now < queue.circuit.retryAfterUntil {
		return // sent before the destination asked for a pause: it says nothing of its recovery
	}
	d.recordSuccess(ep, outcome.LoadReport == nil || outcome.LoadReport.Remaining >= minRemainingAllowance)
	callAge := d.now.Sub(sentAt)
	accepted := limitMessage{accepted: true, destination: queue.destination.number, callAge: callAge}
	if (d.closeCircuit(queue, accepted) || queue.peerReport.observers > 0) && d.settings.Gossip {
		queue.peerReport = peerReport{}
		d.emit(Broadcast{Message: accepted.encode()})
	}
}

// recordConnectError takes in that an endpoint did not accept a connection. If calls that were sent later
// succeed there, it has no more connections to give; else it is down.
func (d *Dispatcher) recordConnectError(ep *endpoint, c *call) {
	if d.settings.Gossip && ep.connections.recordError(d.now) &&
		d.random.Float64()*float64(d.settings.FleetSize) < connectErrorReporters {
		d.emit(Broadcast{Message: encodeEndpointMessage(connectErrorType, ep.ID)})
	}
	if ep.outlier.lastSuccessAt > c.sentAt {
		ep.connections.lowerLimit(len(ep.calls))
		return
	}
	d.recordFailure(ep, c, 1)
}
