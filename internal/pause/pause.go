// Package pause waits, for no longer than a context lives.
package pause

import (
	"context"
	"time"
)

// For waits for d, and tells whether ctx is still alive after it. A d of 0 or less is over at once.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
