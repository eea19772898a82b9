package relay

import (
	"log/slog"
	"slices"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/endpoints"
	"milletsail/internal/relay/discovery"
	"milletsail/internal/settings"
	"milletsail/policy"
)

const (
	// sweepBatchSize is how many slots of the table one step of the loop examines while it removes the entries that a complete
	// list no longer names.
	sweepBatchSize = 2048
	// maxLoggedChanges is how many changes of one object are logged individually. An object with more is logged by their number.
	maxLoggedChanges = 32
)

// maxStartTimeMS limits the start times of endpoints, in milliseconds since 1970: the year 2200.
const maxStartTimeMS = 7_258_118_400_000

// endpointList is the endpoint list as discovery last sent it, in memory and, where there is room, on disk. The loop owns it.
// Discovery sends objects, each either a complete list or a set of changes, and each object arrives in batches. A complete list
// replaces all entries: after its last batch is applied, the entries that it does not name are removed in bounded steps.
type endpointList struct {
	settings   *settings.Settings
	table      *endpoints.Table
	store      *endpoints.Store // copy on disk; nil if there is none
	compacting bool             // the store's compaction needs further steps
	version    int64            // version of the last object that was applied completely; 0 requests a complete list
	clocks     clock.Pair       // clock readings at the start of the process; they convert the list's wall times

	replacing bool              // the entries of the current object are being marked, since it may be a complete list
	changes   int               // number of changes that the current object has made
	sweeping  *discovery.Batch  // last batch of a complete list while unlisted entries are removed; nil otherwise
	queued    []discovery.Batch // batches that arrived while sweeping was set
}

// endpoint converts an entry of the list to the policy's type.
func (list *endpointList) endpoint(e endpoints.Entry) policy.Endpoint {
	startedAt := clock.Wall(time.Duration(max(0, min(e.BornMS, maxStartTimeMS))) * time.Millisecond)
	return policy.Endpoint{
		ID:          e.Host,
		Destination: e.Block,
		Kind:        slices.Index(list.settings.Shapes, e.Class),
		Zone:        slices.Index(list.settings.Localities, e.Site),
		Weight:      e.Share,
		StartedAt:   max(0, list.clocks.InstantOf(startedAt)),
		Draining:    e.Health == endpoints.Draining,
		Removed:     e.Health == endpoints.Deleted,
	}
}

// Endpoints returns the endpoints of a destination, in the order in which they were first listed. It implements
// policy.Directory.
func (list *endpointList) Endpoints(destination int) (all []policy.Endpoint) {
	for e := range list.table.ByDestination(destination) {
		all = append(all, list.endpoint(e))
	}
	return all
}

// Destination returns the destination of a listed endpoint. It implements policy.Directory.
func (list *endpointList) Destination(endpoint string) (int, bool) {
	e, ok := list.table.Get(endpoint)
	return e.Block, ok
}

// handleBatch applies a batch from discovery, or queues it while an earlier complete list is still being applied.
func (l *loop) handleBatch(batch discovery.Batch) {
	if l.endpoints.sweeping != nil {
		l.endpoints.queued = append(l.endpoints.queued, batch)
		return
	}
	if batch.First {
		l.endpoints.beginObject(batch.Batch)
	}
	l.applyEntries(batch.Batch)
	switch {
	case !batch.End:
		close(batch.Applied)
	case batch.Complete && l.endpoints.replacing:
		l.endpoints.sweeping = &batch // finishObject closes batch.Applied once removeUnlisted is done
	default:
		l.endpoints.abortReplacement()
		l.finishObject(batch)
	}
}

// usesDirectory reports whether the policy keeps state only for destinations in use, and looks up their endpoints in the list.
func (l *loop) usesDirectory() bool { return l.cfg.Policy.Directory != nil && !l.cfg.Policy.Zones }

// unavailableEndpoints returns how many listed endpoints currently get no messages other than probes. A policy that looks
// endpoints up in the list does not count draining ones, so they are added here.
func (l *loop) unavailableEndpoints() int {
	if !l.usesDirectory() {
		return l.dispatcher.UnavailableEndpoints()
	}
	return l.dispatcher.UnavailableEndpoints() + l.endpoints.table.Draining()
}

// beginObject prepares for the first batch of an object. Unless the object is known to hold only changes, the entries that it
// names are marked, so that the others can be removed at its end.
func (list *endpointList) beginObject(b endpoints.Batch) {
	list.abortReplacement() // the previous object may have been cut off before its last batch
	list.changes = 0
	if b.Complete || !b.CompleteKnown {
		list.table.BeginReplacement()
		list.replacing = true
	}
}

// abortReplacement ends marking without removing any entry: the object was cut off, or it turned out to hold only changes.
func (list *endpointList) abortReplacement() {
	if list.replacing {
		list.table.AbortReplacement()
		list.replacing = false
	}
}

// applyEntries applies the entries of a batch to the table and the store, and reports the changes to the policy.
func (l *loop) applyEntries(b endpoints.Batch) {
	var changed []policy.Endpoint
	var restored []policy.Event
	for _, entry := range b.Entries {
		if entry.Health == endpoints.Deleted {
			if old, listed := l.endpoints.table.Delete(entry.Host); listed {
				changed = append(changed, l.dropEndpoint(old))
				l.endpoints.persist(nil, []string{entry.Host})
			}
			continue
		}
		old, listed := l.endpoints.table.Put(entry)
		if listed && old == entry {
			continue
		}
		l.logChange(b, entry)
		if listed && old.Dial != entry.Dial {
			l.pool.CloseIdle(old.Dial)
		}
		l.endpoints.persist([]endpoints.Entry{entry}, nil)
		if listed && old.Block != entry.Block {
			old.Health = endpoints.Deleted // the policy removes it from its former destination
			changed = append(changed, l.endpoints.endpoint(old))
		}
		changed = append(changed, l.endpoints.endpoint(entry))
		if !listed {
			restored = l.appendHealth(restored, entry.Host)
		}
	}
	if len(changed) > 0 {
		l.batch.events = append(l.batch.events, policy.EndpointsUpdated{Endpoints: changed})
		l.batch.events = append(l.batch.events, restored...)
	}
}

// dropEndpoint closes the idle connections and drops the recorded health of an endpoint that was removed from the list. It
// returns the removal for the policy.
func (l *loop) dropEndpoint(e endpoints.Entry) policy.Endpoint {
	l.pool.CloseIdle(e.Dial)
	l.journal.DropHealth(e.Host)
	e.Health = endpoints.Deleted
	return l.endpoints.endpoint(e)
}

// appendHealth appends the health that an earlier process of this relay recorded for an endpoint, if there is any. It is used for
// each endpoint that is added, since an endpoint with recorded health may be missing from the list that the process starts from.
func (l *loop) appendHealth(events []policy.Event, host string) []policy.Event {
	health, ok := l.journal.Health()[host]
	if !ok {
		return events
	}
	return append(events, policy.StateRestored{Endpoint: host, Ejected: health.Ejected, At: health.ChangedAt})
}

// logChange counts a change of an entry. It logs the first maxLoggedChanges changes of an object that is not a complete list.
func (l *loop) logChange(b endpoints.Batch, e endpoints.Entry) {
	l.endpoints.changes++
	if l.endpoints.changes <= maxLoggedChanges && !b.Complete {
		slog.Info("endpoint changed", "endpoint", e.Host, "destination", e.Block, "health", e.Health, "address", e.Dial)
	}
}

// removeUnlisted does the next step of removing the entries that a complete list did not name. After the last step it handles
// the batches that were queued meanwhile. It does nothing if no removal is in progress.
func (l *loop) removeUnlisted() {
	last := l.endpoints.sweeping
	if last == nil {
		return
	}
	removed, done := l.endpoints.table.Sweep(sweepBatchSize)
	var removedEndpoints []policy.Endpoint
	var hosts []string
	for _, e := range removed {
		removedEndpoints = append(removedEndpoints, l.dropEndpoint(e))
		hosts = append(hosts, e.Host)
	}
	l.endpoints.persist(nil, hosts)
	l.endpoints.changes += len(removed)
	if len(removedEndpoints) > 0 {
		l.batch.events = append(l.batch.events, policy.EndpointsUpdated{Endpoints: removedEndpoints})
	}
	if !done {
		return
	}
	l.endpoints.sweeping, l.endpoints.replacing = nil, false
	l.dropUnlistedHealth()
	l.finishObject(*last)
	waiting := l.endpoints.queued
	l.endpoints.queued = nil
	for _, b := range waiting {
		l.handleBatch(b)
	}
}

// dropUnlistedHealth drops the recorded health of endpoints that are no longer listed.
func (l *loop) dropUnlistedHealth() {
	for host := range l.journal.Health() {
		if _, listed := l.endpoints.table.Get(host); !listed {
			l.journal.DropHealth(host)
		}
	}
}

// finishObject records that an object is applied completely, and lets discovery's watch continue.
func (l *loop) finishObject(last discovery.Batch) {
	l.endpoints.commit(last.Seq)
	if l.endpoints.changes > maxLoggedChanges || last.Complete {
		slog.Info("endpoint list changed", "version", last.Seq, "complete", last.Complete, "changes", l.endpoints.changes,
			"endpoints", l.endpoints.table.Len())
	}
	close(last.Applied)
}
