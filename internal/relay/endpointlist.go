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
	// sweepBatchSize is how many places of the table one step of the loop looks at, while it removes the entries that a complete
	// list no longer names.
	sweepBatchSize = 2048
	// maxLoggedChanges is how many changes of one object are logged one by one; of further ones only the number is.
	maxLoggedChanges = 32
)

// maxStartTimeMS bounds the times of starts: the year 2200.
const maxStartTimeMS = 7_258_118_400_000

// endpointList is the endpoint list as discovery last sent it, in memory and, where there is room, on disk. The loop owns it.
// Discovery's objects come in batches. A complete list replaces all entries: those that it does not name are removed in bounded
// steps once its last batch is in.
type endpointList struct {
	settings   *settings.Settings
	table      *endpoints.Table
	store      *endpoints.Store // nil for none
	compacting bool             // the store has more to do
	version    int64            // of the last object that was applied completely
	clocks     clock.Pair       // of the start; they translate the wall times in the list, which all machines read from one clock

	replacing bool              // the entries of the present object are marked, since it may be a complete list
	changes   int               // of the present object
	sweeping  *discovery.Batch  // the last batch of a complete list, while entries that it did not name are removed
	queued    []discovery.Batch // that came meanwhile
}

// endpoint translates an entry into the policy's terms.
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

// Endpoints returns the endpoints of a destination, in the order in which they were first listed; for policy.Directory.
func (list *endpointList) Endpoints(destination int) (all []policy.Endpoint) {
	for e := range list.table.ByDestination(destination) {
		all = append(all, list.endpoint(e))
	}
	return all
}

// Destination returns the destination of a listed endpoint; for policy.Directory.
func (list *endpointList) Destination(endpoint string) (int, bool) {
	e, ok := list.table.Get(endpoint)
	return e.Block, ok
}

// acceptBatch applies a batch of the watch, or queues it until the list before it is applied.
func (l *loop) acceptBatch(batch discovery.Batch) {
	if l.endpoints.sweeping != nil {
		l.endpoints.queued = append(l.endpoints.queued, batch)
		return
	}
	if batch.First {
		l.endpoints.begin(batch.Batch)
	}
	l.updateList(batch.Batch)
	switch {
	case !batch.End:
		close(batch.Applied)
	case batch.Complete && l.endpoints.replacing:
		l.endpoints.sweeping = &batch // the watch waits until the complete list is applied
	default:
		l.endpoints.abortReplacement()
		l.completeList(batch)
	}
}

// usesDirectory reports whether the policy keeps state only for destinations in use, and looks up the rest of the list.
func (l *loop) usesDirectory() bool { return l.cfg.Policy.Directory != nil && !l.cfg.Policy.Zones }

// unavailableEndpoints returns how many listed endpoints get nothing now but health checks. Where the policy does not know the
// complete list, it does not count those that drain.
func (l *loop) unavailableEndpoints() int {
	if !l.usesDirectory() {
		return l.dispatcher.UnavailableEndpoints()
	}
	return l.dispatcher.UnavailableEndpoints() + l.endpoints.table.Draining()
}

// begin prepares for the first batch of an object. Entries need marks unless the object is known to hold changes alone.
func (list *endpointList) begin(b endpoints.Batch) {
	list.abortReplacement() // of an object that was cut off
	list.changes = 0
	if b.Complete || !b.CompleteKnown {
		list.table.BeginReplacement()
		list.replacing = true
	}
}

// abortReplacement ends a replacement that is incomplete, or was none: no entry is removed.
func (list *endpointList) abortReplacement() {
	if list.replacing {
		list.table.AbortReplacement()
		list.replacing = false
	}
}

// updateList applies the entries of a batch, and tells the policy what is new in them.
func (l *loop) updateList(b endpoints.Batch) {
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
			old.Health = endpoints.Deleted // at its former destination
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

// dropEndpoint drops what belongs to an entry that was removed, and returns the entry as the policy is told of it.
func (l *loop) dropEndpoint(e endpoints.Entry) policy.Endpoint {
	l.pool.CloseIdle(e.Dial)
	l.journal.DropHealth(e.Host)
	e.Health = endpoints.Deleted
	return l.endpoints.endpoint(e)
}

// appendHealth adds what an earlier process of this relay knew of an endpoint's outage: the list that came with the
// configuration may lack it.
func (l *loop) appendHealth(events []policy.Event, host string) []policy.Event {
	health, ok := l.journal.Health()[host]
	if !ok {
		return events
	}
	return append(events, policy.StateRestored{Endpoint: host, Ejected: health.Ejected, At: health.ChangedAt})
}

// logChange logs a change of an entry, as long as the object does not bring many.
func (l *loop) logChange(b endpoints.Batch, e endpoints.Entry) {
	l.endpoints.changes++
	if l.endpoints.changes <= maxLoggedChanges && !b.Complete {
		slog.Info("endpoint changed", "endpoint", e.Host, "destination", e.Block, "health", e.Health, "address", e.Dial)
	}
}

// removeUnlisted goes on removing the entries that a complete list did not name.
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
	l.completeList(*last)
	waiting := l.endpoints.queued
	l.endpoints.queued = nil
	for _, b := range waiting {
		l.acceptBatch(b)
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

// completeList notes that an object is applied, and has the watch go on.
func (l *loop) completeList(last discovery.Batch) {
	l.endpoints.commit(last.Seq)
	if l.endpoints.changes > maxLoggedChanges || last.Complete {
		slog.Info("endpoint list changed", "version", last.Seq, "complete", last.Complete, "changes", l.endpoints.changes,
			"endpoints", l.endpoints.table.Len())
	}
	close(last.Applied)
}
