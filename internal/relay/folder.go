package relay

import (
	"context"
	"log/slog"
	"path/filepath"
	"time"

	"milletsail/internal/endpoints"
	"milletsail/internal/journal"
	"milletsail/internal/relay/retry"
)

const (
	// folderTimeout bounds the tries to read the folder at a start. Trouble of a file system is known to last 30 s, and what was
	// accepted is owed: a relay without its journal could only lose it.
	folderTimeout = 45 * time.Second
	// listTimeout bounds the tries to read the list of endpoints: it can be had from discovery too.
	listTimeout = 5 * time.Second
	// folderRetryInterval is the wait between tries.
	folderRetryInterval = 100 * time.Millisecond
)

// retryFolder repeats an operation on the state directory for as long as it fails for a moment, up to a timeout.
func retryFolder(ctx context.Context, timeout time.Duration, operation string, attempt func() error) error {
	policy := retry.Policy{Timeout: timeout, Interval: folderRetryInterval, Retryable: journal.IsTransient,
		OnRetry: func(err error) { slog.Warn("state directory fails", "operation", operation, "error", err) }}
	return retry.Do(ctx, policy, attempt)
}

// loadJournal opens the journal in the folder.
func loadJournal(ctx context.Context, cfg *Config, dir string) (kept *journal.Journal, found *journal.Report, err error) {
	err = retryFolder(ctx, folderTimeout, "the start", func() (err error) {
		kept, found, err = journal.Open(dir, journal.Options{DiskMB: (1 - listShare) * cfg.Limits.DiskMB, Relay: cfg.Name,
			SurvivesPowerLoss: cfg.Durability == DurablePower, Files: cfg.Files, Boot: cfg.Boot})
		return err
	})
	return kept, found, err
}

// openStore reads the list of endpoints in the folder. A file that can't be read in time counts as damaged.
func openStore(dir string, budget int64) (store *endpoints.Store, table *endpoints.Table, seq int64, found endpoints.LoadReport, err error) {
	dir = filepath.Join(dir, listFolder)
	err = retryFolder(context.Background(), listTimeout, "the list of endpoints", func() (err error) {
		store, table, seq, found, err = endpoints.Open(dir, budget)
		return err
	})
	if err != nil {
		slog.Warn("list of endpoints can't be read from disk", "err", err)
		return endpoints.Salvage(dir, budget)
	}
	return store, table, seq, found, nil
}
