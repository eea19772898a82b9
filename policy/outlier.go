package policy

import (
	"math"

	"milletsail/internal/instant"
)

const (
	// ejectionThreshold is the number of consecutive failures that ejects an endpoint: single errors are
	// ordinary.
	ejectionThreshold = 2
	// errorResponseWeight is what an error response or a broken connection adds to the consecutive failures:
	// a process is alive there, so it counts half.
	errorResponseWeight = 0.5
	// maxUnhealthyCalls is the number of calls out at once to an ejected or unresponsive endpoint: one that
	// may be stalled and one that probes.
	maxUnhealthyCalls = 2
)

// outlierDetector follows the health of one endpoint: consecutive failures eject it, as in Envoy's outlier
// detection, and a success ends that. It belongs to one endpoint and is not safe for concurrent use.
type outlierDetector struct {
	consecutiveFailures float64   // error responses count errorResponseWeight
	classFailures       []float64 // consecutive failures by class, for the choice of endpoints
	ejected             bool
	ejectedAt           instant.Time
	lastFailureAt       instant.Time // of a call here, or as several relays report; 0 for never
	lastSuccessAt       instant.Time // 0 for never
}

// healthSource says who observed the health of an endpoint.
type healthSource int

const (
	firstHand  healthSource = iota // this relay
	secondHand                     // other relays, or what is known of the whole zone
)

// newOutlierDetector returns the detector of an endpoint that nothing is known of.
func newOutlierDetector(classes int) outlierDetector {
	return outlierDetector{classFailures: make([]float64, classes)}
}

// countFailure counts a failed call with a weight, and reports whether it says anything new of the endpoint:
// not if it was sent before the last success.
func (o *outlierDetector) countFailure(now instant.Time, failed *call, weight float64) (counts bool) {
	for _, m := range failed.messages {
		o.classFailures[m.Class] += weight / float64(len(failed.messages))
	}
	if o.lastSuccessAt > failed.sentAt {
		return false
	}
	o.consecutiveFailures += weight
	o.lastFailureAt = now
	return true
}

// probesOut is the number of calls out that were sent after the ejection.
func (ep *endpoint) probesOut() int {
	probes := 0
	for _, c := range ep.calls {
		if c.sentAt >= ep.outlier.ejectedAt {
			probes++
		}
	}
	return probes
}

// recordSuccess takes in a successful call: an ejected endpoint starts its slow start. Where the destination
// reports little remaining capacity, the send rate's quiet time starts anew.
func (d *Dispatcher) recordSuccess(ep *endpoint, capacityRemains bool) {
	queue := ep.queue
	ep.outlier.consecutiveFailures, ep.outlier.lastSuccessAt, queue.lastSuccessAt = 0, d.now, d.now
	ep.connections.raiseLimit()
	if ep.outlier.ejected && d.mayRecover(ep) {
		d.startSlowStart(ep, math.Max(d.slowStartTokens(ep), d.initialTokens(ep)), firstHand)
		if d.settings.Gossip {
			d.emit(Broadcast{Message: encodeEndpointMessage(endpointRecoveredType, ep.ID)})
		}
		queue.peerReport = peerReport{}
		for _, other := range queue.endpoints {
			other.peerReport = peerReport{}
			bucket := &other.slowStart.bucket
			bucket.tokens = math.Max(bucket.tokens, 1) // outages mostly end for a whole destination
		}
	}
	queue.circuit.consecutiveRejections, queue.outageSuspected = 0, false
	if !capacityRemains {
		queue.limiter.decreasedAt = max(queue.limiter.decreasedAt, d.now.Add(-rateWindow))
	}
}

// recordFailure takes in a failed call, and ejects its endpoint after ejectionThreshold of them. A relay with
// a low rate whose probe budget is spent after one failure ejects it at half of the threshold.
func (d *Dispatcher) recordFailure(ep *endpoint, failed *call, weight float64) {
	if !ep.outlier.countFailure(d.now, failed, weight) {
		return
	}
	failures := ep.outlier.consecutiveFailures
	if failures >= ejectionThreshold || d.probeBudgetSpent(ep.queue, 1) && 2*failures >= ejectionThreshold {
		d.eject(ep)
	}
}

// eject ejects an endpoint that this relay observed to fail.
func (d *Dispatcher) eject(ep *endpoint) { d.ejectEndpoint(ep, firstHand) }

// ejectEndpoint ejects an endpoint, and lets the messages of its route choose again.
func (d *Dispatcher) ejectEndpoint(ep *endpoint, source healthSource) {
	if ep.outlier.ejected {
		return
	}
	d.setEjected(ep, true)
	ep.outlier.ejectedAt, ep.queue.outageSuspected = d.now, true
	ep.slowStart.active = false
	ep.slowStart.bucket.reset(d.initialTokens(ep), max(d.now, ep.queue.circuit.retryAfterUntil))
	isSecondHand := source == secondHand || d.zones.isolated
	d.emit(PersistHealth{Endpoint: ep.ID, Ejected: true, At: d.now, SecondHand: isSecondHand})
	if ep.queue.separateRoute {
		d.reroute(ep.queue)
	}
}

// setEjected marks an endpoint as ejected or not.
func (d *Dispatcher) setEjected(ep *endpoint, ejected bool) {
	d.updateAvailability(ep, func() { ep.outlier.ejected = ejected })
}
