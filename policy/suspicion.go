package policy

import (
	"math"
	"slices"
	"time"

	"milletsail/internal/instant"
)

const (
	// failureShareWeight is the weight of a new outcome in outlierDetector.failureShare.
	failureShareWeight = 0.25
	// suspiciousFailureShare is the failureShare from which an endpoint counts as suspected even between
	// successes: an outage may fail only a part of the calls.
	suspiciousFailureShare = 0.5
	// isolatedFailureShare is the largest failureShare of an endpoint whose success shows that the failures
	// of another one are isolated.
	isolatedFailureShare = 0.05
	// failureShareExpiry is the time without a result after which failureShare starts from 0 again.
	failureShareExpiry = 20 * time.Second
	// suspicionDelay is the time after a first failure within which the retries are not limited yet.
	suspicionDelay = 500 * time.Millisecond
)

// suspected reports whether an endpoint that is not ejected may be in an outage, or may just have come back
// from one. That is so after a failed or rejected call, unless it stands alone: another call succeeded within
// circuitOpenAfter, and most calls succeed. A relay that makes few calls thus suspects an endpoint after a
// single failure, since it may see no other one in the whole outage. A rejection concerns all endpoints of
// its queue, and beside others the one that rejected the call until it accepts one.
//
// The slow start budget limits the calls to a suspected endpoint as it does those to an ejected one. If only
// ejected endpoints were limited, all relays with fewer failures than an ejection takes would send their
// queued messages to the cold endpoint at once.
func (d *Dispatcher) suspected(ep *endpoint) bool {
	o := &ep.outlier
	if o.ejected || !d.maySuspect(ep) {
		return false
	}
	recently := d.now.Add(-circuitOpenAfter)
	mostlyFails := o.failureShare >= suspiciousFailureShare
	failing := o.consecutiveFailures > 0 && (mostlyFails || !o.succeededSince(recently))
	siblingFailing := o.siblingFailedAt > 0 && !o.succeededSince(recently)
	rejecting := o.notified || ep.queue.circuit.consecutiveRejections > 0
	rejectingAlone := o.notified && len(ep.queue.endpoints) > 1 && !o.succeededSince(recently)
	return failing || siblingFailing || rejectingAlone || rejecting && !ep.queue.acceptedSince(recently)
}

// suspectSiblings suspects the other endpoints of a queue after a call at one of them has failed: most
// outages take all endpoints of a destination, and a relay that makes few calls may see no failure at the
// others. That is left out for endpoints that have answered a call since, and for all of them if the outage
// is known to be isolated.
func (d *Dispatcher) suspectSiblings(failed *endpoint) {
	failingSince := failed.outlier.notifiedAt
	if failed.queue.isolatedAt >= failingSince && failingSince > 0 {
		return
	}
	for _, ep := range failed.queue.endpoints {
		answers := ep.succeededCallAt > 0 && ep.succeededCallAt >= failingSince
		if ep != failed && !ep.outlier.ejected && !answers && d.maySuspect(ep) {
			d.suspectSibling(ep)
		}
	}
}

// recordIsolation handles a success at an endpoint that was suspected for a failure at another one. If its
// call was one of the first after that failure, the outage does not take the whole destination: the endpoints
// at which no call has failed are well. Later, the endpoint may have been out and have come back.
func (d *Dispatcher) recordIsolation(ep *endpoint) {
	o := &ep.outlier
	sentAfter := ep.succeededCallAt.Sub(o.siblingFailingSince)
	isFirst := o.siblingFailedAt > 0 && sentAfter >= 0 && sentAfter <= suspicionDelay
	if !isFirst || o.notified || o.failureShare > isolatedFailureShare {
		return
	}
	ep.queue.isolatedAt = d.now
	for _, sibling := range ep.queue.endpoints {
		if sibling == ep || sibling.outlier.lastSuccessAt > 0 {
			sibling.outlier.clearSiblingFailure()
		}
	}
}

// suspectSibling suspects an endpoint after a failure at another one of its queue.
func (d *Dispatcher) suspectSibling(ep *endpoint) {
	o := &ep.outlier
	if ep.slowStart.active {
		ep.slowStart.recoveredAt = d.now
	}
	if o.siblingFailedAt == 0 {
		o.siblingFailingSince = d.now
		if !o.notified && !ep.slowStart.active {
			ep.slowStart.bucket.reset(d.firstTokens(ep), max(d.now, ep.queue.circuit.retryAfterUntil))
		}
	}
	o.siblingFailedAt = d.now
}

// clearSiblingFailure forgets the failures at other endpoints.
func (o *outlierDetector) clearSiblingFailure() { o.siblingFailingSince, o.siblingFailedAt = 0, 0 }

// endSiblingSuspicions lets the endpoints that were suspected only for failures at others enter slow start,
// when no endpoint of the queue fails any more: the outage may have taken them, too.
func (d *Dispatcher) endSiblingSuspicions(q *queue) {
	if slices.ContainsFunc(q.endpoints, func(ep *endpoint) bool {
		return ep.outlier.ejected || ep.outlier.consecutiveFailures > 0
	}) {
		return
	}
	for _, ep := range q.endpoints {
		if ep.outlier.siblingFailedAt > 0 {
			wasSuspected := d.suspected(ep)
			ep.outlier.clearSiblingFailure()
			if wasSuspected && !ep.slowStart.active {
				d.startSlowStart(ep, ep.slowStart.bucket.tokens, secondHand)
			}
		}
	}
}

// maySuspect reports whether failures make an endpoint suspected. Zone surveys and canary analysis need the
// calls that a suspicion would hold back; they have limits of their own.
func (d *Dispatcher) maySuspect(ep *endpoint) bool { return !d.settings.Zones && ep.canary == nil }

// limitedBySuspicion reports whether the slow start budget limits the calls to an endpoint because it is
// suspected. The first retries after a failure are not limited, nor are the calls within circuitOpenAfter of
// a first rejection, since rejections are ordinary at a rate limit.
func (d *Dispatcher) limitedBySuspicion(ep *endpoint) bool {
	if !d.suspected(ep) {
		return false
	}
	o, circuit := &ep.outlier, &ep.queue.circuit
	switch {
	case o.consecutiveFailures > 0 && d.now.Sub(o.failingSince) >= suspicionDelay:
		return true
	case o.siblingFailedAt > 0 && d.now.Sub(o.siblingFailingSince) >= suspicionDelay:
		return true
	case o.notified && d.now.Sub(o.failingSince) >= circuitOpenAfter:
		return true
	}
	return circuit.consecutiveRejections > 0 && d.now.Sub(circuit.firstRejectionAt) >= circuitOpenAfter
}

// succeededSince reports whether a call to the endpoint has succeeded since the given time.
func (o *outlierDetector) succeededSince(at instant.Time) bool {
	return o.lastSuccessAt > 0 && o.lastSuccessAt >= at
}

// acceptedSince reports whether the destination of a queue has accepted a call of this relay, or is known to
// have accepted one of another relay, since the given time.
func (q *queue) acceptedSince(at instant.Time) bool {
	acceptedAt := max(q.lastSuccessAt, q.acceptedElsewhereAt)
	return acceptedAt > 0 && acceptedAt >= at
}

// recordResult updates the share of failed calls, where a success counts 0 and a failure 1. Results from
// before failureShareExpiry do not count.
func (o *outlierDetector) recordResult(now instant.Time, failure float64) {
	if now.Sub(o.resultAt) > failureShareExpiry {
		o.failureShare = 0
	}
	o.resultAt = now
	o.failureShare += failureShareWeight * (failure - o.failureShare)
}

// startSuspicion resets the slow start budget of an endpoint at its first failed or rejected call after a
// success. The call was sent at sentAt.
func (d *Dispatcher) startSuspicion(ep *endpoint, sentAt instant.Time) {
	d.startQueueBudget(ep.queue)
	ep.outlier.failingSince, ep.outlier.notifiedAt = sentAt, d.now
	if ep.outlier.ejected || ep.slowStart.active {
		return
	}
	ep.slowStart.bucket.reset(d.firstTokens(ep), max(d.now, ep.queue.circuit.retryAfterUntil))
}

// notify handles a call, sent at sentAt, that has failed or was rejected, whether or not it counts towards an
// ejection.
func (d *Dispatcher) notify(ep *endpoint, sentAt instant.Time) {
	if !ep.outlier.notified {
		d.startSuspicion(ep, sentAt)
	}
	ep.outlier.notified = true
	d.noteSuspicion(ep)
}

// suspectStalled suspects the endpoints at which no call has succeeded for circuitOpenAfter, and one has been
// in flight far longer than usual, or for circuitOpenAfter if no latency is known. In an outage without
// answers, a failure may come only after the return.
func (d *Dispatcher) suspectStalled() {
	since := d.now.Add(-circuitOpenAfter)
	for _, q := range d.active {
		for _, c := range q.calls {
			ep := c.endpoint
			stalled := ep.unresponsive(d.now) || q.latency.mean == 0 && c.sentAt < since
			if stalled && !ep.outlier.notified && !ep.outlier.succeededSince(since) {
				d.suspectUnanswered(ep, c.sentAt)
			}
		}
	}
}

// suspectUnanswered suspects an endpoint for a call without a known outcome, as for an error response.
func (d *Dispatcher) suspectUnanswered(ep *endpoint, sentAt instant.Time) {
	if ep.outlier.ejected || !d.maySuspect(ep) {
		return
	}
	d.notify(ep, sentAt)
	d.suspectSiblings(ep)
	ep.outlier.consecutiveFailures = math.Max(ep.outlier.consecutiveFailures, errorResponseWeight)
}

// recordAcceptance handles the first call that a destination is known to have accepted after it accepted none
// for circuitOpenAfter: it may have rejected all calls in an outage, so its endpoints enter slow start if
// calls of this relay were rejected.
func (d *Dispatcher) recordAcceptance(q *queue) {
	if q.acceptedSince(d.now.Add(-circuitOpenAfter)) {
		return
	}
	for _, ep := range q.endpoints {
		rejected := ep.outlier.notified || q.circuit.consecutiveRejections > 0
		if rejected && !ep.outlier.ejected && ep.outlier.consecutiveFailures == 0 && d.maySuspect(ep) {
			d.endSuspicion(ep, true)
		}
	}
}

// suspectInterrupted handles a call whose outcome is unknown, because the earlier process ended during it. In
// an outage, the end of the process may have been its only failure. A relay that makes many calls had others
// to tell, unless this one had taken long.
func (d *Dispatcher) suspectInterrupted(ep *endpoint, sentAt instant.Time) {
	if d.hasLowRate(ep.queue) || d.now.Sub(sentAt) >= circuitOpenAfter {
		d.suspectUnanswered(ep, sentAt)
	}
}

// endSuspicion handles a success at an endpoint that has failed and is not ejected. If it was suspected, it
// may just have come back from an outage and enters slow start; otherwise the failures stood alone.
func (d *Dispatcher) endSuspicion(ep *endpoint, wasSuspected bool) {
	if wasSuspected {
		d.startSlowStart(ep, ep.slowStart.bucket.tokens, secondHand)
	}
	d.noteSuspicion(ep)
}

// recordOverlappedFailure handles a failed call that was sent before the last success. If it had been in
// flight for circuitOpenAfter when successes began again (outlierDetector.successesSince), it may have
// stalled in an outage that had ended just then.
func (d *Dispatcher) recordOverlappedFailure(ep *endpoint, failed *call) {
	o := &ep.outlier
	recent := d.now.Sub(o.successesSince) < d.settings.SlowStartWindow
	stalled := o.successesSince.Sub(failed.sentAt) > circuitOpenAfter
	if o.ejected || ep.slowStart.active || !recent || !stalled || !d.maySuspect(ep) {
		return
	}
	d.startSlowStart(ep, d.firstTokens(ep), secondHand)
	ep.slowStart.recoveredAt = o.successesSince
}

// noteSuspicion lets recordSuspicions examine an endpoint at the end of the batch.
func (d *Dispatcher) noteSuspicion(ep *endpoint) { d.suspicionChanges = append(d.suspicionChanges, ep) }

// recordSuspicions records for a later process which endpoints have begun or ceased to fail in this batch. A
// process that did not know of the failures would send to the endpoint without a limit.
func (d *Dispatcher) recordSuspicions() {
	for _, ep := range d.suspicionChanges {
		o := &ep.outlier
		suspected := o.notified && !o.ejected && d.maySuspect(ep)
		if ep.Removed || suspected == o.suspicionRecorded {
			continue
		}
		o.suspicionRecorded = suspected
		if suspected {
			d.emit(PersistSuspicion{Endpoint: ep.ID, Suspected: true, At: d.now})
		} else if !o.ejected {
			d.emit(PersistSuspicion{Endpoint: ep.ID, At: ep.slowStart.recoveredAt})
		}
	}
	d.suspicionChanges = d.suspicionChanges[:0]
}
