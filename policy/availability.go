package policy

// UnavailableEndpoints returns the number of listed endpoints that receive no calls other than probes,
// because they are ejected, unresponsive or draining. With a Directory in use, draining endpoints are not
// counted: the caller counts them itself, since the dispatcher may not hold state for all of them.
func (d *Dispatcher) UnavailableEndpoints() int {
	unavailable := d.unavailableCount
	for _, q := range d.active { // only an endpoint with a call in flight can be unresponsive
		for _, ep := range q.endpoints {
			if !ep.outlier.ejected && !ep.Draining && ep.unresponsive(d.now) {
				unavailable++
			}
		}
	}
	return unavailable
}

// isUnavailable reports whether an endpoint belongs in unavailableCount: whether UnavailableEndpoints counts
// it for a reason other than being unresponsive, which depends on the current time.
func (d *Dispatcher) isUnavailable(ep *endpoint) bool {
	if d.onDemand() {
		return !ep.Removed && ep.outlier.ejected && !ep.Draining
	}
	return !ep.Removed && (ep.outlier.ejected || ep.Draining)
}

// updateAvailability calls change, which may alter the result of isUnavailable for the endpoint, and adjusts
// unavailableCount.
func (d *Dispatcher) updateAvailability(ep *endpoint, change func()) {
	if d.isUnavailable(ep) {
		d.unavailableCount--
	}
	change()
	if d.isUnavailable(ep) {
		d.unavailableCount++
	}
}
