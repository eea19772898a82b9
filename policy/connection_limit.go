package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

const (
	// connectionLimitIncrease is the number of connections by which each success raises a learned limit.
	connectionLimitIncrease = 0.05
	// connectErrorReporters is the mean number of relays that broadcast a connection error which many relays
	// meet at once. Gossip reaches all relays, so a few reports are enough.
	connectErrorReporters = 8
)

// connectionLimiter learns how many connections one endpoint accepts from this relay.
type connectionLimiter struct {
	limit float64 // learned limit, in connections; 0 for none
	// errorAt is the time of the last recorded connection error. Those of other relays are learned by gossip;
	// those of this relay are recorded only with Settings.Gossip, and at most once in rateWindow.
	errorAt instant.Time
	fullAt  instant.Time // when a call that was in flight at errorAt last succeeded; 0 for never
}

// allows reports whether the limit allows one more call beside those in flight.
func (c *connectionLimiter) allows(callsInFlight int) bool {
	return c.limit <= 0 || float64(callsInFlight+1) <= c.limit
}

// raiseLimit raises a learned limit after a success, since other relays close their idle connections over
// time.
func (c *connectionLimiter) raiseLimit() {
	if c.limit > 0 {
		c.limit += connectionLimitIncrease
	}
}

// lowerLimit sets the limit to the number of calls in flight, but at least 1.
func (c *connectionLimiter) lowerLimit(callsInFlight int) {
	c.limit = math.Max(1, float64(callsInFlight))
}

// recordSuccess handles a successful call. If the call was sent before the last connection error, the
// endpoint is up and has run out of connections.
func (c *connectionLimiter) recordSuccess(now, sentAt instant.Time) {
	if sentAt < c.errorAt {
		c.fullAt = now
	}
}

// recordError handles a connection error, and reports whether it is the first within rateWindow. Only the
// first is recorded.
func (c *connectionLimiter) recordError(now instant.Time) (first bool) {
	if now < c.errorAt.Add(rateWindow) {
		return false
	}
	c.errorAt = now
	return true
}

// full reports whether the endpoint has run out of connections lately: this relay has a learned limit, or the
// endpoint refused a connection while it served a call of this relay. Idle connections then block other
// relays. For other endpoints, closing idle connections would only cost a new handshake.
func (c *connectionLimiter) full(now instant.Time, idleTimeout time.Duration) bool {
	return c.limit > 0 || c.fullAt > 0 && now.Sub(c.fullAt) < idleTimeout
}
