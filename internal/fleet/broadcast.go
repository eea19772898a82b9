package fleet

import "time"

// pendingBroadcast is a fact that has not been transmitted as often as the transmit limit requires.
type pendingBroadcast struct {
	id         FactID
	version    FactVersion
	enqueuedAt time.Duration
	transmits  int // number of transmissions so far
}

// dueAt returns the time of the next transmission of the fact.
func (b *pendingBroadcast) dueAt() time.Duration {
	return b.enqueuedAt + batchDelay + transmitDelays[b.transmits]
}

// transmitLimitedQueue holds the facts to broadcast. Each is broadcast several times; the limit depends on the loss rate
// (see lossEstimator.transmitLimit).
type transmitLimitedQueue struct {
	pending []pendingBroadcast
}

// enqueue adds a fact, whose first transmission is due after batchDelay.
func (q *transmitLimitedQueue) enqueue(fact Fact, now time.Duration) {
	q.pending = append(q.pending, pendingBroadcast{id: fact.FactID, version: fact.FactVersion, enqueuedAt: now})
}

// nextDueAt returns the time of the next transmission of any fact, or latest if none is due before that.
func (q *transmitLimitedQueue) nextDueAt(latest time.Duration) time.Duration {
	for i := range q.pending {
		latest = min(latest, q.pending[i].dueAt())
	}
	return latest
}

// nextBatch returns the facts that are due for transmission. It removes facts that have been transmitted limit times and
// facts whose version in the store has changed.
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

// broadcastDue returns messages to all relays with the facts that are due for transmission.
func (n *Node) broadcastDue(now time.Duration) (out []Outgoing) {
	due := n.broadcasts.nextBatch(n.Store, n.losses.transmitLimit(), now)
	for len(due) > 0 {
		data, sent := encodeMessage(0, 0, due, now)
		out = append(out, Outgoing{AllRelays, data})
		due = due[max(1, sent):] // a fact that is too large for any message is dropped
	}
	return out
}
