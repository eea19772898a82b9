package relay

import (
	"context"
	"log/slog"
	"path/filepath"
	"time"

	"milletsail/internal/endpoints"
	"milletsail/internal/journal"
	"milletsail/internal/relay/config"
	"milletsail/internal/relay/retry"
)

// listTimeout limits how long reading the endpoint list from disk is retried. It is short since discovery can send the list
// again.
const listTimeout = 5 * time.Second

// openJournal opens the journal in the state directory, and logs what it contains. It retries until retry.StorageTimeout has
// passed.
func openJournal(ctx context.Context, cfg *config.Config, dir string) (*journal.Journal, error) {
	var opened *journal.Journal
	var found *journal.Report
	err := retry.Storage(ctx, retry.StorageTimeout, "open journal", func() (err error) {
		opened, found, err = journal.Open(dir, journal.Options{DiskMB: (1 - listDiskShare) * cfg.Limits.DiskMB, Relay: cfg.Name,
			SurvivesPowerLoss: cfg.Durability == config.DurabilityPower, Files: cfg.Files, Boot: cfg.Boot})
		return err
	})
	if err != nil {
		return nil, err
	}
	if found.Records > 0 {
		slog.Info("journal read", "file", found.File, "records", found.Records, "live_messages", len(opened.Entries()),
			"torn", found.Torn, "used_wall_clock", found.UsedWallClock)
	}
	return opened, nil
}

// openStore opens the store of the endpoint list in the state directory. If it can't be read within listTimeout, it is treated as
// damaged (see endpoints.Salvage).
func openStore(ctx context.Context, dir string, budget int64) (store *endpoints.Store, table *endpoints.Table, seq int64,
	found endpoints.LoadReport, err error) {
	dir = filepath.Join(dir, listDirectory)
	err = retry.Storage(context.WithoutCancel(ctx), listTimeout, "read endpoint list", func() (err error) {
		store, table, seq, found, err = endpoints.Open(dir, budget)
		return err
	})
	if err != nil {
		slog.Warn("endpoint list can't be read from disk", "error", err)
		return endpoints.Salvage(dir, budget)
	}
	return store, table, seq, found, nil
}
