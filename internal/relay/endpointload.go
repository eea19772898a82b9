package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"runtime/debug"

	"milletsail/internal/endpoints"
	"milletsail/internal/journal"
	"milletsail/policy"
)

// listSource is a stored endpoint list from which the relay may start.
type listSource struct {
	name    string // for logs
	version int64  // the newest version wins; 0 if unknown
	// read delivers the list in batches. It is nil if the list is in the table already, or if there is none.
	read func(deliver func(endpoints.Batch) error) error
}

// openEndpoints loads the newest of the lists on disk, in the journal and in the configuration. The configuration's list may be
// older than the last one that an earlier process received: starting from it could send new messages to an endpoint that has
// been draining since.
func (l *loop) openEndpoints(ctx context.Context, dir string) {
	budget := int64(listDiskShare * l.cfg.Limits.DiskMB * 1e6)
	store, table, seq, found, err := openStore(ctx, dir, budget)
	if err != nil {
		slog.Warn("endpoint list not stored on disk", "error", err)
		table = endpoints.NewTable()
	}
	for _, damage := range found.Damage {
		slog.Warn("endpoint list on disk is damaged", "error", damage)
	}
	l.endpoints.table, l.endpoints.store, l.endpoints.version = table, store, seq
	configured := listSource{"configuration", l.cfg.KnownEndpoints.Version, l.cfg.KnownEndpoints.Read}
	source := newestList(seq, journalList(l.journal.LegacyList()), configured)
	if source.read != nil {
		if err := source.read(l.endpoints.loadBatch); err != nil {
			slog.Error("endpoint list unreadable, requesting all of it", "source", source.name, "error", err)
			l.endpoints.table.AbortReplacement()
			l.endpoints.version = 0
		}
	}
	l.journal.DropLegacyList()
	debug.FreeOSMemory() // reading a long list takes much memory, which is not needed again
	slog.Info("endpoint list loaded", "source", source.name, "version", l.endpoints.version, "endpoints", table.Len())
}

// newestList chooses the list to start from. The configuration's list may be chosen even if it has no version. The list on disk
// is chosen only if it has one: version 0 on disk means that the list is incomplete and has to be requested again.
func newestList(onDisk int64, inJournal, configured listSource) listSource {
	newest := configured
	if inJournal.version > newest.version {
		newest = inJournal
	}
	if onDisk > 0 && onDisk >= newest.version {
		newest = listSource{name: "disk", version: onDisk}
	}
	return newest
}

// journalList returns the list that an earlier version of this program stored in its journal. It returns the zero listSource if
// there is none or it can't be parsed.
func journalList(stored journal.LegacyEndpointList) listSource {
	var head struct{ Seq int64 }
	if stored.Text == nil || json.Unmarshal(stored.Text, &head) != nil {
		return listSource{}
	}
	return listSource{"journal", head.Seq, func(deliver func(endpoints.Batch) error) error {
		return endpoints.ReadObject(json.NewDecoder(bytes.NewReader(stored.Text)), deliver)
	}}
}

// loadBatch applies a batch of a list that replaces all entries. It is called before the loop runs, so it removes unlisted
// entries in one step.
func (list *endpointList) loadBatch(batch endpoints.Batch) error {
	if batch.First {
		list.table.BeginReplacement()
	}
	for _, e := range batch.Entries {
		if old, listed := list.table.Put(e); !listed || old != e {
			list.persist([]endpoints.Entry{e}, nil)
		}
	}
	if !batch.End {
		return nil
	}
	removed, _ := list.table.Sweep(math.MaxInt)
	for _, e := range removed {
		list.persist(nil, []string{e.Host})
	}
	list.commit(batch.Seq)
	return nil
}

// announceEndpoints reports the loaded list to the policy, together with the health that an earlier process recorded of listed
// endpoints. The event has no entries if the policy looks them up, and the complete list if it does not (see usesDirectory).
func (l *loop) announceEndpoints() {
	var all []policy.Endpoint
	if !l.usesDirectory() {
		entries, _, _ := l.endpoints.table.All(0, math.MaxInt)
		for e := range entries {
			all = append(all, l.endpoints.endpoint(e))
		}
	}
	l.batch.events = append(l.batch.events, policy.EndpointsUpdated{Endpoints: all})
	for host := range l.journal.Health() {
		if _, listed := l.endpoints.table.Get(host); listed {
			l.batch.events = l.appendHealth(l.batch.events, host)
		}
	}
}
