package policy

import (
	"milletsail/internal/instant"
	"slices"
)

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
