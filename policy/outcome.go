package policy

import "time"

// callOutcome is the outcome of a call, reported with the last of its attempts to end.
type callOutcome struct {
	AttemptEnded
	call    *call
	message *message // message of the last attempt to end
	seconds float64  // latency in seconds, at most the deadline of the message's class
}

// handleAttemptEnded processes the outcome of an attempt: it first updates the state of the endpoint and its
// queue, and then decides how the message continues.
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

// closeAttempt marks an attempt as ended, and returns its message and its call, or nil if the attempt is
// unknown or had ended before. The call frees its slot with the last of its attempts. An attempt that was
// not started is removed if it is the message's last one, so that the next one reuses its number.
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
	if ended.Outcome == NotStarted && isLast { // the next attempt reuses the number
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

// handleRetryAfter pauses a queue for a Retry-After, whatever the outcome of the attempt. Calls that are not
// written yet are canceled, so that they do not reach the destination during the pause.
func (d *Dispatcher) handleRetryAfter(q *queue, retryAfter time.Duration) {
	q.circuit.extendRetryAfter(d.now, retryAfter)
	for _, ep := range q.endpoints {
		d.emit(CancelUnwritten{Endpoint: ep.ID})
	}
}

// handleCallEnded processes the end of a call, after the last of its attempts has ended.
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

// continueMessage decides how a message continues after an attempt: it is complete, it waits for another
// attempt, or it ends without delivery.
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

// recordOutcome updates the state of an endpoint and its queue after a call. It uses the latency reported
// for the call rather than the present time, since a relay process that was suspended learns of the outcome
// late.
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
		d.notify(ep, outcome.call.sentAt)
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
		} else if outcome.Outcome == TimedOut {
			d.notify(ep, outcome.call.sentAt)
			d.suspectSiblings(ep)
		}
	case NotSent, NotStarted:
	}
}

// recordDelivery updates the state of an endpoint and its queue after a successful call.
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
		return // during a Retry-After, the success of a call sent before the ejection shows no recovery
	}
	d.recordSuccess(ep, outcome.LoadReport == nil || outcome.LoadReport.Remaining >= minRemainingAllowance)
	callAge := d.now.Sub(sentAt)
	accepted := limitMessage{accepted: true, destination: queue.destination.number, callAge: callAge}
	if (d.closeCircuit(queue, accepted) || queue.peerReport.observers > 0) && d.settings.Gossip {
		queue.peerReport = peerReport{}
		d.emit(Broadcast{Message: accepted.encode()})
	}
}

// recordConnectError handles a connection that was not established. If a call has succeeded at the endpoint
// since this one was sent, the endpoint accepts no more connections than this relay has open; otherwise the
// error counts as a failure.
func (d *Dispatcher) recordConnectError(ep *endpoint, c *call) {
	if d.settings.Gossip && ep.connections.recordError(d.now) &&
		d.random.Float64()*float64(d.settings.FleetSize) < connectErrorReporters {
		d.emit(Broadcast{Message: encodeEndpointMessage(connectErrorType, ep.ID)})
	}
	if ep.outlier.lastSuccessAt > c.sentAt {
		ep.connections.lowerLimit(len(ep.calls))
		d.notify(ep, c.sentAt)
		return
	}
	d.recordFailure(ep, c, 1)
}
