package relay

import (
	"log/slog"
	"time"

	"milletsail/internal/endpoints"
)

const (
	// listDirectory is the directory of the endpoint list, within the state directory.
	listDirectory = "endpoints"
	// listDiskShare of the disk's limit is for the list; the rest is the journal's.
	listDiskShare = 1.0 / 8
	// compactionInterval is the wait between the steps of the store's compaction, so that one of a long list takes a small part of
	// the loop's time: 490,000 entries are written in some ten seconds.
	compactionInterval = 10 * time.Millisecond
)

// persist writes changes of the table to disk. A version follows once all changes of its object are there.
func (list *endpointList) persist(puts []endpoints.Entry, deletes []string) {
	if list.store != nil {
		list.store.Append(puts, deletes)
	}
}

// commit records that an object was applied completely.
func (list *endpointList) commit(seq int64) {
	list.version = seq
	if list.store == nil {
		return
	}
	if err := list.store.Commit(seq); err != nil {
		slog.Warn("endpoint list not written", "error", err)
	}
	list.closeDisabled()
}

// maintainStore does the next step of the store's own work.
func (list *endpointList) maintainStore() {
	if list.store == nil {
		return
	}
	list.compacting = list.store.CompactStep(list.table)
	list.closeDisabled()
}

// closeDisabled goes on without a store that is disabled: the next process starts from the configuration's list, and requests
// what that lacks.
func (list *endpointList) closeDisabled() {
	reason, disabled := list.store.Disabled()
	if !disabled {
		return
	}
	slog.Warn("endpoint list no longer stored on disk", "reason", reason)
	list.close()
}

// close ends the writing to disk: from here on another process may own the state directory.
func (list *endpointList) close() {
	if list.store == nil {
		return
	}
	if err := list.store.Close(); err != nil {
		slog.Warn("endpoint list on disk not closed", "error", err)
	}
	list.store, list.compacting = nil, false
}
