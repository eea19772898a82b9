// Package retry repeats an operation that fails for a moment, at a constant interval and up to a bound.
package retry

import (
	"context"
	"time"

	"milletsail/internal/clock"
)

// Policy says which failures of an operation are worth a retry, and for how long.
type Policy struct {
	// Timeout bounds the time from the first attempt in which a failed one is followed by another.
	Timeout time.Duration
	// Interval is the wait between two attempts.
	Interval time.Duration
	// Retryable reports whether another attempt may succeed; nil stands for always.
	Retryable func(error) bool
	// OnRetry is called after each failed attempt that is followed by a wait.
	OnRetry func(error)
}

// Do calls attempt until it succeeds, fails with an error that is not retryable, the policy's timeout is over or ctx is
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
