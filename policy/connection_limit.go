package policy

import "milletsail/internal/instant"

const (
	// connectionLimitIncrease is what a success adds to a learned connection limit, in connections.
	connectionLimitIncrease = 0.05
	// connectErrorReporters is the mean number of relays that report a connection error which many meet at
	// once: gossip goes from each relay to all, so a few reports are enough.
	connectErrorReporters = 8
)

// connectionLimiter knows how many connections one endpoint accepts from this relay.
type connectionLimiter struct {
	limit   float64      // learned; 0 for none
	errorAt instant.Time // when the endpoint last did not accept a connection, here or elsewhere
	fullAt  instant.Time // when it last served this relay in spite of that; 0 for never
}

// connectionsFull tells whether an endpoint took no connection lately, of this relay or of another while it
// served this one: idle ones take the room of others there. Elsewhere closing them only costs a handshake
// again.
func (d *Dispatcher) connectionsFull(ep *endpoint) bool {
	return ep.connections.limit > 0 || ep.connections.fullAt > 0 && d.now.Sub(ep.connections.fullAt) < d.settings.IdleConnTimeout
}
