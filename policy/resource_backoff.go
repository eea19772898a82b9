package policy

import (
	"slices"
	"time"

	"milletsail/internal/instant"
)

const (
	// initialResourceBackoff is the pause of an endpoint after a call that could not be started. Each
	// further such call doubles it, until a call that was started has ended.
	initialResourceBackoff = 20 * time.Millisecond
	// maxResourceBackoff bounds that pause, so that calls resume soon after the shortage ends.
	maxResourceBackoff = 320 * time.Millisecond
)

// resourceBackoff pauses one endpoint after a call that could not be started because a local resource is
// exhausted: file descriptors, ports, kernel memory or a route. Such a call does not affect the health of the
// endpoint and uses up no attempt.
type resourceBackoff struct {
	until instant.Time  // end of the pause
	delay time.Duration // duration of the last pause; 0 once a started call has ended
}

// extend starts the next, longer pause. It does nothing during a pause, since several calls in flight may
// fail together.
func (b *resourceBackoff) extend(now instant.Time) {
	if now < b.until {
		return
	}
	b.delay = min(max(initialResourceBackoff, 2*b.delay), maxResourceBackoff)
	b.until = now.Add(b.delay)
}

// resourcesExhausted reports whether all endpoints of a queue are paused because calls could not be started.
func (q *queue) resourcesExhausted(now instant.Time) bool {
	canStart := func(ep *endpoint) bool { return now >= ep.resourceBackoff.until }
	return len(q.endpoints) > 0 && !slices.ContainsFunc(q.endpoints, canStart)
}

// recordNotStarted handles one attempt of a call that could not be started: it pauses the endpoint, and with
// the last attempt of the call returns the tokens that the call took from the send rate and the slow start
// budget.
func (d *Dispatcher) recordNotStarted(c *call) {
	ep := c.endpoint
	if c.openAttempts == 0 && ep.queue.limiter.rate > 0 {
		ep.queue.limiter.bucket.tokens++
	}
	if c.openAttempts == 0 && d.limitedBySlowStart(ep) {
		ep.returnSlowStartToken()
	}
	ep.resourceBackoff.extend(d.now)
}
