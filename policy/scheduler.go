package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

// maxQueueSlotShare is the share of the slots that one queue may have, so that no queue takes all of them.
const maxQueueSlotShare = 0.5

// slotScheduler counts the slots, each of which one call out takes.
type slotScheduler struct {
	inUse    int
	lastCall int // number of the last call
	// unansweredShare is the share of the calls that were late by stalledFactor which had no success.
	unansweredShare float64
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
	d.slots.lastCall++
	c := &call{endpoint: ep, number: d.slots.lastCall, sentAt: d.now}
	d.slots.inUse++
	d.activate(q)
	q.calls, ep.calls = append(q.calls, c), append(ep.calls, c)
	ep.lastUsedAt = d.now
	if q.limiter.rate > 0 {
		q.limiter.bucket.tokens = math.Max(0, d.sendTokens(q)-1)
	}
	if d.settings.Zones {
		d.recordSpillover(q, ep)
	}
	if d.settings.CanaryAnalysis {
		d.addCanaryCredit(q, ep)
	}
	if ep.outlier.ejected || ep.slowStart.active {
		ep.slowStart.bucket.tokens = math.Max(0, d.slowStartTokens(ep)-1)
	}
	if ep.outlier.ejected || d.singleProber(q) {
		q.probedAt = d.now
	}
	d.startAttempt(first, c)
	for i := 0; i < len(q.waiting) && c.openAttempts < q.maxBatch && !ep.outlier.ejected; {
		m := q.waiting[i]
		if d.attemptAllowed(m) && d.nearDeadline(q, m) == d.nearDeadline(q, first) && d.retryAllowed(m, ep) && (d.settings.MaxBatchBytes == 0 || c.size+m.Size <= d.settings.MaxBatchBytes) {
			d.startAttempt(m, c)
			continue
		}
		i++
	}
}

// dispatch gives free slots in turns to the queues that can send: fewest calls out first, and among these
// the message whose worth falls first.
func (d *Dispatcher) dispatch() {
	for d.slots.inUse < d.settings.Slots && !d.stopping {
		var best *queue
		var ep *endpoint
		var first *message
		for _, q := range d.active {
			if best != nil && len(q.calls) > len(best.calls) {
				continue
			}
			e, m := d.nextSendable(q)
			if m != nil && (best == nil || len(q.calls) < len(best.calls) || d.valueDeadline(m) < d.valueDeadline(first)) {
				best, ep, first = q, e, m
			}
		}
		if best == nil {
			return
		}
		d.startCall(best, ep, first)
	}
}

// valueDeadline is when a message falls under keepWorth; what is under it already comes after all others.
func (d *Dispatcher) valueDeadline(m *message) instant.Time {
	at := m.expiresAt.Add(-m.class.Deadline).Add(m.class.ageAt(minDeliveryValue))
	if at < d.now {
		at = at.Add(time.Hour)
	}
	return at
}

// nextSendable tells which message a queue would send now and where, if any.
func (d *Dispatcher) nextSendable(q *queue) (*endpoint, *message) {
	most := max(1, int(math.Ceil(maxQueueSlotShare*float64(d.settings.Slots))))
	if len(q.waiting) == 0 || d.now < q.circuit.retryAfterUntil || len(q.calls) >= most {
		return nil, nil
	}
	tries := d.isProber(q)
	if (d.now < q.circuit.backoffUntil || q.limiter.rate > 0 && d.sendTokens(q) < 1) && !tries {
		return nil, nil
	}
	if d.singleProber(q) && (!tries || d.now < d.probeTurn(q.endpoints[0])) {
		return nil, nil
	}
	for _, m := range q.waiting {
		if d.attemptAllowed(m) {
			if ep := d.selectEndpoint(q, m); ep != nil {
				return ep, m
			}
		}
	}
	return nil, nil
}

// attemptAllowed tells whether the rules allow another attempt of a held message now.
func (d *Dispatcher) attemptAllowed(m *message) bool {
	if len(m.attempts) >= d.settings.MaxAttempts || d.now >= m.expiresAt {
		return false
	}
	if d.storageReadOnly && m.class.Effect != Idempotent { // a later process might send it again
		return false
	}
	if m.class.Ordered && m.Key != "" {
		if line := d.keys.waiting[m.Key]; line[0] != m {
			return false
		}
	}
	return true
}
