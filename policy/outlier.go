package policy

import "milletsail/internal/instant"

const (
	// ejectionThreshold is the number of consecutive failures that ejects an endpoint. It is above 1, since
	// single errors are ordinary.
	ejectionThreshold = 2
	// errorResponseWeight is what an error response or a broken connection adds to the consecutive failures.
	// It counts half, because a process was running at the endpoint.
	errorResponseWeight = 0.5
	// maxUnhealthyCalls is the largest number of calls in flight to an ejected or unresponsive endpoint: one
	// that may be stalled and one that probes.
	maxUnhealthyCalls = 2
)

// outlierDetector tracks the health of one endpoint: consecutive failures eject it, as in Envoy's outlier
// detection, and a success ends the ejection. It belongs to one endpoint and is not safe for concurrent use.
type outlierDetector struct {
	consecutiveFailures float64   // weighted: an error response adds errorResponseWeight
	classFailures       []float64 // consecutive failures by class, weighted likewise, to select endpoints
	ejected             bool
	ejectedAt           instant.Time // start of the last ejection; 0 for never
	// lastFailureAt is the time of the last failure that counted here or that minObservers relays reported;
	// 0 for never.
	lastFailureAt instant.Time
	lastSuccessAt instant.Time // last success of a call of this relay; 0 for never
	// successesSince is the time of the first success after at least circuitOpenAfter without any; 0 for
	// never.
	successesSince    instant.Time
	notified          bool         // whether a call has failed or was rejected since the last success
	failingSince      instant.Time // time of the first such call
	notifiedAt        instant.Time // time at which that call ended
	failureShare      float64      // moving average of the share of failed calls, at resultAt
	resultAt          instant.Time // time of the last result that counted in failureShare
	suspicionRecorded bool         // whether a later process would restore a suspicion
	// siblingFailingSince and siblingFailedAt are the times of the first and of the latest failure at another
	// endpoint of the queue since the last success here; 0 for none.
	siblingFailingSince instant.Time
	siblingFailedAt     instant.Time
}

// healthSource says who observed a change in the health of an endpoint.
type healthSource int

const (
	firstHand  healthSource = iota // observed by this relay
	secondHand                     // reported by other relays, or inferred from the state of the whole zone
)

// newOutlierDetector returns the detector of an endpoint without any known outcomes.
func newOutlierDetector(classes int) outlierDetector {
	return outlierDetector{classFailures: make([]float64, classes)}
}

// countFailure counts a failed call with the given weight. It reports whether the failure counts towards an
// ejection, which it does not if the call was sent before a success within circuitOpenAfter.
func (o *outlierDetector) countFailure(now instant.Time, failed *call, weight float64) (counts bool) {
	for _, m := range failed.messages {
		o.classFailures[m.Class] += weight / float64(len(failed.messages))
	}
	if o.lastSuccessAt > failed.sentAt && o.succeededSince(now.Add(-circuitOpenAfter)) {
		return false
	}
	o.consecutiveFailures += weight
	o.lastFailureAt = now
	return true
}

// probesInFlight returns the number of calls in flight that were sent after the ejection.
func (ep *endpoint) probesInFlight() int {
	probes := 0
	for _, c := range ep.calls {
		if c.sentAt >= ep.outlier.ejectedAt {
			probes++
		}
	}
	return probes
}

// recordSuccess handles a successful call to an endpoint. An ejected endpoint enters slow start, unless its
// zone may not recover yet. capacityRemains is false if the destination reported that little of its
// allowance remains; the send rate then counts at most rateWindow of quiet time, and so rises slowly.
func (d *Dispatcher) recordSuccess(ep *endpoint, capacityRemains bool) {
	queue := ep.queue
	d.recordAcceptance(queue)
	d.recordIsolation(ep)
	failed, wasSuspected := ep.outlier.notified || ep.outlier.siblingFailedAt > 0, d.suspected(ep)
	if !ep.outlier.succeededSince(d.now.Add(-circuitOpenAfter)) {
		ep.outlier.successesSince = d.now
	}
	ep.outlier.recordResult(d.now, 0)
	ep.outlier.consecutiveFailures, ep.outlier.lastSuccessAt, queue.lastSuccessAt = 0, d.now, d.now
	ep.outlier.notified = false
	if ep.succeededCallAt >= ep.outlier.siblingFailedAt {
		ep.outlier.clearSiblingFailure()
	}
	ep.connections.raiseLimit()
	if failed && !ep.outlier.ejected {
		d.endSuspicion(ep, wasSuspected)
	}
	if ep.outlier.ejected && d.mayRecover(ep) {
		d.startSlowStart(ep, d.slowStartTokens(ep), firstHand)
		if d.settings.Gossip {
			d.emit(Broadcast{Message: encodeEndpointMessage(endpointRecoveredType, ep.ID)})
		}
		queue.peerReport = peerReport{}
		for _, other := range queue.endpoints {
			other.peerReport = peerReport{}
			d.advanceProbe(other)
		}
	}
	queue.circuit.consecutiveRejections, queue.outageSuspected = 0, false
	if !capacityRemains {
		queue.limiter.decreasedAt = max(queue.limiter.decreasedAt, d.now.Add(-rateWindow))
	}
}

// recordFailure handles a failed call, and ejects its endpoint after ejectionThreshold consecutive failures.
// A relay with a low rate whose probe budget is spent after one failure ejects it at half that threshold.
func (d *Dispatcher) recordFailure(ep *endpoint, failed *call, weight float64) {
	d.notify(ep, failed.sentAt)
	d.suspectSiblings(ep)
	ep.outlier.recordResult(d.now, 1)
	if !ep.outlier.countFailure(d.now, failed, weight) {
		d.recordOverlappedFailure(ep, failed)
		return
	}
	failures := ep.outlier.consecutiveFailures
	if failures >= ejectionThreshold || d.probeBudgetSpent(ep.queue, 1) && 2*failures >= ejectionThreshold {
		d.eject(ep)
	}
}

// eject ejects an endpoint, as an observation of this relay.
func (d *Dispatcher) eject(ep *endpoint) { d.ejectEndpoint(ep, firstHand) }

// ejectEndpoint ejects an endpoint and records that for a later process. If the endpoint is on a separate
// route, the messages that wait for it select a route again.
func (d *Dispatcher) ejectEndpoint(ep *endpoint, source healthSource) {
	if ep.outlier.ejected {
		return
	}
	d.startQueueBudget(ep.queue)
	d.setEjected(ep, true)
	ep.outlier.ejectedAt, ep.queue.outageSuspected = d.now, true
	ep.slowStart.active = false
	ep.slowStart.bucket.reset(d.initialTokens(ep), max(d.now, ep.queue.circuit.retryAfterUntil))
	isSecondHand := source == secondHand || d.zones.isolated
	ep.outlier.suspicionRecorded = false // the ejection replaces it
	d.emit(PersistHealth{Endpoint: ep.ID, Ejected: true, At: d.now, SecondHand: isSecondHand})
	if ep.queue.separateRoute {
		d.reroute(ep.queue)
	}
}

// setEjected sets or clears the ejection of an endpoint.
func (d *Dispatcher) setEjected(ep *endpoint, ejected bool) {
	d.updateAvailability(ep, func() { ep.outlier.ejected = ejected })
}
