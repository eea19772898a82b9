package endpoints

import (
	"math/rand/v2"
	"testing"
	"time"
)

// version is one state of a host in the history of a harness.
type version struct {
	commit int   // index in harness.commits of the commit that first contains this state
	entry  Entry // entry of the host; the zero value if absent is true
	absent bool  // the host was deleted
}

// harness makes random changes to a table and its store, and records the history against which a restored table is checked.
type harness struct {
	fsys    *modelFS
	store   *Store
	table   *Table
	random  *rand.Rand
	hosts   int                  // number of hosts among which changes choose
	history map[string][]version // states of each host, oldest first
	commits []int64              // committed sequences; the first is the sequence found at the start
	durable int                  // index in commits of the last commit that returned no error
	synced  int                  // index in commits of the last commit that a published snapshot contains
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

// resetHistory makes the current contents of the store the initial state of the history, for tests in which damage has lost
// entries.
func (h *harness) resetHistory() {
	h.commits = []int64{h.store.sequence}
	h.durable = 0
	h.history = map[string][]version{}
	for host, e := range contents(h.table) {
		h.history[host] = []version{{commit: 0, entry: e}}
	}
}

// change puts or deletes one to three random hosts and commits the changes.
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

// compact runs a compaction to its end, with a change after each step. It starts one if none is in progress.
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

// check opens a file system and fails unless its sequence is that of commit least or a later one, and each host has a state that
// it had at that sequence or later. least is an index in commits. Sequence 0 means that a complete list has to be requested, so
// the entries then need only have existed at some time.
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
		t.Fatalf("%s: restored sequence %d, want that of commit %d (%d) or later; load report %v",
			when, seq, least, h.commits[least], found)
	}
	if seq == 0 && least == 0 {
		h.checkEntries(t, table, when)
		return
	}
	for host, versions := range h.history {
		got, ok := table.Get(host)
		if !heldSince(versions, commit, got, ok) {
			t.Fatalf("%s: at sequence %d (commit %d) host %s is restored as %+v, present %v; it had no such state since; history %+v",
				when, seq, commit, host, got, ok, versions)
		}
	}
	h.checkEntries(t, table, when)
}

// checkEntries fails if the table contains an entry that never existed.
func (h *harness) checkEntries(t *testing.T, table *Table, when string) {
	t.Helper()
	entries, _, _ := table.All(0, testBudget)
	for e := range entries {
		if !heldSince(h.history[e.Host], 0, e, true) {
			t.Fatalf("%s: restored entry %+v never existed", when, e)
		}
	}
}

// heldSince reports whether a host was in the given state at a commit or later. ok is false for the state of an absent host.
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

// matches reports whether a version is the state that Table.Get returned as got and ok.
func matches(v version, got Entry, ok bool) bool {
	return v.absent != ok && (v.absent || v.entry == got)
}
