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

// Avoided is how many listed endpoints get nothing now but trials: out, silent, or on their way out. With a
// Directory in use, those on their way out are left out: the caller knows of all of them.
func (d *Dispatcher) Avoided() int {
	n := d.unavailableCount
	for _, q := range d.active { // only what has a call out can be silent
		for _, ep := range q.endpoints {
			if !ep.outlier.ejected && !ep.Draining && d.unresponsive(ep) {
				n++
			}
		}
	}
	return n
}

// isUnavailable tells whether Avoided counts an endpoint whatever the time is.
func (d *Dispatcher) isUnavailable(ep *endpoint) bool {
	if d.onDemand() {
		return !ep.Removed && ep.outlier.ejected && !ep.Draining
	}
	return !ep.Removed && (ep.outlier.ejected || ep.Draining)
}

// updateAvailability makes a change to an endpoint that may bear on what Avoided counts.
func (d *Dispatcher) updateAvailability(ep *endpoint, change func()) {
	d.unavailableCount -= int(indicator(d.isUnavailable(ep)))
	change()
	d.unavailableCount += int(indicator(d.isUnavailable(ep)))
}

// setEjected marks an endpoint as out or not.
func (d *Dispatcher) setEjected(ep *endpoint, sick bool) {
	d.updateAvailability(ep, func() { ep.outlier.ejected = sick })
}

// outlierState is what outlier detection knows of one endpoint.
type outlierState struct {
	consecutiveFailures float64
	classFailures       []float64 // consecutive failures by class
	ejected             bool
	ejectedAt           instant.Time
	lastFailureAt       instant.Time // of a call here, or as several relays report; 0 for never
	lastSuccessAt       instant.Time // 0 for never
}

// newOutlierState returns the state of an endpoint that nothing is known of.
func newOutlierState(classes int) outlierState {
	return outlierState{classFailures: make([]float64, classes)}
}

// recordSuccess notes a success: an endpoint that was sick starts its ramp.
func (d *Dispatcher) recordSuccess(ep *endpoint, room bool) {
	q := ep.queue
	ep.outlier.consecutiveFailures, ep.outlier.lastSuccessAt, q.lastSuccessAt = 0, d.now, d.now
	if ep.connections.limit > 0 {
		ep.connections.limit += connectionLimitIncrease // other relays close idle connections
	}
	if ep.outlier.ejected && d.mayRecover(ep) {
		d.startSlowStart(ep, math.Max(d.slowStartTokens(ep), d.initialTokens(ep)), false)
		if d.settings.Gossip {
			d.emit(Broadcast{Message: encodeEndpointMessage(endpointRecoveredType, ep.ID)})
		}
		q.peerReport = peerReport{}
		for _, other := range q.endpoints {
			other.peerReport = peerReport{}
			other.slowStart.bucket.tokens = math.Max(other.slowStart.bucket.tokens, 1) // outages mostly end for a whole destination
		}
	}
	q.circuit.consecutiveRejections, q.outageSuspected = 0, false
	if !room { // calm starts anew
		q.limiter.decreasedAt = max(q.limiter.decreasedAt, d.now.Add(-rateWindow))
	}
}

// recordFailure notes a failure of an endpoint; one of a call sent before its last success tells nothing new.
func (d *Dispatcher) recordFailure(ep *endpoint, c *call, n float64) {
	for _, m := range c.messages {
		ep.outlier.classFailures[m.Class] += n / float64(len(c.messages))
	}
	if ep.outlier.lastSuccessAt > c.sentAt {
		return
	}
	ep.outlier.consecutiveFailures, ep.outlier.lastFailureAt = ep.outlier.consecutiveFailures+n, d.now
	if ep.outlier.consecutiveFailures >= ejectionThreshold || d.probeBudgetSpent(ep.queue, 1) && 2*ep.outlier.consecutiveFailures >= ejectionThreshold {
		d.eject(ep)
	}
}

// eject marks an endpoint sick and lets the messages of its route choose again.
func (d *Dispatcher) eject(ep *endpoint) { d.ejectEndpoint(ep, false) }

func (d *Dispatcher) ejectEndpoint(ep *endpoint, hearsay bool) {
	if ep.outlier.ejected {
		return
	}
	d.setEjected(ep, true)
	ep.slowStart.active, ep.outlier.ejectedAt, ep.queue.outageSuspected = false, d.now, true
	ep.slowStart.bucket.tokens, ep.slowStart.bucket.updatedAt = d.initialTokens(ep), max(d.now, ep.queue.circuit.retryAfterUntil)
	d.emit(PersistHealth{Endpoint: ep.ID, Ejected: true, At: d.now, SecondHand: hearsay || d.zones.isolated})
	if ep.queue.separateRoute {
		d.reroute(ep.queue)
	}
}
