package retry

import (
	"context"
	"log/slog"
	"time"

	"milletsail/internal/journal"
)

const (
	// StorageTimeout bounds the attempts to read what a start needs. Faults of a file system are known to last 30 s, and
	// what was accepted has to be delivered: a relay without its journal could only lose it.
	StorageTimeout = 45 * time.Second
	// StorageInterval is the wait between attempts.
	StorageInterval = 100 * time.Millisecond
)

// Storage repeats an operation on files for as long as it fails for a moment, up to a timeout. The operation is named for logs.
func Storage(ctx context.Context, timeout time.Duration, operation string, attempt func() error) error {
	policy := Policy{Timeout: timeout, Interval: StorageInterval, Retryable: journal.IsTransient,
		OnRetry: func(err error) { slog.Warn("storage fails", "operation", operation, "error", err) }}
	return Do(ctx, policy, attempt)
}
