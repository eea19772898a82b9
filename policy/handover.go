package policy

import (
	"cmp"
	"math"
	"slices"

	"milletsail/internal/instant"
)

// unknownZone is the zone of an endpoint that is no longer listed.
const unknownZone = -1

// resumeMessage takes over a message that an earlier process admitted, together with its attempts. It queues
// the message at once, or, if an attempt is still in flight, when that attempt ends without a final answer. A
// message without another attempt ends, as it would have in the earlier process. One that already has its
// final answer is only completed.
func (d *Dispatcher) resumeMessage(resumed *message) {
	for _, prior := range resumed.PriorAttempts {
		d.resumeAttempt(resumed, prior)
	}
	switch {
	case resumed.Completed:
		d.complete(resumed)
	case resumed.openAttempts > 0:
	case len(resumed.attempts) >= d.settings.MaxAttempts:
		d.abandon(resumed, ReasonAttemptsExhausted)
	default:
		d.enqueue(d.selectQueue(resumed), resumed)
	}
}

// resumeAttempt adds an attempt of an earlier process to a message.
func (d *Dispatcher) resumeAttempt(resumed *message, prior PriorAttempt) {
	ep := d.lookUpEndpoint(prior.Endpoint, true)
	if ep == nil {
		ep = d.unlistedEndpoint(prior.Endpoint, resumed.Destination)
	}
	priorCall := &call{endpoint: ep, sentAt: prior.SentAt}
	if prior.InFlight {
		priorCall = d.adoptCall(ep, prior)
		priorCall.openAttempts++
		priorCall.size += resumed.Size
		priorCall.messages = append(priorCall.messages, resumed)
		resumed.openAttempts++
	}
	resumed.attempts = append(resumed.attempts, attempt{
		call:        priorCall,
		sentAt:      prior.SentAt,
		open:        prior.InFlight,
		notExecuted: prior.NotExecuted,
	})
	if prior.Interrupted && !ep.Removed {
		d.suspectInterrupted(ep, prior.SentAt)
	}
	if !prior.NotExecuted {
		resumed.keyBlockedUntil = max(resumed.keyBlockedUntil, d.now.Add(d.settings.OrderedKeyDelay))
	}
}

// unlistedEndpoint returns a placeholder for an endpoint that is no longer listed. Its zone is unknown, so
// that no other endpoint is assumed to share its idempotency keys.
func (d *Dispatcher) unlistedEndpoint(id string, destination int) *endpoint {
	return &endpoint{
		Endpoint: Endpoint{ID: id, Destination: destination, Zone: unknownZone, Removed: true},
		queue:    d.destination(destination).queues[0],
		outlier:  newOutlierDetector(len(d.settings.Classes)),
	}
}

// adoptCall returns the call of an attempt that an earlier process has in flight, creating it for the first
// of its messages. The call occupies a slot of this dispatcher until it ends.
func (d *Dispatcher) adoptCall(ep *endpoint, prior PriorAttempt) *call {
	queue := ep.queue
	for _, adopted := range queue.calls {
		if adopted.number == prior.Call {
			return adopted
		}
	}
	adopted := &call{endpoint: ep, number: prior.Call, sentAt: prior.SentAt}
	d.slots.lastCall = max(d.slots.lastCall, prior.Call)
	d.slots.inUse++
	d.activate(queue)
	bySentAt := func(a, b *call) int { return cmp.Compare(a.sentAt, b.sentAt) }
	queue.calls, ep.calls = append(queue.calls, adopted), append(ep.calls, adopted)
	slices.SortStableFunc(queue.calls, bySentAt)
	slices.SortStableFunc(ep.calls, bySentAt)
	return adopted
}

// ExportState returns the state of all queues that have endpoints, for the successor process.
func (d *Dispatcher) ExportState() (all []StateInherited) {
	for _, q := range d.queues {
		if len(q.endpoints) > 0 {
			all = append(all, q.exportState())
		}
	}
	return all
}

// exportState returns the state of a queue and its endpoints.
func (q *queue) exportState() StateInherited {
	state := StateInherited{
		RetryAfterUntil:       q.circuit.retryAfterUntil,
		BackoffUntil:          q.circuit.backoffUntil,
		Outcomes:              q.latency.outcomes,
		MeanLatency:           q.latency.mean,
		ClassLatency:          slices.Clone(q.latency.byClass),
		Concurrency:           q.typicalConcurrency,
		SendRate:              q.limiter.rate,
		Tokens:                q.limiter.bucket.tokens,
		TokensAt:              q.limiter.bucket.updatedAt,
		ConsecutiveRejections: q.circuit.consecutiveRejections,
		FirstRejectionAt:      q.circuit.firstRejectionAt,
		LastSuccessAt:         q.lastSuccessAt,
		Arrivals:              q.admission.arrivals.exportState(),
		Misses:                q.admission.misses.exportState(),
	}
	for _, ep := range q.endpoints {
		state.Endpoints = append(state.Endpoints, ep.exportState())
	}
	return state
}

// exportState returns the state of an endpoint.
func (ep *endpoint) exportState() InheritedEndpoint {
	return InheritedEndpoint{
		ID:                  ep.ID,
		Ejected:             ep.outlier.ejected,
		SlowStarting:        ep.slowStart.active,
		EjectedAt:           ep.outlier.ejectedAt,
		RecoveredAt:         ep.slowStart.recoveredAt,
		LastSuccessAt:       ep.outlier.lastSuccessAt,
		ConsecutiveFailures: ep.outlier.consecutiveFailures,
		ConnectionLimit:     ep.connections.limit,
		Tokens:              ep.slowStart.bucket.tokens,
		TokensAt:            ep.slowStart.bucket.updatedAt,
	}
}

// exportState returns the state of a counter.
func (c *decayingCounter) exportState() DecayingCount {
	return DecayingCount{Count: c.value, UpdatedAt: c.updatedAt, StartedAt: c.startedAt}
}

// restoreCounter returns the counter with the given exported state.
func restoreCounter(state DecayingCount) decayingCounter {
	return decayingCounter{value: state.Count, updatedAt: state.UpdatedAt, startedAt: state.StartedAt}
}

// Translate returns a copy of the state with all its times converted by the function to, for a process whose
// clock has another origin.
func (state StateInherited) Translate(to func(instant.Time) instant.Time) StateInherited {
	state.Endpoints = slices.Clone(state.Endpoints)
	times := []*instant.Time{
		&state.RetryAfterUntil, &state.BackoffUntil, &state.TokensAt,
		&state.FirstRejectionAt, &state.LastSuccessAt,
		&state.Arrivals.UpdatedAt, &state.Arrivals.StartedAt,
		&state.Misses.UpdatedAt, &state.Misses.StartedAt,
	}
	for i := range state.Endpoints {
		ep := &state.Endpoints[i]
		times = append(times, &ep.EjectedAt, &ep.RecoveredAt, &ep.LastSuccessAt, &ep.TokensAt)
	}
	for _, at := range times {
		*at = to(*at)
	}
	return state
}

// restoreInherited restores the state of a queue that the predecessor exported. Endpoints that are no longer
// listed are skipped.
func (d *Dispatcher) restoreInherited(state StateInherited) {
	var restored *queue
	for _, inherited := range state.Endpoints {
		if ep := d.lookUpEndpoint(inherited.ID, true); ep != nil {
			d.restoreEndpoint(ep, inherited)
			restored = ep.queue
		}
	}
	if restored != nil {
		d.restoreQueue(restored, state)
		d.restoreSiblingSuspicions(restored)
	}
}

// restoreSiblingSuspicions suspects the endpoints of a queue that have had no success since another one
// failed. The budget of the queue continues with as many tokens as the endpoint that has the fewest.
func (d *Dispatcher) restoreSiblingSuspicions(q *queue) {
	q.slowStartBucket.reset(math.Inf(1), d.now)
	for _, ep := range q.endpoints {
		if ep.outlier.ejected || ep.outlier.notified {
			d.suspectSiblings(ep)
		}
		if d.mayBeLimited(ep) && ep.slowStart.bucket.tokens < q.slowStartBucket.tokens {
			q.slowStartBucket = ep.slowStart.bucket
		}
	}
}

// restoreEndpoint restores the exported state of an endpoint.
func (d *Dispatcher) restoreEndpoint(ep *endpoint, state InheritedEndpoint) {
	d.setEjected(ep, state.Ejected)
	ep.outlier.ejectedAt = state.EjectedAt
	ep.outlier.lastSuccessAt = state.LastSuccessAt
	ep.outlier.consecutiveFailures = state.ConsecutiveFailures
	ep.outlier.notified = state.ConsecutiveFailures > 0
	ep.outlier.suspicionRecorded = ep.outlier.notified && !state.Ejected
	ep.slowStart.active, ep.slowStart.afterEjection = state.SlowStarting, state.SlowStarting
	ep.slowStart.recoveredAt = state.RecoveredAt
	ep.slowStart.bucket.reset(state.Tokens, state.TokensAt)
	ep.connections.limit = state.ConnectionLimit
	ep.queue.outageSuspected = ep.queue.outageSuspected || state.Ejected
}

// restoreQueue restores the exported state of a queue. Latencies are skipped if the number of classes has
// changed; otherwise they also replace the prior of the kind if that has fewer outcomes.
func (d *Dispatcher) restoreQueue(queue *queue, state StateInherited) {
	queue.circuit.retryAfterUntil = state.RetryAfterUntil
	queue.circuit.backoffUntil = state.BackoffUntil
	queue.circuit.consecutiveRejections = state.ConsecutiveRejections
	queue.circuit.firstRejectionAt = state.FirstRejectionAt
	queue.lastSuccessAt = state.LastSuccessAt
	queue.typicalConcurrency = state.Concurrency
	queue.limiter.rate = state.SendRate
	queue.limiter.bucket.reset(state.Tokens, state.TokensAt)
	queue.admission.arrivals = restoreCounter(state.Arrivals)
	queue.admission.misses = restoreCounter(state.Misses)
	if len(state.ClassLatency) != len(queue.latency.byClass) {
		return
	}
	queue.latency = state.latencyEstimate()
	if prior := d.latencyPriors.get(queue.kind); prior.outcomes < state.Outcomes {
		*prior = state.latencyEstimate()
	}
}

// latencyEstimate returns the latency estimate in an exported state.
func (state *StateInherited) latencyEstimate() latencyEstimate {
	return latencyEstimate{
		outcomes: state.Outcomes,
		mean:     state.MeanLatency,
		byClass:  slices.Clone(state.ClassLatency),
	}
}

// restoreHealth restores the ejection or the slow start of an endpoint that an earlier process recorded, so
// that a restart during either does not overload the endpoint.
func (d *Dispatcher) restoreHealth(restored StateRestored) {
	slowStarting := d.now.Sub(restored.At) < d.settings.SlowStartWindow
	ep := d.lookUpEndpoint(restored.Endpoint, restored.Ejected || slowStarting)
	switch {
	case ep == nil:
	case restored.Ejected:
		d.eject(ep)
		d.suspectSiblings(ep)
	case slowStarting:
		d.startQueueBudget(ep.queue)
		ep.slowStart.active, ep.slowStart.afterEjection, ep.slowStart.recoveredAt = true, true, restored.At
		ep.slowStart.bucket.reset(d.firstTokens(ep), d.now)
	}
}
