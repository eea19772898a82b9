// Package clock sleeps under a context.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done, and reports whether ctx is still active. It returns at once if d is 0 or less.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
