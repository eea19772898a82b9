package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

// expireMessages ends waiting messages that have no time left for another attempt of expected latency, and
// those that can't be retried any more.
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

// latestAttemptStart is when a waiting message expires: its time left is then its expected latency.
func (d *Dispatcher) latestAttemptStart(m *message) instant.Time {
	latency := time.Duration(m.queue.latency.byClass[m.Class] * float64(time.Second))
	return m.expiresAt.Add(-max(2*d.settings.BatchInterval, latency))
}

// nearDeadline reports whether a message may expire before a call with it ends, which would end the call for
// all its messages. Such messages share calls with each other only.
func (q *queue) nearDeadline(m *message, now instant.Time) bool {
	return m.expiresAt.Sub(now).Seconds() < stalledFactor*q.latency.byClass[m.Class]
}

// abandon ends a message undelivered: it is rejected, with the time until its queue may send next, if the
// client may safely send it again, and fails otherwise.
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

// reject ends a message, and asks the client to come back after a number of seconds.
func (d *Dispatcher) reject(m *message, seconds float64, reason Reason) {
	seconds = math.Min(math.Max(0, seconds), d.settings.MaxRetryAfter.Seconds())
	d.emit(Reject{ID: m.ID, RetryAfter: time.Duration(seconds * float64(time.Second)), Reason: reason})
	d.complete(m)
}
