package relay

import (
	"log/slog"
	"time"

	"milletsail/internal/endpoints"
)

const (
	// listFolder is the folder of the list of endpoints, within that of the relay.
	listFolder = "endpoints"
	// listShare of the disk's limit is for the list; the rest is the journal's.
	listShare = 1.0 / 8
	// compactionInterval is the wait between the steps of the store's compaction, so that one of a long list takes a small part of
	// the loop's time: 490,000 entries are written in some ten seconds.
	compactionInterval = 10 * time.Millisecond
)

// persist puts changes of the table on disk. A sequence number follows once all changes of its object are there.
func (list *endpointList) persist(puts []endpoints.Entry, deletes []string) {
	if list.store != nil {
		list.store.Append(puts, deletes)
	}
}

// commit notes that an object is complete.
func (list *endpointList) commit(seq int64) {
	list.version = seq
	if list.store == nil {
		return
	}
	if err := list.store.Commit(seq); err != nil {
		slog.Warn("list of endpoints not written", "err", err)
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

// closeDisabled goes on without a store that has given up: the next process starts from the configuration's list.
func (list *endpointList) closeDisabled() {
	reason, disabled := list.store.Disabled()
	if !disabled {
		return
	}
	slog.Warn("list of endpoints not kept on disk: the next start asks for what the configuration lacks", "reason", reason)
	list.close()
}

// close ends the writing to disk: from here on another process may own the folder.
func (list *endpointList) close() {
	if list.store == nil {
		return
	}
	if err := list.store.Close(); err != nil {
		slog.Warn("list of endpoints on disk", "err", err)
	}
	list.store, list.compacting = nil, false
}
