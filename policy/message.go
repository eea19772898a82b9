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
