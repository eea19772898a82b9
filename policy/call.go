package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

// This file holds calls that are out.

// cancelCall ends the wait for a call.
func (d *Dispatcher) cancelCall(c *call) {
	c.canceled = true
	for _, m := range c.messages {
		if i := len(m.attempts) - 1; m.attempts[i].call == c && m.attempts[i].open {
			d.emit(Cancel{ID: m.ID, Attempt: i})
		}
	}
}

// call is one call out: one message, or a bundle.
type call struct {
	endpoint     *endpoint
	number       int
	sentAt       instant.Time
	openAttempts int // messages without an outcome
	size         int // of its messages
	messages     []*message
	canceled     bool // to take its slot back
}

// startAttempt adds one message to a call.
func (d *Dispatcher) startAttempt(m *message, c *call) {
	m.dequeue()
	within := time.Duration(0)
	if by := d.idempotencyExpiry(m); by < never {
		within = by.Sub(d.now)
	}
	m.attempts = append(m.attempts, attempt{call: c, sentAt: d.now, open: true})
	m.openAttempts++
	c.openAttempts++
	c.size += m.Size
	c.messages = append(c.messages, m)
	d.emit(Send{ID: m.ID, Endpoint: c.endpoint.ID, Timeout: d.attemptTimeout(m, c), Call: c.number, WriteTimeout: within})
}

// startCall starts a call with a message and, where the kind allows it, others of the queue.
func (d *Dispatcher) startCall(q *queue, ep *endpoint, first *message) {
	d.lastCall++
	q.lastCall = d.lastCall
	c := &call{endpoint: ep, number: d.lastCall, sentAt: d.now}
	d.callsInFlight++
	d.activate(q)
	q.calls, ep.calls = append(q.calls, c), append(ep.calls, c)
	ep.lastUsedAt = d.now
	if q.sendRate > 0 {
		q.tokens = math.Max(0, d.sendTokens(q)-1)
	}
	if d.settings.Zones {
		d.recordSpillover(q, ep)
	}
	if d.settings.CanaryAnalysis {
		d.addCanaryCredit(q, ep)
	}
	if ep.ejected || ep.slowStarting {
		ep.tokens = math.Max(0, d.slowStartTokens(ep)-1)
	}
	if ep.ejected || d.singleProber(q) {
		q.probedAt = d.now
	}
	d.startAttempt(first, c)
	for i := 0; i < len(q.waiting) && c.openAttempts < q.maxBatch && !ep.ejected; {
		m := q.waiting[i]
		if d.attemptAllowed(m) && d.nearDeadline(q, m) == d.nearDeadline(q, first) && d.retryAllowed(m, ep) && (d.settings.MaxBatchBytes == 0 || c.size+m.Size <= d.settings.MaxBatchBytes) {
			d.startAttempt(m, c)
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
	a.notExecuted = e.Outcome.ProvesNotExecuted()
	m.openAttempts--
	if e.Outcome == NotStarted && e.Attempt == len(m.attempts)-1 { // its number goes to the next one
		m.attempts = m.attempts[:e.Attempt]
	}
	c.openAttempts--
	if c.openAttempts == 0 {
		d.callsInFlight--
		c.endpoint.calls, c.endpoint.queue.calls = remove(c.endpoint.calls, c), remove(c.endpoint.queue.calls, c)
	}
	return m, c
}
