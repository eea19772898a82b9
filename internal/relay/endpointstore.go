package relay

import (
	"log/slog"
	"time"

	"milletsail/internal/endpoints"
)

const (
	// listDirectory is the subdirectory of the state directory that holds the endpoint list.
	listDirectory = "endpoints"
	// listDiskShare is the share of the disk limit that the endpoint list may use; the journal may use the rest.
	listDiskShare = 1.0 / 8
	// compactionInterval is the time between the steps of the store's compaction. It keeps the compaction of a long list to a
	// small part of the loop's time: 490,000 entries are written in about ten seconds.
	compactionInterval = 10 * time.Millisecond
)

// persist appends changes of the table to the store. They belong to the version that the next commit records.
func (list *endpointList) persist(puts []endpoints.Entry, deletes []string) {
	if list.store != nil {
		list.store.Append(puts, deletes)
	}
}

// commit sets the list's version, in memory and on disk, after an object was applied completely.
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

// maintainStore does the next step of the store's compaction, if one is needed.
func (list *endpointList) maintainStore() {
	if list.store == nil {
		return
	}
	list.compacting = list.store.CompactStep(list.table)
	list.closeDisabled()
}

// closeDisabled closes the store if it has been disabled, for example by a write error. The relay continues without it: the next
// process starts from the configuration's list and requests newer changes from discovery.
func (list *endpointList) closeDisabled() {
	reason, disabled := list.store.Disabled()
	if !disabled {
		return
	}
	slog.Warn("endpoint list no longer stored on disk", "reason", reason)
	list.close()
}

// close closes the store. Nothing is written to disk after that, so another process may take over the state directory.
func (list *endpointList) close() {
	if list.store == nil {
		return
	}
	if err := list.store.Close(); err != nil {
		slog.Warn("endpoint list on disk not closed", "error", err)
	}
	list.store, list.compacting = nil, false
}
