package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

const (
	// timeoutShare is the share of the time left after which an attempt of a retryable message times out.
	timeoutShare = 1.0 / 3
	// minTimeoutLatencies is the least timeout, in mean latencies, so that slow receivers don't time out for
	// nothing.
	minTimeoutLatencies = 8
)

// firstPossibleExecution is the first attempt that may have run, or nil.
func (m *message) firstPossibleExecution() *attempt {
	for i := range m.attempts {
		if !m.attempts[i].notExecuted {
			return &m.attempts[i]
		}
	}
	return nil
}

// idempotencyExpiry is when a destination that may have run a message may have dropped its idempotency key,
// or never where that doesn't matter. It is two batch intervals early, since a decision's time is that of its
// batch.
func (d *Dispatcher) idempotencyExpiry(m *message) instant.Time {
	if first := m.firstPossibleExecution(); first != nil && m.class.Effect == IdempotentWithKey {
		return first.sentAt.Add(m.class.IdempotencyWindow).Add(-(2 * d.settings.BatchInterval))
	}
	return never
}

// retryAllowed reports whether the effect of a message allows another attempt, at ep unless that is nil.
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

// callRetryable reports whether every message of a call may be sent again after it.
func (d *Dispatcher) callRetryable(c *call) bool {
	for _, m := range c.messages {
		exhausted := len(m.attempts) >= d.settings.MaxAttempts
		if m.class.Effect == NotIdempotent || exhausted || !d.retryAllowed(m, nil) {
			return false
		}
	}
	return true
}

// attemptAllowed reports whether another attempt of a waiting message is allowed now.
func (d *Dispatcher) attemptAllowed(m *message) bool {
	if len(m.attempts) >= d.settings.MaxAttempts || d.now >= m.expiresAt {
		return false
	}
	if d.storageReadOnly && m.class.Effect != Idempotent { // a later process might send it again
		return false
	}
	return d.keys.allows(m)
}

// attemptTimeout is how long an attempt of a message waits for its answer, or 0 for as long as the message
// has: if it can't be retried, a timeout would only fail it.
func (d *Dispatcher) attemptTimeout(m *message, c *call) time.Duration {
	left := m.expiresAt.Sub(d.now)
	if m.class.Effect == NotIdempotent || len(m.attempts) >= d.settings.MaxAttempts {
		return 0
	}
	timeout := math.Max(timeoutShare*left.Seconds(), minTimeoutLatencies*c.endpoint.queue.latency.mean)
	return min(left, time.Duration(timeout*float64(time.Second)))
}

// writeTimeout is the time in which the next attempt of a message must be written whole, or 0 for any.
func (d *Dispatcher) writeTimeout(m *message) time.Duration {
	expiry := d.idempotencyExpiry(m)
	if expiry >= never {
		return 0
	}
	return expiry.Sub(d.now)
}
