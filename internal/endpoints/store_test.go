package endpoints

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const testBudget = 1 << 30

// open opens a store in a modelled file system, with all waiting for the disk done at once.
func open(tb testing.TB, fsys *modelFS, budget int64) (*Store, *Table, int64, LoadReport) {
	tb.Helper()
	s, table, seq, found, err := OpenFS("folder", budget, fsys)
	if err != nil {
		tb.Fatal(err)
	}
	s.background = func(f func()) { f() }
	return s, table, seq, found
}

func TestStoreEmptyDirectory(t *testing.T) {
	for _, dir := range []string{t.TempDir(), filepath.Join(t.TempDir(), "new")} {
		s, table, seq, found, err := Open(dir, testBudget)
		if err != nil || table.Len() != 0 || seq != 0 || found.Files != 0 || found.Damage != nil {
			t.Errorf("%d entries, sequence %d, %+v, %v", table.Len(), seq, found, err)
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}
}

// On a real disk: a list, changes, a compaction in the usual way, and a start from it.
func TestStoreOnDisk(t *testing.T) {
	dir := t.TempDir()
	s, table, _, _, err := Open(dir, testBudget)
	if err != nil {
		t.Fatal(err)
	}
	const entries = 20_000
	for i := range entries {
		e := exampleEntry(i)
		table.Put(e)
		s.Append([]Entry{e}, nil)
	}
	for seq := int64(1); seq <= 100; seq++ {
		host := exampleEntry(int(seq)).Host
		table.Delete(host)
		s.Append(nil, []string{host})
		if err := s.Commit(seq); err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(10 * time.Second); s.CompactStep(table) || s.compaction != nil; {
			if time.Now().After(deadline) {
				t.Fatal("no end of the compaction")
			}
		}
	}
	if s.stored[0].kind != kindSnapshot {
		t.Errorf("no snapshot among %+v", s.stored)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	_, again, seq, found, err := Open(dir, testBudget)
	if err != nil || seq != 100 || len(found.Damage) > 0 {
		t.Fatalf("sequence %d, %+v, %v", seq, found, err)
	}
	sameTable(t, again, table)
}

func sameTable(t *testing.T, got, want *Table) {
	t.Helper()
	if g, w := contents(got), contents(want); !maps.Equal(g, w) {
		t.Errorf("%d entries, want %d, or others", len(g), len(w))
	}
}

func contents(table *Table) map[string]Entry {
	all := map[string]Entry{}
	entries, _, _ := table.All(0, testBudget)
	for e := range entries {
		all[e.Host] = e
	}
	return all
}

// maxChangeBytes bounds what the change of one host writes: 68 bytes with the entries of these tests.
const maxChangeBytes = 80

// A change of one host is one short write, the same for a short list and for a long one.
func TestStoreChangeWriteSize(t *testing.T) {
	written := map[int]int64{}
	for _, entries := range []int{300, 300_000} {
		fsys := newModelFS()
		s, table, _, _ := open(t, fsys, testBudget)
		for i := range entries {
			e := exampleEntry(i)
			table.Put(e)
			s.Append([]Entry{e}, nil)
		}
		if err := s.Commit(1); err != nil {
			t.Fatal(err)
		}
		bytes, writes := fsys.written, fsys.writes
		e := exampleEntry(7)
		e.Health = Draining
		table.Put(e)
		s.Append([]Entry{e}, nil)
		if err := s.Commit(2); err != nil {
			t.Fatal(err)
		}
		written[entries] = fsys.written - bytes
		if fsys.writes != writes+1 {
			t.Errorf("%d writes", fsys.writes-writes)
		}
	}
	t.Log(written)
	if written[300] != written[300_000] || written[300] > maxChangeBytes {
		t.Errorf("bytes written by list: %v, want the same, at most %d", written, maxChangeBytes)
	}
}

// A process may be killed between any two calls of the file system, and in the middle of any write.
func TestStoreKilledAnywhere(t *testing.T) {
	fsys := newModelFS()
	h := newHarness(t, fsys, 1, 2*CompactionStepEntries)
	points := 0
	fsys.onCall = func() {
		points++
		h.check(t, fsys.afterKill(), h.durable, fmt.Sprintf("before call %d", fsys.calls))
		for path, f := range fsys.files { // the tails of files, as of a write that was under way
			for _, less := range []int{1, 9, 30} {
				if len(f.data) < less || path != currentLog(h.store) {
					continue
				}
				left := fsys.afterKill()
				cut := left.files[path]
				cut.data = cut.data[:len(cut.data)-less]
				h.check(t, left, max(0, h.durable-1), fmt.Sprintf("within the write before call %d", fsys.calls))
			}
		}
	}
	for range 3 {
		for range 20 {
			h.change()
		}
		h.compact()
		h.change()
		h.restart(t)
		for range 5 {
			h.change()
		}
	}
	h.check(t, fsys.afterKill(), h.durable, "at the end")
	t.Logf("%d points", points)
}

func currentLog(s *Store) string {
	if s == nil || s.log == nil {
		return ""
	}
	return filepath.Join(s.dir, s.stored[len(s.stored)-1].name)
}

// After a power loss the sequence may be an earlier one, but none before that of the last snapshot that was put in its
// place, and the table is never without what goes with it.
func TestStorePowerLoss(t *testing.T) {
	for seed := range uint64(20) {
		fsys := newModelFS()
		h := newHarness(t, fsys, seed, 40)
		random := rand.New(rand.NewPCG(seed, 1))
		fsys.onCall = func() {
			h.check(t, fsys.powerLoss(random.IntN), h.synced, fmt.Sprintf("seed %d, before call %d", seed, fsys.calls))
		}
		for range 3 {
			for range 10 {
				h.change()
			}
			h.compact()
			h.restart(t)
		}
	}
}

// Each bit of each file is turned once: what is read is a state that goes with the sequence, or the sequence is 0.
func TestStoreBitFlips(t *testing.T) {
	fsys := newModelFS()
	h := newHarness(t, fsys, 3, 12)
	for range 6 {
		h.change()
	}
	h.compact()
	h.restart(t)
	for range 4 {
		h.change()
	}
	h.restart(t)
	h.change()
	for path, f := range fsys.files {
		for bit := range 8 * len(f.data) {
			left := fsys.afterKill()
			left.files[path].data[bit/8] ^= 1 << (bit % 8)
			h.check(t, left, 0, fmt.Sprintf("%s, bit %d", path, bit))
		}
		for cut := range len(f.data) {
			left := fsys.afterKill()
			left.files[path].data = left.files[path].data[:cut]
			h.check(t, left, 0, fmt.Sprintf("%s, cut at %d", path, cut))
		}
		left := fsys.afterKill()
		delete(left.files, path)
		h.check(t, left, 0, path+" lost")
	}
}

// What damage has left is continued, and found again at the start after it.
func TestStoreContinuesAfterDamage(t *testing.T) {
	for seed := range uint64(200) {
		fsys := newModelFS()
		h := newHarness(t, fsys, seed, 12)
		for range 4 {
			h.change()
		}
		h.compact()
		h.restart(t)
		h.change()
		random := rand.New(rand.NewPCG(seed, 2))
		for _, f := range fsys.files {
			if len(f.data) > 0 && random.IntN(2) == 0 {
				f.data[random.IntN(len(f.data))] ^= 1
			}
		}
		h.restart(t)
		h.resetHistory()
		for range 3 {
			h.change()
		}
		h.check(t, fsys.afterKill(), h.durable, fmt.Sprintf("seed %d", seed))
		h.compact()
		h.check(t, fsys.afterKill(), h.durable, fmt.Sprintf("seed %d", seed))
	}
}

// Files of a newer version count as none.
func TestStoreNewerVersion(t *testing.T) {
	fsys := newModelFS()
	h := newHarness(t, fsys, 1, 20)
	h.change()
	h.compact()
	for _, f := range fsys.files {
		f.data[versionOffset] = formatVersion + 1
	}
	count := len(fsys.files)
	s, table, seq, found := open(t, fsys, testBudget)
	if table.Len() != 0 || seq != 0 || found.Newer != count || found.Damage != nil {
		t.Errorf("%d entries, sequence %d, %+v", table.Len(), seq, found)
	}
	e := exampleEntry(1)
	s.Append([]Entry{e}, nil)
	if err := s.Commit(5); err != nil {
		t.Fatal(err)
	}
	if _, table, seq, _ := open(t, fsys, testBudget); table.Len() != 1 || seq != 5 {
		t.Errorf("then %d entries, sequence %d", table.Len(), seq)
	}
}

// Each step looks at a bounded part of the table, and writes no more than that.
func TestStoreCompactStepIsBounded(t *testing.T) {
	fsys := newModelFS()
	s, table, _, _ := open(t, fsys, testBudget)
	for i := range 10 * CompactionStepEntries {
		e := exampleEntry(i)
		table.Put(e)
		s.Append([]Entry{e}, nil)
	}
	if err := s.Commit(1); err != nil {
		t.Fatal(err)
	}
	s.startCompaction()
	steps := 0
	for more := true; more; steps++ {
		before := fsys.written
		more = s.CompactStep(table)
		if wrote := fsys.written - before; wrote > CompactionStepEntries*maxChangeBytes {
			t.Errorf("a step wrote %d bytes", wrote)
		}
	}
	if steps < 10 {
		t.Errorf("%d steps", steps)
	}
}

// Sequence 0 is persisted like any other: a complete list has to be requested.
func TestStorePersistsSequenceZero(t *testing.T) {
	fsys := newModelFS()
	h := newHarness(t, fsys, 1, 20)
	h.change()
	if err := h.store.Commit(0); err != nil {
		t.Fatal(err)
	}
	if _, _, seq, _ := open(t, fsys.afterKill(), testBudget); seq != 0 {
		t.Errorf("sequence %d", seq)
	}
}

// Files that are not the store's stay.
func TestStoreLeavesOtherFiles(t *testing.T) {
	fsys := newModelFS()
	for _, name := range []string{"log", "log-01", "snapshot-x", "other.new", "snapshot-1.new", "log-3"} {
		fsys.files["folder/"+name] = &modelFile{fsys: fsys, data: []byte(strings.Repeat("x", 100))}
	}
	_, _, _, found := open(t, fsys, testBudget)
	if len(fsys.files) != 4 || len(found.Damage) != 1 {
		t.Errorf("%d files left, %+v", len(fsys.files), found)
	}
}
