package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

// expireMessages gives final answers to held messages that have no time left for another attempt of mean
// latency, and to those that cannot be sent again any more.
func (d *Dispatcher) expireMessages() {
	var ended []*message
	for _, m := range d.messages.unfinished {
		if m.queue != nil && (d.now >= d.finalAttemptAt(m) || !d.retryAllowed(m, nil)) {
			ended = append(ended, m)
		}
	}
	for _, m := range ended {
		reason := ReasonNoTimeLeft
		if !d.retryAllowed(m, nil) {
			reason = ReasonNotRetryable
		}
		d.abandon(m, reason)
	}
}

// finalAttemptAt is when a held message is given up: its time left is then its expected latency.
func (d *Dispatcher) finalAttemptAt(m *message) instant.Time {
	x := time.Duration(m.queue.latency.byClass[m.Class] * float64(time.Second))
	return m.expiresAt.Add(-max(2*d.settings.BatchInterval, x))
}

// nearDeadline tells whether a message's time may be up before a call with it ends, which ends the call for
// all its messages: such share calls with their like.
func (d *Dispatcher) nearDeadline(q *queue, m *message) bool {
	return m.expiresAt.Sub(d.now).Seconds() < stalledFactor*q.latency.byClass[m.Class]
}

// abandon ends a message: a refusal where trying again is harmless, which tells when its queue may send next,
// else a failure.
func (d *Dispatcher) abandon(m *message, why Reason) {
	keyedEverywhere := m.class.Effect == IdempotentWithKey && !m.class.KeysPerZone
	if m.firstPossibleExecution() == nil || m.class.Effect == Idempotent || keyedEverywhere {
		q := d.selectQueue(m)
		d.reject(m, d.timeToNextCall(q, len(q.waiting)), why)
		return
	}
	d.emit(Fail{ID: m.ID, Reason: why})
	d.complete(m)
}

func (d *Dispatcher) reject(m *message, after float64, why Reason) {
	stay := time.Duration(math.Min(math.Max(0, after), d.settings.MaxRetryAfter.Seconds()) * float64(time.Second))
	d.emit(Reject{ID: m.ID, RetryAfter: stay, Reason: why})
	d.complete(m)
}
