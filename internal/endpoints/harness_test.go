package endpoints

import (
	"math/rand/v2"
	"testing"
	"time"
)

// version is what a host had from a commit on; absent if it was deleted.
type version struct {
	commit int // number of the commit after which it came
	entry  Entry
	absent bool
}

// harness makes changes into a table and its store, and keeps what was true when.
type harness struct {
	fsys    *modelFS
	store   *Store
	table   *Table
	random  *rand.Rand
	hosts   int
	history map[string][]version
	commits []int64 // sequences committed, by number of the commit; the first is 0
	durable int     // number of the last commit without an error
	synced  int     // number of the last commit that a snapshot in its place has
}

func newHarness(tb testing.TB, fsys *modelFS, seed uint64, hosts int) *harness {
	tb.Helper()
	h := &harness{
		fsys:    fsys,
		random:  rand.New(rand.NewPCG(seed, 0)),
		hosts:   hosts,
		history: map[string][]version{},
		commits: []int64{0},
	}
	h.restart(tb)
	return h
}

func (h *harness) restart(tb testing.TB) {
	tb.Helper()
	h.store, h.table, _, _ = open(tb, h.fsys, testBudget)
}

// resetHistory takes what the store has found for the truth.
func (h *harness) resetHistory() {
	h.commits = []int64{h.store.sequence}
	h.durable = 0
	h.history = map[string][]version{}
	for host, e := range contents(h.table) {
		h.history[host] = []version{{commit: 0, entry: e}}
	}
}

// change makes one object of a few entries.
func (h *harness) change() {
	for range 1 + h.random.IntN(3) {
		e := exampleEntry(h.random.IntN(h.hosts))
		e.BornMS = int64(len(h.commits))
		e.Block = h.random.IntN(3)
		if h.random.IntN(4) == 0 {
			h.record(e.Host, version{absent: true})
			h.table.Delete(e.Host)
			h.store.Append(nil, []string{e.Host})
			continue
		}
		h.record(e.Host, version{entry: e})
		h.table.Put(e)
		h.store.Append([]Entry{e}, nil)
	}
	h.commits = append(h.commits, h.commits[len(h.commits)-1]+10)
	if h.store.Commit(h.commits[len(h.commits)-1]) == nil {
		h.durable = len(h.commits) - 1
	}
}

func (h *harness) record(host string, v version) {
	v.commit = len(h.commits)
	h.history[host] = append(h.history[host], v)
}

// compact makes a whole snapshot, with changes meanwhile.
func (h *harness) compact() {
	h.store.retryAt = time.Time{}
	if h.store.compaction == nil {
		h.store.startCompaction()
	}
	startCommit := len(h.commits) - 1
	for h.store.CompactStep(h.table) {
		h.change()
	}
	if h.store.compaction == nil && h.store.failure == nil {
		h.synced = startCommit
	}
}

// check opens what a death has left, and fails unless each entry is one that was true at or after the sequence found.
// least is the number of the commit that must be there.
func (h *harness) check(t *testing.T, left *modelFS, least int, when string) {
	t.Helper()
	_, table, seq, found := open(t, left, testBudget)
	commit := -1
	for i, s := range h.commits {
		if s == seq {
			commit = i
		}
	}
	if commit < least {
		t.Fatalf("%s: sequence %d, want that of commit %d (%d) or later; found %v", when, seq, least, h.commits[least], found)
	}
	if seq == 0 && least == 0 {
		h.checkEntries(t, table, when)
		return
	}
	for host, versions := range h.history {
		got, ok := table.Get(host)
		if !heldSince(versions, commit, got, ok) {
			t.Fatalf("%s: at sequence %d (commit %d) %s is %+v, %v; history %+v", when, seq, commit, host, got, ok, versions)
		}
	}
	h.checkEntries(t, table, when)
}

// checkEntries fails unless all entries were true at some time.
func (h *harness) checkEntries(t *testing.T, table *Table, when string) {
	t.Helper()
	entries, _, _ := table.All(0, testBudget)
	for e := range entries {
		if !heldSince(h.history[e.Host], 0, e, true) {
			t.Fatalf("%s: %+v was never true", when, e)
		}
	}
}

// heldSince reports whether a host was as given at or after a commit.
func heldSince(versions []version, commit int, got Entry, ok bool) bool {
	current := version{absent: true}
	for _, v := range versions {
		if v.commit > commit && matches(current, got, ok) {
			return true
		}
		current = v
	}
	return matches(current, got, ok)
}

func matches(v version, got Entry, ok bool) bool {
	return v.absent != ok && (v.absent || v.entry == got)
}
