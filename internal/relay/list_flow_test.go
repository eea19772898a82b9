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

// The next object waits while entries are removed that a whole list does not name, the version of the whole list counts
// only once they are, and no batch of the loop looks at much of the table.
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
			t.Fatalf("version %d is on disk, applied %v and %v, with entries to be removed", seq, applied(whole), applied(next))
		}
		l.step(t.Context())
		if removed := before - l.endpoints.table.Len(); removed > sweepBatchSize {
			t.Fatalf("%d entries removed in one batch", removed)
		}
		if steps > manyHosts {
			t.Fatal("no end of it")
		}
	}
	if !applied(whole) || !applied(next) {
		t.Error("the watch is not told to go on")
	}
	listed, seq := readStoredList(t, dir)
	if seq != 52 || len(listed) != 2 || listed[0] != hosts[0] || listed[1] != hosts[manyHosts-1] {
		t.Errorf("version %d on disk: %+v", seq, listed)
	}
}

// applied tells whether a batch has been applied.
func applied(b discovery.Batch) bool {
	select {
	case <-b.Applied:
		return true
	default:
		return false
	}
}

// A host that comes back to the list is recalled with what is remembered of its health, at its former destination it is
// gone, and what a whole list repeats is not told anew.
func TestEventsOfAList(t *testing.T) {
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
		t.Errorf("new: %s", got)
	}
	if got := events(); got != "" {
		t.Errorf("repeated: %s", got)
	}
	b.Entries[0].Block = 2000
	if got := events(); got != "policy.EndpointsUpdated 1000 true 2000 false " {
		t.Errorf("moved: %s", got)
	}
	b.Entries[0].Health = endpoints.Deleted
	if got := events(); got != "policy.EndpointsUpdated 2000 true " {
		t.Errorf("deleted: %s", got)
	}
	l.journal.RecordHealth(host.Host, journal.HealthRecord{Ejected: true, ChangedAt: clock.Now()})
	b.Entries[0].Health = "SERVING"
	if got := events(); got != "policy.EndpointsUpdated 2000 false policy.StateRestored " {
		t.Errorf("back: %s", got)
	}
}
