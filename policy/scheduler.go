package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

// maxQueueSlotShare is the largest share of the slots that one queue may use, so that no queue takes them
// all.
const maxQueueSlotShare = 0.5

// slotScheduler counts the slots in use. Each call in flight takes one.
type slotScheduler struct {
	inUse    int
	lastCall int // number of the last call
	// lateFailureShare is the moving average, over calls that took longer than stalledFactor times the usual
	// latency, of the share that did not succeed.
	lateFailureShare float64
}

// acquire takes a slot for a new call and returns the call's number.
func (s *slotScheduler) acquire() int {
	s.inUse++
	s.lastCall++
	return s.lastCall
}

// dispatch gives the free slots, one at a time, to queues that can send. The queue with the fewest calls in
// flight comes first; among equals, the one whose next message has the earliest valueDeadline.
func (d *Dispatcher) dispatch() {
	for d.slots.inUse < d.settings.Slots && !d.stopping {
		var best *queue
		var target *endpoint
		var first *message
		for _, candidate := range d.active {
			if best != nil && len(candidate.calls) > len(best.calls) {
				continue
			}
			ep, m := d.nextSendable(candidate)
			if m != nil && (best == nil || len(candidate.calls) < len(best.calls) ||
				m.valueDeadline(d.now) < first.valueDeadline(d.now)) {
				best, target, first = candidate, ep, m
			}
		}
		if best == nil {
			return
		}
		d.startCall(best, target, first)
	}
}

// valueDeadline returns the time at which the value of a message falls below minDeliveryValue. A message that
// is already past it sorts after all others.
func (m *message) valueDeadline(now instant.Time) instant.Time {
	at := m.expiresAt.Add(-m.class.Deadline).Add(m.class.ageAt(minDeliveryValue))
	if at < now {
		at = at.Add(time.Hour)
	}
	return at
}

// nextSendable returns the first message of a queue that can be sent now, with the endpoint for it, or nil.
func (d *Dispatcher) nextSendable(q *queue) (*endpoint, *message) {
	if len(q.waiting) == 0 || d.now < q.circuit.retryAfterUntil || !d.maySend(q) {
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

// maySend reports whether a queue may send a call now, as far as its share of the slots, the backoff, the
// send rate and the order in which relays probe the destination are concerned.
func (d *Dispatcher) maySend(q *queue) bool {
	maxCalls := max(1, int(math.Ceil(maxQueueSlotShare*float64(d.settings.Slots))))
	if len(q.calls) >= maxCalls {
		return false
	}
	isProber := d.isProber(q)
	if (d.now < q.circuit.backoffUntil || q.limiter.rate > 0 && d.sendTokens(q) < 1) && !isProber {
		return false
	}
	return !q.singleProber(d.now) || isProber && d.now >= d.probeTurn(q.endpoints[0])
}

// startCall starts a call with a message, and fills it with further messages of the queue up to the limits
// of the kind of destination. A probe of an ejected endpoint carries a single message.
func (d *Dispatcher) startCall(queue *queue, ep *endpoint, first *message) {
	started := &call{endpoint: ep, number: d.slots.acquire(), sentAt: d.now}
	d.activate(queue)
	queue.calls, ep.calls = append(queue.calls, started), append(ep.calls, started)
	ep.lastUsedAt = d.now
	if queue.limiter.rate > 0 {
		queue.limiter.bucket.tokens = math.Max(0, d.sendTokens(queue)-1)
	}
	if d.settings.Zones {
		d.recordSpillover(queue, ep)
	}
	if d.settings.CanaryAnalysis {
		d.addCanaryCredit(queue, ep)
	}
	started.limit = d.callLimit(ep)
	if d.limitedBySlowStart(ep) {
		started.budget = d.takeSlowStartToken(ep)
	}
	if ep.outlier.ejected || queue.singleProber(d.now) {
		queue.probedAt = d.now
	}
	d.startAttempt(first, started)
	if !ep.outlier.ejected { // a probe carries a single message
		d.fillBatch(started, first)
	}
}

// fillBatch adds waiting messages to a call, up to the limits on their number and total size. Messages near
// their deadlines and others are not mixed (see nearDeadline).
func (d *Dispatcher) fillBatch(batch *call, first *message) {
	queue := batch.endpoint.queue
	for i := 0; i < len(queue.waiting) && batch.openAttempts < queue.maxBatch; {
		m := queue.waiting[i]
		fits := d.settings.MaxBatchBytes == 0 || batch.size+m.Size <= d.settings.MaxBatchBytes
		if fits && d.attemptAllowed(m) && d.retryAllowed(m, batch.endpoint) &&
			queue.nearDeadline(m, d.now) == queue.nearDeadline(first, d.now) {
			d.startAttempt(m, batch) // removes m from queue.waiting
			continue
		}
		i++
	}
}

// startAttempt adds a message to a call and emits the Send action.
func (d *Dispatcher) startAttempt(m *message, c *call) {
	m.dequeue()
	writeTimeout := d.writeTimeout(m)
	m.attempts = append(m.attempts, attempt{call: c, sentAt: d.now, open: true})
	m.openAttempts++
	c.openAttempts++
	c.size += m.Size
	c.messages = append(c.messages, m)
	d.emit(Send{
		ID:           m.ID,
		Endpoint:     c.endpoint.ID,
		Timeout:      d.attemptTimeout(m, c),
		WriteTimeout: writeTimeout,
		Call:         c.number,
		Limit:        c.limit,
		Budget:       c.budget,
	})
}
