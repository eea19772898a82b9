package policy

// UnavailableEndpoints returns the number of listed endpoints that get nothing now but probes: ejected, unresponsive or
// draining. With a Directory in use, draining ones are left out, since the caller knows of all of them.
func (d *Dispatcher) UnavailableEndpoints() int {
	avoided := d.unavailableCount
	for _, q := range d.active { // only an endpoint with a call out can be unresponsive
		for _, ep := range q.endpoints {
			if !ep.outlier.ejected && !ep.Draining && ep.unresponsive(d.now) {
				avoided++
			}
		}
	}
	return avoided
}

// isUnavailable reports whether Avoided counts an endpoint whatever the time is.
func (d *Dispatcher) isUnavailable(ep *endpoint) bool {
	if d.onDemand() {
		return !ep.Removed && ep.outlier.ejected && !ep.Draining
	}
	return !ep.Removed && (ep.outlier.ejected || ep.Draining)
}

// updateAvailability makes a change to an endpoint that may change isUnavailable, and keeps the count.
func (d *Dispatcher) updateAvailability(ep *endpoint, change func()) {
	if d.isUnavailable(ep) {
		d.unavailableCount--
	}
	change()
	if d.isUnavailable(ep) {
		d.unavailableCount++
	}
}
