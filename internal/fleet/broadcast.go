package fleet

import "time"

// pendingBroadcast is a fact that has transmissions left.
type pendingBroadcast struct {
	id         FactID
	version    FactVersion
	enqueuedAt time.Duration
	transmits  int
}

// dueAt returns the time of the next transmission.
func (b *pendingBroadcast) dueAt() time.Duration {
	return b.enqueuedAt + batchDelay + transmitDelays[b.transmits]
}

// transmitLimitedQueue holds the facts to broadcast, each up to a number of times that depends on the loss rate.
type transmitLimitedQueue struct {
	pending []pendingBroadcast
}

// enqueue adds a fact, which is due after the batch delay.
func (q *transmitLimitedQueue) enqueue(fact Fact, now time.Duration) {
	q.pending = append(q.pending, pendingBroadcast{id: fact.FactID, version: fact.FactVersion, enqueuedAt: now})
}

// nextDueAt returns the time of the next transmission, or latest if there is none before.
func (q *transmitLimitedQueue) nextDueAt(latest time.Duration) time.Duration {
	for i := range q.pending {
		latest = min(latest, q.pending[i].dueAt())
	}
	return latest
}

// nextBatch returns the facts that are due, and removes those that have reached limit or have a newer version in the store.
func (q *transmitLimitedQueue) nextBatch(store *Store, limit int, now time.Duration) (due []Fact) {
	remaining := q.pending[:0]
	for _, broadcast := range q.pending {
		fact := store.facts[broadcast.id]
		if fact.FactVersion != broadcast.version {
			continue
		}
		if now >= broadcast.dueAt() {
			due = append(due, fact)
			broadcast.transmits++
		}
		if broadcast.transmits < limit {
			remaining = append(remaining, broadcast)
		}
	}
	q.pending = remaining
	return due
}

// broadcastDue returns messages to all relays with the broadcasts that are due.
func (n *Node) broadcastDue(now time.Duration) (out []Outgoing) {
	due := n.broadcasts.nextBatch(n.Store, n.losses.transmitLimit(), now)
	for len(due) > 0 {
		data, sent := encodeMessage(0, 0, due, now)
		out = append(out, Outgoing{AllRelays, data})
		due = due[max(1, sent):] // a fact that fits into no message is dropped
	}
	return out
}
