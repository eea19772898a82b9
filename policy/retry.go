package policy

import (
	"math"
	"time"
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

// callRetryable tells whether every message of a call may be sent again after it.
func (d *Dispatcher) callRetryable(c *call) bool {
	for _, m := range c.messages {
		if m.class.Effect == NotIdempotent || !d.retryAllowed(m, nil) || len(m.attempts) >= d.settings.MaxAttempts {
			return false
		}
	}
	return true
}

// retryAllowed tells whether effects allow another attempt, at ep if it is given.
func (d *Dispatcher) retryAllowed(m *message, ep *endpoint) bool {
	first := m.firstPossibleExecution()
	switch {
	case first == nil || m.class.Effect == Idempotent:
		return true
	case m.class.Effect == NotIdempotent || ep != nil && m.class.KeysPerZone && first.call.endpoint.Zone != ep.Zone:
		return false
	}
	return d.now < d.idempotencyExpiry(m)
}

// attemptTimeout is how long an answer is waited for; an unsafe message waits to its end, since after a
// time-out it could only be failed.
func (d *Dispatcher) attemptTimeout(m *message, c *call) time.Duration {
	left := m.expiresAt.Sub(d.now)
	if m.class.Effect == NotIdempotent || len(m.attempts) >= d.settings.MaxAttempts {
		return 0
	}
	wait := math.Max(timeoutShare*left.Seconds(), minTimeoutLatencies*c.endpoint.queue.latency.mean)
	return min(left, time.Duration(wait*float64(time.Second)))
}
