package retry

import (
	"context"
	"errors"
	"testing"
	"time"
)

var errFails = errors.New("attempt failed")

// Guards against a retry loop that stops early, or that runs on after a final error, the timeout or a cancellation.
func TestDo(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	succeedsAt := func(n int) func(int) error {
		return func(attempt int) error {
			if attempt < n {
				return errFails
			}
			return nil
		}
	}
	never := succeedsAt(1000)
	for _, tt := range []struct {
		name     string
		ctx      context.Context //nolint:containedctx // a column of the table, for one call
		timeout  time.Duration
		final    bool
		attempt  func(int) error
		attempts int
		want     error
	}{
		{"succeeds at once", t.Context(), time.Minute, false, succeedsAt(1), 1, nil},
		{"succeeds later", t.Context(), time.Minute, false, succeedsAt(3), 3, nil},
		{"final error", t.Context(), time.Minute, true, never, 1, errFails},
		{"no time", t.Context(), 0, false, never, 1, errFails},
		{"canceled", canceled, time.Minute, false, never, 1, errFails},
	} {
		attempts, waits := 0, 0
		p := Policy{Timeout: tt.timeout, Interval: time.Millisecond, Retryable: func(error) bool { return !tt.final },
			OnRetry: func(error) { waits++ }}
		err := Do(tt.ctx, p, func() error {
			attempts++
			return tt.attempt(attempts)
		})
		if !errors.Is(err, tt.want) || attempts != tt.attempts {
			t.Errorf("%s: got error %v after %d attempts and %d retries", tt.name, err, attempts, waits)
		}
	}
}
