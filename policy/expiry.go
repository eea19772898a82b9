package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

// expireMessages ends the waiting messages that have no time left for another attempt of expected latency, or
// that may no longer be retried.
func (d *Dispatcher) expireMessages() {
	var expired []*message
	for _, m := range d.messages.unfinished {
		if m.queue != nil && (d.now >= d.latestAttemptStart(m) || !d.retryAllowed(m, nil)) {
			expired = append(expired, m)
		}
	}
	for _, m := range expired {
		reason := ReasonNoTimeLeft
		if !d.retryAllowed(m, nil) {
			reason = ReasonNotRetryable
		}
		d.abandon(m, reason)
	}
}

// latestAttemptStart returns the latest time at which another attempt of a waiting message can start and
// still end by the deadline, with the expected latency but at least two batch intervals. The message expires
// then.
func (d *Dispatcher) latestAttemptStart(m *message) instant.Time {
	latency := time.Duration(m.queue.latency.byClass[m.Class] * float64(time.Second))
	return m.expiresAt.Add(-max(2*d.settings.BatchInterval, latency))
}

// nearDeadline reports whether a message has less than stalledFactor times the expected latency left, and so
// may expire before a call that carries it ends. Its expiry would end the call for all messages of a batch,
// so such messages are batched only with each other.
func (q *queue) nearDeadline(m *message, now instant.Time) bool {
	return m.expiresAt.Sub(now).Seconds() < stalledFactor*q.latency.byClass[m.Class]
}

// abandon ends a message that gets no further attempts. It is rejected if the client may safely send it
// again, with the time until its queue may send the next call as Retry-After, and fails otherwise.
func (d *Dispatcher) abandon(m *message, reason Reason) {
	keyValidEverywhere := m.class.Effect == IdempotentWithKey && !m.class.KeysPerZone
	if m.firstPossibleExecution() == nil || m.class.Effect == Idempotent || keyValidEverywhere {
		queue := d.selectQueue(m)
		d.reject(m, d.timeToNextCall(queue, len(queue.waiting)), reason)
		return
	}
	d.emit(Fail{ID: m.ID, Reason: reason})
	d.complete(m)
}

// reject ends a message, and asks the client to wait for a number of seconds, limited to MaxRetryAfter,
// before it sends the message again.
func (d *Dispatcher) reject(m *message, seconds float64, reason Reason) {
	seconds = math.Min(math.Max(0, seconds), d.settings.MaxRetryAfter.Seconds())
	d.emit(Reject{ID: m.ID, RetryAfter: time.Duration(seconds * float64(time.Second)), Reason: reason})
	d.complete(m)
}
