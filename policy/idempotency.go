package policy

import (
	"slices"

	"milletsail/internal/instant"
)

// orderedKeys lets the messages of ordered classes with the same key be sent one at a time.
type orderedKeys struct {
	waiting map[string][]*message // by key, in the order of arrival
	blocked []*message            // done, but their keys stay blocked for a while
}

// idempotencyExpiry is when a receiver that may have run a message may no longer know it, never where that is
// no matter: two ticks early, since the module's times are those of its batches.
func (d *Dispatcher) idempotencyExpiry(m *message) instant.Time {
	if first := m.firstPossibleExecution(); first != nil && m.class.Effect == IdempotentWithKey {
		return first.sentAt.Add(m.class.IdempotencyWindow).Add(-(2 * d.settings.BatchInterval))
	}
	return never
}

// releaseKey forgets a message that is over and has nothing out, and lets the next of its key go.
func (d *Dispatcher) releaseKey(m *message) {
	if !m.done || m.openAttempts > 0 {
		return
	}
	if d.now < m.keyBlockedUntil {
		if !slices.Contains(d.keys.blocked, m) {
			d.keys.blocked = append(d.keys.blocked, m)
		}
		return
	}
	d.keys.blocked = remove(d.keys.blocked, m)
	delete(d.messages.byID, m.ID)
	if line := remove(d.keys.waiting[m.Key], m); len(line) > 0 {
		d.keys.waiting[m.Key] = line
	} else {
		delete(d.keys.waiting, m.Key)
	}
}
