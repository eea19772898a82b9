package policy

import "milletsail/internal/instant"

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

// messageTable holds the messages that this dispatcher has accepted and not yet forgotten.
type messageTable struct {
	byID         map[string]*message
	unfinished   []*message // in the order of arrival
	lastSequence int
}

// accept notes a new message, or gives nil where it makes no sense.
func (d *Dispatcher) accept(e Arrived) *message {
	if e.Class < 0 || e.Class >= len(d.settings.Classes) || d.messages.byID[e.ID] != nil {
		return nil
	}
	d.messages.lastSequence++
	m := &message{Arrived: e, class: &d.settings.Classes[e.Class], sequence: d.messages.lastSequence,
		expiresAt: d.now.Add(e.TimeLeft)}
	d.messages.byID[e.ID] = m
	d.messages.unfinished = append(d.messages.unfinished, m)
	if m.class.Ordered && m.Key != "" {
		d.keys.waiting[m.Key] = append(d.keys.waiting[m.Key], m)
	}
	if e.Resumed {
		d.resumeMessage(m)
		return nil
	}
	return m
}

// withdraw drops a message that nobody wants any more.
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
		d.messages.unfinished = remove(d.messages.unfinished, m)
	}
	d.releaseKey(m)
}
