package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

const (
	// connectionLimitIncrease is what a success adds to a learned connection limit, in connections.
	connectionLimitIncrease = 0.05
	// connectErrorReporters is the mean number of relays that report a connection error which many meet at
	// once: gossip goes from each relay to all, so a few reports are enough.
	connectErrorReporters = 8
)

// connectionLimiter learns how many connections one endpoint accepts from this relay.
type connectionLimiter struct {
	limit   float64      // learned, in connections; 0 for none
	errorAt instant.Time // when the endpoint last did not accept a connection, here or elsewhere
	fullAt  instant.Time // when it last served this relay in spite of that; 0 for never
}

// allows reports whether the limit allows one call more than there are out.
func (c *connectionLimiter) allows(callsOut int) bool {
	return c.limit <= 0 || float64(callsOut+1) <= c.limit
}

// raiseLimit raises a learned limit after a success: other relays close idle connections.
func (c *connectionLimiter) raiseLimit() {
	if c.limit > 0 {
		c.limit += connectionLimitIncrease
	}
}

// lowerLimit limits the connections to those that are in use.
func (c *connectionLimiter) lowerLimit(callsOut int) { c.limit = math.Max(1, float64(callsOut)) }

// recordSuccess takes in a successful call: if it was sent before another one's connection was not accepted,
// the endpoint has no more connections to give.
func (c *connectionLimiter) recordSuccess(now, sentAt instant.Time) {
	if sentAt < c.errorAt {
		c.fullAt = now
	}
}

// recordError takes in a connection error, and reports whether it is the first in a rateWindow.
func (c *connectionLimiter) recordError(now instant.Time) (first bool) {
	if now < c.errorAt.Add(rateWindow) {
		return false
	}
	c.errorAt = now
	return true
}

// full reports whether the endpoint did not accept a connection lately, from this relay or from another while
// it served this one. Idle connections then take the capacity of others; elsewhere, closing them only costs a
// new handshake.
func (c *connectionLimiter) full(now instant.Time, idleTimeout time.Duration) bool {
	return c.limit > 0 || c.fullAt > 0 && now.Sub(c.fullAt) < idleTimeout
}
