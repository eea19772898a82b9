package policy

import (
	"time"

	"milletsail/internal/instant"
)

// This file holds endpoints and what is known of their health.

// endpoint is one listed endpoint and what is known of its health.
type endpoint struct {
	Endpoint
	q         *queue
	out       []*call
	failures  float64   // in a row
	strikes   []float64 // failures in a row by class
	sick      bool
	sickAt    instant.Time
	recovered instant.Time // first success after an outage; 0 for never
	ramping   bool
	bucket    // of the budget while sick or ramping
	lastOK    instant.Time
	lastUsed  instant.Time
	lastBegun instant.Time // the start of the latest call that succeeded
	lastTook  float64      // the latency of the last success
	connCap   float64      // learned; 0 for none
	noRoomAt  instant.Time // when it last took no connection, here or elsewhere
	word      word         // of the fleet
	failedAt  instant.Time // the last failure of a call, here or as several relays found; 0 for never
	usual     float64      // mean latency of calls that were not slow
	crowdedAt instant.Time // when it last was known to serve this relay all the same; 0 for never
	lack      lack         // it gets nothing for a moment, since a call there could not be begun
	trial     *trial       // nil where it is not new on the list, or has proved itself
}

// crowded tells whether an endpoint took no connection lately, of this relay or of another while it served
// this one: idle ones take the room of others there. Elsewhere closing them only costs a handshake again.
func (d *Dispatcher) crowded(ep *endpoint) bool {
	return ep.connCap > 0 || ep.crowdedAt > 0 && d.now.Sub(ep.crowdedAt) < d.s.IdleConnTimeout
}

// Avoided is how many listed endpoints get nothing now but trials: out, silent, or on their way out. With a Directory in use,
// those on their way out are left out: the caller knows of all of them.
func (d *Dispatcher) Avoided() int {
	n := d.bad
	for _, q := range d.active { // only what has a call out can be silent
		for _, ep := range q.eps {
			if !ep.sick && !ep.Draining && d.silent(ep) {
				n++
			}
		}
	}
	return n
}

// countsAsBad tells whether Avoided counts an endpoint whatever the time is.
func (d *Dispatcher) countsAsBad(ep *endpoint) bool {
	if d.onDemand() {
		return !ep.Removed && ep.sick && !ep.Draining
	}
	return !ep.Removed && (ep.sick || ep.Draining)
}

// update makes a change to an endpoint that may bear on what Avoided counts.
func (d *Dispatcher) update(ep *endpoint, change func()) {
	d.bad -= int(truth(d.countsAsBad(ep)))
	change()
	d.bad += int(truth(d.countsAsBad(ep)))
}

// setSick marks an endpoint as out or not.
func (d *Dispatcher) setSick(ep *endpoint, sick bool) {
	d.update(ep, func() { ep.sick = sick })
}

// coldFor is how long an endpoint has been back.
func (d *Dispatcher) coldFor(ep *endpoint) time.Duration {
	if ep.sick {
		return 0
	}
	return min(d.now.Sub(ep.recovered), d.s.SlowStartWindow)
}
