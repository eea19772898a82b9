package retry

import (
	"context"
	"log/slog"
	"time"

	"milletsail/internal/journal"
)

const (
	// StorageTimeout bounds the retries of reading stored data when a relay starts. File system faults are known to last 30 s,
	// and a relay that started without its journal would lose the messages that were accepted before.
	StorageTimeout = 45 * time.Second
	// StorageInterval is the wait between attempts of an operation on files.
	StorageInterval = 100 * time.Millisecond
)

// Storage retries an operation on files while it fails with a transient error, up to a timeout. The operation name is for logs.
func Storage(ctx context.Context, timeout time.Duration, operation string, attempt func() error) error {
	policy := Policy{Timeout: timeout, Interval: StorageInterval, Retryable: journal.IsTransient,
		OnRetry: func(err error) { slog.Warn("storage operation failed", "operation", operation, "error", err) }}
	return Do(ctx, policy, attempt)
}
