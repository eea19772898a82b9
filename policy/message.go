package policy

import (
	"math"
	"slices"
	"time"

	"milletsail/internal/instant"
)

// This file holds messages, from their arrival until their key may be used again.

// message is a message taken and not yet retired.
type message struct {
	Arrived
	class           *Class
	sequence        int
	expiresAt       instant.Time
	queue           *queue // where it is held; nil while it is not
	attempts        []attempt
	openAttempts    int // attempts without an outcome
	done            bool
	keyBlockedUntil instant.Time // until when its key rests after it
}

type attempt struct {
	call        *call
	sentAt      instant.Time
	open        bool
	notExecuted bool // proved never to have run
}

// accept notes a new message, or gives nil where it makes no sense.
func (d *Dispatcher) accept(e Arrived) *message {
	if e.Class < 0 || e.Class >= len(d.settings.Classes) || d.messages[e.ID] != nil {
		return nil
	}
	d.lastSequence++
	m := &message{Arrived: e, class: &d.settings.Classes[e.Class], sequence: d.lastSequence,
		expiresAt: d.now.Add(e.TimeLeft)}
	d.messages[e.ID] = m
	d.unfinished = append(d.unfinished, m)
	if m.class.Ordered && m.Key != "" {
		d.orderedKeys[m.Key] = append(d.orderedKeys[m.Key], m)
	}
	if e.Resumed {
		d.resumeMessage(m)
		return nil
	}
	return m
}

// withdraw drops a message that nobody wants any more.
func (d *Dispatcher) withdraw(id string) {
	m := d.messages[id]
	if m == nil || m.done {
		return
	}
	d.complete(m)
	for i := range m.attempts {
		if m.attempts[i].open && d.settings.CanCancel {
			d.emit(Cancel{ID: m.ID, Attempt: i})
		}
	}
}

// firstPossibleExecution is the first attempt that may have run, or nil.
func (m *message) firstPossibleExecution() *attempt {
	for i := range m.attempts {
		if !m.attempts[i].notExecuted {
			return &m.attempts[i]
		}
	}
	return nil
}

// idempotencyExpiry is when a receiver that may have run a message may no longer know it, never where that is no matter: two
// ticks early, since the module's times are those of its batches.
func (d *Dispatcher) idempotencyExpiry(m *message) instant.Time {
	if first := m.firstPossibleExecution(); first != nil && m.class.Effect == IdempotentWithKey {
		return first.sentAt.Add(m.class.IdempotencyWindow).Add(-(2 * d.settings.BatchInterval))
	}
	return never
}

// valueAt is the share of its worth that a message has at an age.
func (c *Class) valueAt(age time.Duration) float64 {
	switch {
	case age <= c.LatencyObjective:
		return 1
	case age > c.Deadline:
		return 0
	case c.ExponentialDecay && c.LatencyObjective > 0:
		return math.Max(c.LateValueShare, math.Pow(0.5, float64(age-c.LatencyObjective)/float64(c.LatencyObjective)))
	}
	return 1 - (1-c.LateValueShare)*float64(age-c.LatencyObjective)/float64(c.Deadline-c.LatencyObjective)
}

// ageAt is the age at which a message has only a share of its worth left.
func (c *Class) ageAt(share float64) time.Duration {
	switch {
	case share <= c.LateValueShare:
		return c.Deadline
	case c.ExponentialDecay:
		return min(c.Deadline, c.LatencyObjective-time.Duration(math.Log2(share)*float64(c.LatencyObjective)))
	}
	return c.LatencyObjective + time.Duration((1-share)/(1-c.LateValueShare)*float64(c.Deadline-c.LatencyObjective))
}

// dequeue takes a message out of its queue.
func (m *message) dequeue() {
	if m.queue != nil {
		m.queue.waiting = remove(m.queue.waiting, m)
		m.queue = nil
	}
}

// complete notes that a message has its final answer.
func (d *Dispatcher) complete(m *message) {
	if !m.done {
		m.done = true
		m.dequeue()
		d.unfinished = remove(d.unfinished, m)
	}
	d.releaseKey(m)
}

// releaseKey forgets a message that is over and has nothing out, and lets the next of its key go.
func (d *Dispatcher) releaseKey(m *message) {
	if !m.done || m.openAttempts > 0 {
		return
	}
	if d.now < m.keyBlockedUntil {
		if !slices.Contains(d.blockingKeys, m) {
			d.blockingKeys = append(d.blockingKeys, m)
		}
		return
	}
	d.blockingKeys = remove(d.blockingKeys, m)
	delete(d.messages, m.ID)
	if line := remove(d.orderedKeys[m.Key], m); len(line) > 0 {
		d.orderedKeys[m.Key] = line
	} else {
		delete(d.orderedKeys, m.Key)
	}
}
