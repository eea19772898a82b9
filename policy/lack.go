package policy

import "time"

// This file decides what to do where a call could not be begun for a lack of this machine: descriptors, ports, memory of the
// kernel, a route. It says nothing of the endpoint, and no attempt is used up.

// The pause of a queue after a call that could not be begun: lackPause, and twice as long after each further one until a call
// begins, up to lackPauseMost. Service has to be back within seconds of the lack's end.
const lackPause, lackPauseMost = 20 * time.Millisecond, 320 * time.Millisecond

// lacks takes in that a call could not be begun for one of its messages: its queue waits a moment before it sends again, and
// what the call took of its pace and budget is there again.
func (d *Dispatcher) lacks(c *call) {
	q, ep := c.ep.q, c.ep
	if c.open == 0 && q.pace > 0 {
		q.tokens++
	}
	if c.open == 0 && (ep.sick || ep.ramping) {
		ep.tokens++
	}
	if d.now < q.lackUntil { // one of several that were out
		return
	}
	q.lackPause = min(max(lackPause, 2*q.lackPause), lackPauseMost)
	q.lackUntil = d.now.Add(q.lackPause)
}

// begins notes that calls can be begun again.
func (q *queue) begins() { q.lackPause, q.lackUntil = 0, 0 }
