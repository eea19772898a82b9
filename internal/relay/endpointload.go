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

// listSource is an endpoint list that may be older or newer than another.
type listSource struct {
	name    string
	version int64
	read    func(deliver func(endpoints.Batch) error) error
}

// openEndpoints loads the newest of the lists on disk, in the journal and in the configuration. The last may be older than what
// an earlier process of this relay received: an endpoint that drains gets nothing new from this one either.
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
	debug.FreeOSMemory() // what reading a long list needed once is not needed again
	slog.Info("endpoint list loaded", "source", source.name, "version", l.endpoints.version, "endpoints", table.Len())
}

// newestList chooses the list to start from. The configuration's counts also where it has no version, and the one on disk
// only where it has one: version 0 there means that all of the list has to be asked for.
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

// journalList returns the list that an earlier version kept in its journal, if it did.
func journalList(stored journal.LegacyEndpointList) listSource {
	var head struct{ Seq int64 }
	if stored.Text == nil || json.Unmarshal(stored.Text, &head) != nil {
		return listSource{}
	}
	return listSource{"journal", head.Seq, func(deliver func(endpoints.Batch) error) error {
		return endpoints.ReadObject(json.NewDecoder(bytes.NewReader(stored.Text)), deliver)
	}}
}

// loadBatch applies a batch of a list that replaces all there is, before the loop runs.
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

// announceEndpoints tells the policy that there is a list, and what an earlier process recorded of the health of its endpoints.
// The policy looks up what it needs of the list, or gets all of it where it has to know all zones.
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
