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

// resourceBackoff is the pause of an endpoint to which no call could be begun.
type resourceBackoff struct {
	until instant.Time
	delay time.Duration
}

// recordNotStarted takes in that a call could not be begun for one of its messages: its endpoint gets nothing
// for a moment, and what the call took of pace and budget is there again.
func (d *Dispatcher) recordNotStarted(c *call) {
	q, ep := c.endpoint.queue, c.endpoint
	if c.openAttempts == 0 && q.limiter.rate > 0 {
		q.limiter.bucket.tokens++
	}
	if c.openAttempts == 0 && (ep.outlier.ejected || ep.slowStart.active) {
		ep.slowStart.bucket.tokens++
	}
	if d.now < ep.resourceBackoff.until { // one of several that were out
		return
	}
	ep.resourceBackoff.delay = min(max(initialResourceBackoff, 2*ep.resourceBackoff.delay), maxResourceBackoff)
	ep.resourceBackoff.until = d.now.Add(ep.resourceBackoff.delay)
}

// recordStarted notes that a call to an endpoint has begun.
func (ep *endpoint) recordStarted() { ep.resourceBackoff = resourceBackoff{} }

// resourcesExhausted tells whether no call can be begun to any endpoint of a queue.
func (q *queue) resourcesExhausted(now instant.Time) bool {
	return len(q.endpoints) > 0 && !slices.ContainsFunc(q.endpoints, func(ep *endpoint) bool { return now >= ep.resourceBackoff.until })
}
