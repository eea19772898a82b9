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

// open opens a store in a modelFS. The store runs its background functions synchronously.
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
			t.Errorf("empty directory: got %d entries, sequence %d, load report %+v, error %v", table.Len(), seq, found, err)
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}
}

// Guards against failures that appear only with real files and a background goroutine: fills a store, changes it until a
// compaction has run, and opens it again.
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
				t.Fatal("compaction did not end within 10 s")
			}
		}
	}
	if s.stored[0].kind != kindSnapshot {
		t.Errorf("files are %+v, want a snapshot first", s.stored)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	_, again, seq, found, err := Open(dir, testBudget)
	if err != nil || seq != 100 || len(found.Damage) > 0 {
		t.Fatalf("reopened store: got sequence %d, load report %+v, error %v, want sequence 100 and no damage", seq, found, err)
	}
	sameTable(t, again, table)
}

func sameTable(t *testing.T, got, want *Table) {
	t.Helper()
	if g, w := contents(got), contents(want); !maps.Equal(g, w) {
		t.Errorf("table of %d entries differs from the wanted table of %d entries", len(g), len(w))
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

// maxChangeBytes is the maximum size of the log records for the change of one entry, in bytes. The entries of these tests need
// 68 bytes.
const maxChangeBytes = 80

// Guards against a cost of changes that grows with the list: the change of one entry is a single write, of the same size for a
// short list and for a long one.
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
			t.Errorf("change of one entry made %d writes, want 1", fsys.writes-writes)
		}
	}
	t.Log(written)
	if written[300] != written[300_000] || written[300] > maxChangeBytes {
		t.Errorf("bytes written for one change, by length of the list: %v, want equal numbers of at most %d", written, maxChangeBytes)
	}
}

// Guards against losing a committed change, or reading a wrong entry, after the process was killed between any two calls of the
// file system or in the middle of a write.
func TestStoreKilledAnywhere(t *testing.T) {
	fsys := newModelFS()
	h := newHarness(t, fsys, 1, 2*CompactionStepEntries)
	points := 0
	fsys.onCall = func() {
		points++
		h.check(t, fsys.afterKill(), h.durable, fmt.Sprintf("before call %d", fsys.calls))
		for path, f := range fsys.files { // cuts off the end of the current log, as an interrupted write does
			for _, less := range []int{1, 9, 30} {
				if len(f.data) < less || path != currentLog(h.store) {
					continue
				}
				left := fsys.afterKill()
				cut := left.files[path]
				cut.data = cut.data[:len(cut.data)-less]
				h.check(t, left, max(0, h.durable-1), fmt.Sprintf("in the middle of the write before call %d", fsys.calls))
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
	t.Logf("checked the state before each of %d file system calls", points)
}

// currentLog returns the path of the store's current log, or "" if it has none.
func currentLog(s *Store) string {
	if s == nil || s.log == nil {
		return ""
	}
	return filepath.Join(s.dir, s.stored[len(s.stored)-1].name)
}

// Guards against a table that does not match its sequence after a power loss, and against a sequence before that of the last
// published snapshot.
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

// Guards against wrong entries from damaged files: with any bit flipped, any file truncated or any file missing, the restored
// table matches its sequence, or the sequence is 0.
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
			h.check(t, left, 0, fmt.Sprintf("%s, truncated to %d bytes", path, cut))
		}
		left := fsys.afterKill()
		delete(left.files, path)
		h.check(t, left, 0, path+" missing")
	}
}

// Guards against losing changes that were committed after a start with damaged files.
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
		h.check(t, fsys.afterKill(), h.durable, fmt.Sprintf("seed %d, before the compaction", seed))
		h.compact()
		h.check(t, fsys.afterKill(), h.durable, fmt.Sprintf("seed %d, after the compaction", seed))
	}
}

// Guards against reading files of a newer format version, or reporting them as damaged, after a rollback: the store starts
// empty and persists new changes.
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
		t.Errorf("files of a newer version: got %d entries, sequence %d, load report %+v, want an empty table and no damage",
			table.Len(), seq, found)
	}
	e := exampleEntry(1)
	s.Append([]Entry{e}, nil)
	if err := s.Commit(5); err != nil {
		t.Fatal(err)
	}
	if _, table, seq, _ := open(t, fsys, testBudget); table.Len() != 1 || seq != 5 {
		t.Errorf("after a commit and another start: got %d entries, sequence %d, want 1 and 5", table.Len(), seq)
	}
}

// Guards against compaction steps that block the owner of the table for long: each step writes a bounded number of entries.
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
			t.Errorf("one compaction step wrote %d bytes, more than CompactionStepEntries entries need", wrote)
		}
	}
	if steps < 10 {
		t.Errorf("compaction took %d steps, want at least 10", steps)
	}
}

// Guards against ignoring the commit of sequence 0, which means that a complete list has to be requested.
func TestStorePersistsSequenceZero(t *testing.T) {
	fsys := newModelFS()
	h := newHarness(t, fsys, 1, 20)
	h.change()
	if err := h.store.Commit(0); err != nil {
		t.Fatal(err)
	}
	if _, _, seq, _ := open(t, fsys.afterKill(), testBudget); seq != 0 {
		t.Errorf("restored sequence is %d, want 0", seq)
	}
}

// Guards against removing files that do not belong to the store.
func TestStoreLeavesOtherFiles(t *testing.T) {
	fsys := newModelFS()
	for _, name := range []string{"log", "log-01", "snapshot-x", "other.new", "snapshot-1.new", "log-3"} {
		fsys.files["folder/"+name] = &modelFile{fsys: fsys, data: []byte(strings.Repeat("x", 100))}
	}
	_, _, _, found := open(t, fsys, testBudget)
	if len(fsys.files) != 4 || len(found.Damage) != 1 {
		t.Errorf("%d files left and load report %+v, want 4 files and one damaged file", len(fsys.files), found)
	}
}
