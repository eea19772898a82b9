package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

const (
	// timeoutShare is the share of the time left after which an attempt of a retryable message times out, so
	// that time remains for retries.
	timeoutShare = 1.0 / 3
	// minTimeoutLatencies is the shortest timeout, as a multiple of the mean latency. Shorter timeouts would
	// cancel calls to slow destinations that are about to succeed.
	minTimeoutLatencies = 8
)

// firstPossibleExecution returns the first attempt of a message that may have executed it, or nil.
func (m *message) firstPossibleExecution() *attempt {
	for i := range m.attempts {
		if !m.attempts[i].notExecuted {
			return &m.attempts[i]
		}
	}
	return nil
}

// idempotencyExpiry returns the time from which a destination that may have executed a message may have
// forgotten its idempotency key, or never if that does not matter. It is early by two batch intervals, since
// a decision is made with the time of its batch and its call is written later.
func (d *Dispatcher) idempotencyExpiry(m *message) instant.Time {
	if first := m.firstPossibleExecution(); first != nil && m.class.Effect == IdempotentWithKey {
		return first.sentAt.Add(m.class.IdempotencyWindow).Add(-(2 * d.settings.BatchInterval))
	}
	return never
}

// retryAllowed reports whether the effect of a message allows another attempt: at ep, or at any endpoint if
// ep is nil.
func (d *Dispatcher) retryAllowed(m *message, ep *endpoint) bool {
	first := m.firstPossibleExecution()
	if first == nil || m.class.Effect == Idempotent {
		return true
	}
	if m.class.Effect == NotIdempotent {
		return false
	}
	if ep != nil && m.class.KeysPerZone && first.call.endpoint.Zone != ep.Zone {
		return false
	}
	return d.now < d.idempotencyExpiry(m)
}

// callRetryable reports whether every message of a call may be sent again if the call fails.
func (d *Dispatcher) callRetryable(c *call) bool {
	for _, m := range c.messages {
		exhausted := len(m.attempts) >= d.settings.MaxAttempts
		if m.class.Effect == NotIdempotent || exhausted || !d.retryAllowed(m, nil) {
			return false
		}
	}
	return true
}

// attemptAllowed reports whether a waiting message may be sent now, apart from the state of its queue.
func (d *Dispatcher) attemptAllowed(m *message) bool {
	if len(m.attempts) >= d.settings.MaxAttempts || d.now >= m.expiresAt {
		return false
	}
	if d.storageReadOnly && m.class.Effect != Idempotent { // a later process would not know of the attempt
		return false
	}
	return d.keys.allows(m)
}

// attemptTimeout returns the response timeout of an attempt, or 0 for none but the message's deadline. A
// message that cannot be retried gets none, since a timeout would only make it fail earlier.
func (d *Dispatcher) attemptTimeout(m *message, c *call) time.Duration {
	left := m.expiresAt.Sub(d.now)
	if m.class.Effect == NotIdempotent || len(m.attempts) >= d.settings.MaxAttempts {
		return 0
	}
	timeout := math.Max(timeoutShare*left.Seconds(), minTimeoutLatencies*c.endpoint.queue.latency.mean)
	return min(left, time.Duration(timeout*float64(time.Second)))
}

// writeTimeout returns the time within which the next attempt of a message must be written completely, or 0
// for no limit.
func (d *Dispatcher) writeTimeout(m *message) time.Duration {
	expiry := d.idempotencyExpiry(m)
	if expiry >= never {
		return 0
	}
	return expiry.Sub(d.now)
}
