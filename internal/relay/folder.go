package relay

import (
	"context"
	"log/slog"
	"path/filepath"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/endpoints"
	"milletsail/internal/journal"
)

const (
	// folderWithin bounds the tries to read the folder at a start. Trouble of a file system is known to last 30 s, and what was
	// accepted is owed: a relay without its journal could only lose it.
	folderWithin = 45 * time.Second
	// listWithin bounds the tries to read the list of endpoints: it can be had from discovery too.
	listWithin = 5 * time.Second
	// folderRetry is the wait between tries.
	folderRetry = 100 * time.Millisecond
)

// patiently does something with the folder again for as long as it fails for a moment, up to a bound.
func patiently(ctx context.Context, within time.Duration, what string, do func() error) error {
	for by := clock.Now().Add(within); ; {
		err := do()
		if err == nil || !journal.IsTransient(err) || clock.Now() >= by {
			return err
		}
		slog.Warn("folder fails", "at", what, "err", err)
		if !clock.Sleep(ctx, folderRetry) {
			return err
		}
	}
}

// loadJournal opens the journal in the folder.
func loadJournal(ctx context.Context, cfg *Config, dir string) (kept *journal.Journal, found *journal.Report, err error) {
	err = patiently(ctx, folderWithin, "the start", func() (err error) {
		kept, found, err = journal.Open(dir, journal.Options{DiskMB: (1 - listShare) * cfg.Limits.DiskMB, Relay: cfg.Name,
			SurvivesPowerLoss: cfg.Durability == DurablePower, Files: cfg.Files, Boot: cfg.Boot})
		return err
	})
	return kept, found, err
}

// openStore reads the list of endpoints in the folder. A file that can't be read in time counts as damaged.
func openStore(dir string, budget int64) (store *endpoints.Store, table *endpoints.Table, seq int64, found endpoints.LoadReport, err error) {
	dir = filepath.Join(dir, listFolder)
	err = patiently(context.Background(), listWithin, "the list of endpoints", func() (err error) {
		store, table, seq, found, err = endpoints.Open(dir, budget)
		return err
	})
	if err != nil {
		slog.Warn("list of endpoints can't be read from disk", "err", err)
		return endpoints.Salvage(dir, budget)
	}
	return store, table, seq, found, nil
}
