package policy

import (
	"slices"
	"time"

	"milletsail/internal/instant"
)

// This file decides what to do where a call could not be begun for a lack of this machine: descriptors, ports, memory of the
// kernel, a route. It says nothing of the endpoint, and no attempt is used up.

// The pause of an endpoint after a call that could not be begun: lackPause, and twice as long after each further one until a
// call there begins, up to lackPauseMost. Service has to be back within seconds of the lack's end.
const lackPause, lackPauseMost = 20 * time.Millisecond, 320 * time.Millisecond

// lack is the pause of an endpoint to which no call could be begun.
type lack struct {
	until instant.Time
	pause time.Duration
}

// lacks takes in that a call could not be begun for one of its messages: its endpoint gets nothing for a moment, and what the
// call took of pace and budget is there again.
func (d *Dispatcher) lacks(c *call) {
	q, ep := c.ep.q, c.ep
	if c.open == 0 && q.pace > 0 {
		q.tokens++
	}
	if c.open == 0 && (ep.sick || ep.ramping) {
		ep.tokens++
	}
	if d.now < ep.lack.until { // one of several that were out
		return
	}
	ep.lack.pause = min(max(lackPause, 2*ep.lack.pause), lackPauseMost)
	ep.lack.until = d.now.Add(ep.lack.pause)
}

// begins notes that a call to an endpoint has begun.
func (ep *endpoint) begins() { ep.lack = lack{} }

// lacking tells whether no call can be begun to any endpoint of a queue.
func (q *queue) lacking(now instant.Time) bool {
	return len(q.eps) > 0 && !slices.ContainsFunc(q.eps, func(ep *endpoint) bool { return now >= ep.lack.until })
}
