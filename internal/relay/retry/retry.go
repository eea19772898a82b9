// Package retry repeats an operation that fails transiently, at a constant interval and up to a time limit.
package retry

import (
	"context"
	"time"

	"milletsail/internal/clock"
)

// Policy defines which errors of an operation are retried, how often and for how long.
type Policy struct {
	// Timeout is the time since the start of the first attempt after which a failed attempt is not retried.
	Timeout time.Duration
	// Interval is the wait between attempts.
	Interval time.Duration
	// Retryable reports whether another attempt may succeed after an error; nil retries every error.
	Retryable func(error) bool
	// OnRetry is called with the error of each failed attempt that will be retried. It must not be nil.
	OnRetry func(error)
}

// Do calls attempt until it succeeds, fails with an error that is not retryable, the policy's timeout has passed or ctx is
// done. It returns the error of the last attempt.
func Do(ctx context.Context, p Policy, attempt func() error) error {
	end := clock.Now().Add(p.Timeout)
	for {
		err := attempt()
		if err == nil || p.Retryable != nil && !p.Retryable(err) || clock.Now() >= end {
			return err
		}
		p.OnRetry(err)
		if !clock.Sleep(ctx, p.Interval) {
			return err
		}
	}
}
