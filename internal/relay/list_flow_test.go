package relay

import (
	"fmt"
	"testing"

	"milletsail/internal/clock"
	"milletsail/internal/endpoints"
	"milletsail/internal/journal"
	"milletsail/internal/relay/discovery"
	"milletsail/policy"
)

// A complete list removes the entries that it does not contain, in steps, so that a long table does not block the event loop.
// Until that is done, its version must not be stored and the next object must not be applied: a crash between would leave removed
// endpoints on disk.
func TestNextObjectWaitsForRemovals(t *testing.T) {
	dir := t.TempDir()
	l := newListLoop(t, dir, 100)
	hosts := fillerHosts(manyHosts)
	l.applyObject(t, Members{Seq: 50, Whole: true, Hosts: hosts})
	whole := discovery.Batch{Applied: make(chan struct{})}
	whole.Entries, whole.First, whole.End = hosts[:1], true, true
	whole.Seq, whole.Complete, whole.CompleteKnown = 51, true, true
	next := discovery.Batch{Applied: make(chan struct{})}
	next.Entries, next.First, next.End = hosts[manyHosts-1:], true, true
	next.Seq, next.CompleteKnown = 52, true
	l.handleEvent(batchReceived{whole})
	l.handleEvent(batchReceived{next})
	for steps := 1; l.endpoints.sweeping != nil; steps++ {
		before := l.endpoints.table.Len()
		if _, seq := readStoredList(t, dir); seq != 50 || applied(whole) || applied(next) {
			t.Fatalf("before all removals are done, version %d is on disk (want 50), and the lists are applied: %v and %v (want neither)",
				seq, applied(whole), applied(next))
		}
		l.step(t.Context())
		if removed := before - l.endpoints.table.Len(); removed > sweepBatchSize {
			t.Fatalf("%d entries removed in one step, more than sweepBatchSize", removed)
		}
		if steps > manyHosts {
			t.Fatal("the removals did not end within as many steps as there are entries")
		}
	}
	if !applied(whole) || !applied(next) {
		t.Error("the removals are done, but the batches are not marked as applied")
	}
	listed, seq := readStoredList(t, dir)
	if seq != 52 || len(listed) != 2 || listed[0] != hosts[0] || listed[1] != hosts[manyHosts-1] {
		t.Errorf("the list on disk has version %d and endpoints %+v, want version 52 with the first and the last one",
			seq, listed)
	}
}

// applied reports whether a batch has been applied.
func applied(b discovery.Batch) bool {
	select {
	case <-b.Applied:
		return true
	default:
		return false
	}
}

// The policy would lose an endpoint's state or keep calling it at a former destination if it got wrong events: an endpoint that
// is listed again comes with its health record, one that moves is removed from its former destination, and unchanged entries
// cause no event.
func TestPolicyEventsOfListChanges(t *testing.T) {
	l := newListLoop(t, t.TempDir(), 100)
	host := fillerHosts(1)[0]
	b := discovery.Batch{Applied: make(chan struct{})}
	b.Entries = []Member{host}
	events := func() (text string) {
		l.batch.events = nil
		l.applyEntries(b.Batch)
		for _, e := range l.batch.events {
			text += fmt.Sprintf("%T ", e)
			if listed, ok := e.(policy.EndpointsUpdated); ok {
				for _, ep := range listed.Endpoints {
					text += fmt.Sprint(ep.Destination, ep.Removed, " ")
				}
			}
		}
		return text
	}
	if got := events(); got != "policy.EndpointsUpdated 1000 false " {
		t.Errorf("events of a new endpoint: %s", got)
	}
	if got := events(); got != "" {
		t.Errorf("events of an unchanged endpoint: %s, want none", got)
	}
	b.Entries[0].Block = 2000
	if got := events(); got != "policy.EndpointsUpdated 1000 true 2000 false " {
		t.Errorf("events of an endpoint that moves to another destination: %s", got)
	}
	b.Entries[0].Health = endpoints.Deleted
	if got := events(); got != "policy.EndpointsUpdated 2000 true " {
		t.Errorf("events of a deleted endpoint: %s", got)
	}
	l.journal.RecordHealth(host.Host, journal.HealthRecord{Ejected: true, ChangedAt: clock.Now()})
	b.Entries[0].Health = "SERVING"
	if got := events(); got != "policy.EndpointsUpdated 2000 false policy.StateRestored " {
		t.Errorf("events of an endpoint that is listed again with a health record: %s", got)
	}
}
