package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

// This file holds calls that are out.

// callOff ends the wait for a call.
func (d *Dispatcher) callOff(c *call) {
	c.canceled = true
	for _, m := range c.msgs {
		if i := len(m.attempts) - 1; m.attempts[i].call == c && m.attempts[i].open {
			d.act(Cancel{ID: m.ID, Attempt: i})
		}
	}
}

// call is one call out: one message, or a bundle.
type call struct {
	ep       *endpoint
	no       int
	sent     instant.Time
	open     int // messages without an outcome
	size     int // of its messages
	msgs     []*message
	canceled bool // to take its slot back
}

// attempt adds one message to a call.
func (d *Dispatcher) attempt(m *message, c *call) {
	m.release()
	within := time.Duration(0)
	if by := d.forgotten(m); by < never {
		within = by.Sub(d.now)
	}
	m.attempts = append(m.attempts, attempt{call: c, sent: d.now, open: true})
	m.open++
	c.open++
	c.size += m.Size
	c.msgs = append(c.msgs, m)
	d.act(Send{ID: m.ID, Endpoint: c.ep.ID, Timeout: d.timeout(m, c), Call: c.no, WriteTimeout: within})
}

// send starts a call with a message and, where the kind allows it, others of the queue.
func (d *Dispatcher) send(q *queue, ep *endpoint, first *message) {
	d.turn++
	q.served = d.turn
	c := &call{ep: ep, no: d.turn, sent: d.now}
	d.out++
	d.wake(q)
	q.out, ep.out = append(q.out, c), append(ep.out, c)
	ep.lastUsed = d.now
	if q.pace > 0 {
		q.tokens = math.Max(0, d.tokens(q)-1)
	}
	if d.s.Zones {
		d.spilled(q, ep)
	}
	if d.s.CanaryAnalysis {
		d.credit(q, ep)
	}
	if ep.sick || ep.ramping {
		ep.tokens = math.Max(0, d.epTokens(ep)-1)
	}
	if ep.sick || d.fenced(q) {
		q.triedAt = d.now
	}
	d.attempt(first, c)
	for i := 0; i < len(q.held) && c.open < q.bundle && !ep.sick; {
		m := q.held[i]
		if d.sendable(m) && d.short(q, m) == d.short(q, first) && d.repeatable(m, ep) && (d.s.MaxBatchBytes == 0 || c.size+m.Size <= d.s.MaxBatchBytes) {
			d.attempt(m, c)
			continue
		}
		i++
	}
}

// closeAttempt notes that an attempt has ended, and gives its message and its call: nil where it is unknown or has ended before. A
// call gives its slot back with the last of its messages. One that was not begun leaves no trace.
func (d *Dispatcher) closeAttempt(e AttemptEnded) (*message, *call) {
	m := d.messages[e.ID]
	if m == nil || e.Attempt < 0 || e.Attempt >= len(m.attempts) || !m.attempts[e.Attempt].open {
		return nil, nil
	}
	a := &m.attempts[e.Attempt]
	c := a.call
	a.open = false
	a.unrun = e.Outcome.ProvesNotExecuted()
	m.open--
	if e.Outcome == NotStarted && e.Attempt == len(m.attempts)-1 { // its number goes to the next one
		m.attempts = m.attempts[:e.Attempt]
	}
	c.open--
	if c.open == 0 {
		d.out--
		c.ep.out, c.ep.q.out = remove(c.ep.out, c), remove(c.ep.q.out, c)
	}
	return m, c
}
