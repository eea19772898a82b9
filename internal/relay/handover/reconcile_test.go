package handover

import (
	"slices"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/journal"
)

// The attempts of the tests: one that was rejected, one that an earlier version recorded although it could not be started, which looks
// the same, one that may have been executed, the one in flight, and one that stands for lost records.
var (
	rejected   = journal.Attempt{Host: "h1", StartedAt: 1, Ended: true, NotExecuted: true}
	notStarted = journal.Attempt{Host: "h2", StartedAt: 2, Ended: true, NotExecuted: true}
	executed   = journal.Attempt{Host: "h3", StartedAt: 3, Ended: true}
	killed     = journal.Attempt{Host: "h4", StartedAt: 4}
	inFlight   = journal.Attempt{Host: "h4", StartedAt: 5}
	uncertain  = journal.Attempt{Uncertain: true}
)

// Guards against issue 58: a successor that counts other attempts than its predecessor takes a call in flight for one that has ended,
// and sends its message again. Each journal here has lost records or has ones that the predecessor does not count.
func TestAttemptInFlightIsLast(t *testing.T) {
	for _, c := range []struct {
		name     string
		recorded []journal.Attempt
		offered  int // index of the attempt in flight
		want     []journal.Attempt
	}{
		{"complete journal", []journal.Attempt{rejected, inFlight}, 1, []journal.Attempt{rejected, inFlight}},
		{"attempts not started", []journal.Attempt{notStarted, notStarted, inFlight}, 0, []journal.Attempt{inFlight}},
		{"executed among them", []journal.Attempt{notStarted, executed, notStarted, inFlight}, 1, []journal.Attempt{executed, inFlight}},
		{"later records lost", []journal.Attempt{rejected, inFlight, uncertain}, 1, []journal.Attempt{rejected, inFlight}},
		{"own record lost", []journal.Attempt{notStarted, executed, uncertain}, 1, []journal.Attempt{executed, inFlight}},
		{"all records lost", nil, 1, []journal.Attempt{uncertain, inFlight}},
		{"call of a killed process", []journal.Attempt{killed, notStarted, inFlight}, 1, []journal.Attempt{killed, inFlight}},
	} {
		entry := &journal.Entry{ID: "m", Attempts: slices.Clone(c.recorded)}
		Attempt{ID: "m", Attempt: c.offered, Endpoint: inFlight.Host}.Reconcile(entry, inFlight.StartedAt)
		if !slices.Equal(entry.Attempts, c.want) {
			t.Errorf("%s: attempts %+v, want %+v", c.name, entry.Attempts, c.want)
		}
	}
}

// Guards against a successor that takes the attempts of an incomplete journal for those that were made: their results may be missing,
// and the record of one attempt can stand for another one.
func TestHistoryReplacesIncompleteJournal(t *testing.T) {
	pair := clock.ReadPair()
	wallTime := func(at instant.Time) time.Time { return pair.WallOf(at).Time() }
	toInstant := func(at time.Time) instant.Time { return pair.InstantOf(clock.Wall(at.UnixNano())) }
	made := []journal.Attempt{rejected, executed, uncertain, inFlight}
	for i := range made {
		made[i].StartedAt = pair.At.Add(-time.Duration(len(made)-i) * time.Second)
	}
	live := NewLiveMessage(&journal.Entry{ID: "m", Attempts: made}, wallTime)
	found := &journal.Entry{ID: "m", Attempts: []journal.Attempt{killed, notStarted}}
	if live.Reconcile(found, toInstant); !slices.Equal(found.Attempts, made) {
		t.Errorf("attempts %+v, want those of the predecessor: %+v", found.Attempts, made)
	}
	live.History = nil // an earlier version
	found = &journal.Entry{ID: "m", Attempts: []journal.Attempt{notStarted, killed, notStarted, notStarted, rejected, killed}}
	if live.Reconcile(found, toInstant); len(found.Attempts) != live.Attempts || !slices.Contains(found.Attempts, killed) {
		t.Errorf("attempts %+v, want %d, with those that may have been executed", found.Attempts, live.Attempts)
	}
}
