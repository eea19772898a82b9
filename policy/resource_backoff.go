package policy

import (
	"slices"
	"time"

	"milletsail/internal/instant"
)

const (
	// initialResourceBackoff is the pause of an endpoint after a call that could not be started. It doubles
	// with each further one until a call starts.
	initialResourceBackoff = 20 * time.Millisecond
	// maxResourceBackoff bounds that pause: service has to be back within seconds of the shortage's end.
	maxResourceBackoff = 320 * time.Millisecond
)

// resourceBackoff pauses one endpoint after a call that could not be started for want of a local resource:
// file descriptors, ports, kernel memory, a route. That says nothing of the endpoint, and uses up no attempt.
type resourceBackoff struct {
	until instant.Time
	delay time.Duration
}

// extend starts the next pause, unless one lasts: several calls that were out may fail together.
func (b *resourceBackoff) extend(now instant.Time) {
	if now < b.until {
		return
	}
	b.delay = min(max(initialResourceBackoff, 2*b.delay), maxResourceBackoff)
	b.until = now.Add(b.delay)
}

// resourcesExhausted reports whether no call can be started to any endpoint of a queue.
func (q *queue) resourcesExhausted(now instant.Time) bool {
	startable := func(ep *endpoint) bool { return now >= ep.resourceBackoff.until }
	return len(q.endpoints) > 0 && !slices.ContainsFunc(q.endpoints, startable)
}

// recordNotStarted takes in that a call could not be started for one of its messages: its endpoint gets
// nothing for a moment, and what the call took of the send rate and the slow start budget is returned.
func (d *Dispatcher) recordNotStarted(c *call) {
	ep := c.endpoint
	if c.openAttempts == 0 && ep.queue.limiter.rate > 0 {
		ep.queue.limiter.bucket.tokens++
	}
	if c.openAttempts == 0 && ep.limitedBySlowStart() {
		ep.slowStart.bucket.tokens++
	}
	ep.resourceBackoff.extend(d.now)
}
