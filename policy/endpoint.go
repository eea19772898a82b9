package policy

import (
	"time"

	"milletsail/internal/instant"
)

// This file holds endpoints and what is known of their health.

// endpoint is one listed endpoint and what is known of its health.
type endpoint struct {
	Endpoint
	queue               *queue
	calls               []*call
	consecutiveFailures float64   // in a row
	classFailures       []float64 // failures in a row by class
	ejected             bool
	ejectedAt           instant.Time
	recoveredAt         instant.Time // first success after an outage; 0 for never
	slowStarting        bool
	tokenBucket         // of the budget while sick or ramping
	lastSuccessAt       instant.Time
	lastUsedAt          instant.Time
	succeededCallAt     instant.Time    // the start of the latest call that succeeded
	lastLatency         float64         // the latency of the last success
	connectionLimit     float64         // learned; 0 for none
	connectErrorAt      instant.Time    // when it last took no connection, here or elsewhere
	peerReport          peerReport      // of the fleet
	lastFailureAt       instant.Time    // the last failure of a call, here or as several relays found; 0 for never
	normalLatency       float64         // mean latency of calls that were not slow
	connectionsFullAt   instant.Time    // when it last was known to serve this relay all the same; 0 for never
	resourceBackoff     resourceBackoff // it gets nothing for a moment, since a call there could not be begun
	canary              *canaryState    // nil where it is not new on the list, or has proved itself
}

// connectionsFull tells whether an endpoint took no connection lately, of this relay or of another while it served
// this one: idle ones take the room of others there. Elsewhere closing them only costs a handshake again.
func (d *Dispatcher) connectionsFull(ep *endpoint) bool {
	return ep.connectionLimit > 0 || ep.connectionsFullAt > 0 && d.now.Sub(ep.connectionsFullAt) < d.settings.IdleConnTimeout
}

// Avoided is how many listed endpoints get nothing now but trials: out, silent, or on their way out. With a Directory in use,
// those on their way out are left out: the caller knows of all of them.
func (d *Dispatcher) Avoided() int {
	n := d.unavailableCount
	for _, q := range d.active { // only what has a call out can be silent
		for _, ep := range q.endpoints {
			if !ep.ejected && !ep.Draining && d.unresponsive(ep) {
				n++
			}
		}
	}
	return n
}

// isUnavailable tells whether Avoided counts an endpoint whatever the time is.
func (d *Dispatcher) isUnavailable(ep *endpoint) bool {
	if d.onDemand() {
		return !ep.Removed && ep.ejected && !ep.Draining
	}
	return !ep.Removed && (ep.ejected || ep.Draining)
}

// updateAvailability makes a change to an endpoint that may bear on what Avoided counts.
func (d *Dispatcher) updateAvailability(ep *endpoint, change func()) {
	d.unavailableCount -= int(indicator(d.isUnavailable(ep)))
	change()
	d.unavailableCount += int(indicator(d.isUnavailable(ep)))
}

// setEjected marks an endpoint as out or not.
func (d *Dispatcher) setEjected(ep *endpoint, sick bool) {
	d.updateAvailability(ep, func() { ep.ejected = sick })
}

// timeSinceRecovery is how long an endpoint has been back.
func (d *Dispatcher) timeSinceRecovery(ep *endpoint) time.Duration {
	if ep.ejected {
		return 0
	}
	return min(d.now.Sub(ep.recoveredAt), d.settings.SlowStartWindow)
}
