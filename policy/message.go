package policy

import (
	"slices"

	"milletsail/internal/instant"
)

// message is the state of one message, which is kept from its arrival until its key is released.
type message struct {
	Arrived
	class           *Class
	sequence        int // position in the order of arrival
	expiresAt       instant.Time
	queue           *queue // queue in which the message waits, or nil
	attempts        []attempt
	openAttempts    int          // number of attempts without an outcome
	done            bool         // whether the message has its final answer
	keyBlockedUntil instant.Time // time until which no other message with the same key may be sent
}

// attempt is one attempt of a message.
type attempt struct {
	call        *call
	sentAt      instant.Time
	open        bool // whether the outcome is still outstanding
	notExecuted bool // whether the outcome proves that the message was not executed
}

// dequeue removes a message from the queue in which it waits, if any.
func (m *message) dequeue() {
	if m.queue != nil {
		m.queue.waiting = remove(m.queue.waiting, m)
		m.queue = nil
	}
}

// messageTable holds the messages of a dispatcher from arrival until their keys are released.
type messageTable struct {
	byID         map[string]*message
	unfinished   []*message // messages without a final answer, in the order of arrival
	lastSequence int
}

// add adds a message and gives it the next sequence number.
func (t *messageTable) add(m *message) {
	t.lastSequence++
	m.sequence = t.lastSequence
	t.byID[m.ID] = m
	t.unfinished = append(t.unfinished, m)
}

// addArrival adds an arriving message, and returns it if it needs an admission decision. It returns nil for a
// resumed message, and ignores one with an unknown class or a known ID.
func (d *Dispatcher) addArrival(arrived Arrived) *message {
	if arrived.Class < 0 || arrived.Class >= len(d.settings.Classes) || d.messages.byID[arrived.ID] != nil {
		return nil
	}
	m := &message{
		Arrived:   arrived,
		class:     &d.settings.Classes[arrived.Class],
		expiresAt: d.now.Add(arrived.TimeLeft),
	}
	d.messages.add(m)
	d.keys.add(m)
	if arrived.Resumed {
		d.resumeMessage(m)
		return nil
	}
	return m
}

// withdraw ends a message that is no longer wanted, and cancels its attempts if Settings.CanCancel is set.
func (d *Dispatcher) withdraw(id string) {
	m := d.messages.byID[id]
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

// complete marks a message as done: it has its final answer and needs no further attempts.
func (d *Dispatcher) complete(m *message) {
	if !m.done {
		m.done = true
		m.dequeue()
		d.messages.unfinished = remove(d.messages.unfinished, m)
	}
	d.releaseKey(m)
}

// releaseKey removes a message that is done and has no attempt in flight, so that the next message with the
// same key can be sent. While the key has to stay blocked, the message is kept until then.
func (d *Dispatcher) releaseKey(m *message) {
	if !m.done || m.openAttempts > 0 {
		return
	}
	if d.now < m.keyBlockedUntil {
		d.keys.block(m)
		return
	}
	d.keys.release(m)
	delete(d.messages.byID, m.ID)
}

// releaseBlockedKeys releases the keys whose blocking time is over.
func (d *Dispatcher) releaseBlockedKeys() {
	for _, m := range slices.Clone(d.keys.blocked) {
		d.releaseKey(m)
	}
}
