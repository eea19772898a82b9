package policy

const (
	// connectionLimitIncrease is what a success adds to a learned connection limit, in connections.
	connectionLimitIncrease = 0.05
	// connectErrorReporters is the mean number of relays that report a connection error which many meet at
	// once: gossip goes from each relay to all, so a few reports are enough.
	connectErrorReporters = 8
)

// connectionsFull tells whether an endpoint took no connection lately, of this relay or of another while it
// served this one: idle ones take the room of others there. Elsewhere closing them only costs a handshake
// again.
func (d *Dispatcher) connectionsFull(ep *endpoint) bool {
	return ep.connectionLimit > 0 || ep.connectionsFullAt > 0 && d.now.Sub(ep.connectionsFullAt) < d.settings.IdleConnTimeout
}
