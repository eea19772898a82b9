package policy

import (
	"slices"

	"milletsail/internal/instant"
)

// message is a message from its arrival until its key is released.
type message struct {
	Arrived
	class           *Class
	sequence        int // order of arrival
	expiresAt       instant.Time
	queue           *queue // in which it waits, or nil
	attempts        []attempt
	openAttempts    int          // attempts without an outcome
	done            bool         // it has its final answer
	keyBlockedUntil instant.Time // until when no other message of its key may be sent
}

// attempt is one attempt of a message.
type attempt struct {
	call        *call
	sentAt      instant.Time
	open        bool // without an outcome
	notExecuted bool // proved never to have run
}

// dequeue takes a message out of its queue.
func (m *message) dequeue() {
	if m.queue != nil {
		m.queue.waiting = remove(m.queue.waiting, m)
		m.queue = nil
	}
}

// messageTable holds the messages whose keys are not released.
type messageTable struct {
	byID         map[string]*message
	unfinished   []*message // in the order of arrival
	lastSequence int
}

// add adds a message.
func (t *messageTable) add(m *message) {
	t.lastSequence++
	m.sequence = t.lastSequence
	t.byID[m.ID] = m
	t.unfinished = append(t.unfinished, m)
}

// addArrival adds an arriving message, and returns it if it is up for admission. One that makes no sense is
// ignored.
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

// withdraw completes a message that nobody wants any more, and cancels its attempts.
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

// complete notes that a message has its final answer.
func (d *Dispatcher) complete(m *message) {
	if !m.done {
		m.done = true
		m.dequeue()
		d.messages.unfinished = remove(d.messages.unfinished, m)
	}
	d.releaseKey(m)
}

// releaseKey removes a message that is done and has no attempt out, once its key is no longer blocked, and so
// lets the next message of its key be sent.
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

// releaseBlockedKeys releases the keys that need no longer be blocked.
func (d *Dispatcher) releaseBlockedKeys() {
	for _, m := range slices.Clone(d.keys.blocked) {
		d.releaseKey(m)
	}
}
