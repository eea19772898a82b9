package endpoints

import (
	"errors"
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
func open(t testing.TB, fsys *modelFS, budget int64) (*Store, *Table, int64, Found) {
	t.Helper()
	s, table, seq, found, err := OpenFS("folder", budget, fsys)
	if err != nil {
		t.Fatal(err)
	}
	s.background = func(f func()) { f() }
	return s, table, seq, found
}

// version is what a host had from a commit on; absent if it was deleted.
type version struct {
	commit int // number of the commit after which it came
	entry  Entry
	absent bool
}

// life plays changes into a table and its store, and keeps what was true when.
type life struct {
	fsys    *modelFS
	store   *Store
	table   *Table
	random  *rand.Rand
	hosts   int
	history map[string][]version
	commits []int64 // sequences committed, by number of the commit; the first is 0
	durable int     // number of the last commit without an error
}

func newLife(t testing.TB, fsys *modelFS, seed uint64, hosts int) *life {
	l := &life{fsys: fsys, random: rand.New(rand.NewPCG(seed, 0)), hosts: hosts, history: map[string][]version{}, commits: []int64{0}}
	l.restart(t)
	return l
}

func (l *life) restart(t testing.TB) {
	l.store, l.table, _, _ = open(t, l.fsys, testBudget)
}

// beginAnew takes what the store has found for the truth.
func (l *life) beginAnew() {
	l.commits = []int64{l.store.seq}
	l.durable = 0
	l.history = map[string][]version{}
	for host, e := range contents(l.table) {
		l.history[host] = []version{{commit: 0, entry: e}}
	}
}

// change plays one object of a few entries.
func (l *life) change() {
	for range 1 + l.random.IntN(3) {
		e := exampleEntry(l.random.IntN(l.hosts))
		e.BornMS = int64(len(l.commits))
		e.Block = l.random.IntN(3)
		if l.random.IntN(4) == 0 {
			l.note(e.Host, version{absent: true})
			l.table.Delete(e.Host)
			l.store.Append(nil, []string{e.Host})
			continue
		}
		l.note(e.Host, version{entry: e})
		l.table.Put(e)
		l.store.Append([]Entry{e}, nil)
	}
	l.commits = append(l.commits, l.commits[len(l.commits)-1]+10)
	if l.store.Commit(l.commits[len(l.commits)-1]) == nil {
		l.durable = len(l.commits) - 1
	}
}

func (l *life) note(host string, v version) {
	v.commit = len(l.commits)
	l.history[host] = append(l.history[host], v)
}

// compact makes a whole snapshot, with changes meanwhile.
func (l *life) compact() {
	l.store.retryAt = time.Time{}
	if l.store.compaction == nil {
		l.store.begin()
	}
	for l.store.Step(l.table) {
		l.change()
	}
}

// check opens what a death has left, and fails unless each entry is one that was true at or after the sequence found.
// least is the number of the commit that must be there.
func (l *life) check(t *testing.T, left *modelFS, least int, when string) {
	t.Helper()
	_, table, seq, found := open(t, left, testBudget)
	commit := -1
	for i, s := range l.commits {
		if s == seq {
			commit = i
		}
	}
	if commit < least {
		t.Fatalf("%s: sequence %d, want that of commit %d (%d) or later; found %v", when, seq, least, l.commits[least], found)
	}
	if seq == 0 && least == 0 {
		l.checkFacts(t, table, when)
		return
	}
	for host, versions := range l.history {
		got, ok := table.Get(host)
		if !trueSince(versions, commit, got, ok) {
			t.Fatalf("%s: at sequence %d (commit %d) %s is %+v, %v; history %+v", when, seq, commit, host, got, ok, versions)
		}
	}
	l.checkFacts(t, table, when)
}

// checkFacts fails unless all entries were true at some time.
func (l *life) checkFacts(t *testing.T, table *Table, when string) {
	t.Helper()
	entries, _, _ := table.All(0, testBudget)
	for e := range entries {
		if !trueSince(l.history[e.Host], 0, e, true) {
			t.Fatalf("%s: %+v was never true", when, e)
		}
	}
}

// trueSince tells whether a host was as given at or after a commit.
func trueSince(versions []version, commit int, got Entry, ok bool) bool {
	current := version{absent: true}
	for _, v := range versions {
		if v.commit > commit && same(current, got, ok) {
			return true
		}
		current = v
	}
	return same(current, got, ok)
}

func same(v version, got Entry, ok bool) bool { return v.absent != ok && (v.absent || v.entry == got) }

func TestStoreEmptyFolder(t *testing.T) {
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
		for deadline := time.Now().Add(10 * time.Second); s.Step(table) || s.compaction != nil; {
			if time.Now().After(deadline) {
				t.Fatal("no end of the compaction")
			}
		}
	}
	if s.files[0].kind != kindSnapshot {
		t.Errorf("no snapshot among %+v", s.files)
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
func TestStoreChangeWritesFewBytes(t *testing.T) {
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
	l := newLife(t, fsys, 1, 2*StepEntries)
	points := 0
	fsys.onCall = func() {
		points++
		l.check(t, fsys.killed(), l.durable, fmt.Sprintf("before call %d", fsys.calls))
		for path, f := range fsys.files { // the tails of files, as of a write that was under way
			for _, less := range []int{1, 9, 30} {
				if len(f.data) < less || path != currentLog(l.store) {
					continue
				}
				left := fsys.killed()
				cut := left.files[path]
				cut.data = cut.data[:len(cut.data)-less]
				l.check(t, left, max(0, l.durable-1), fmt.Sprintf("within the write before call %d", fsys.calls))
			}
		}
	}
	for range 3 {
		for range 20 {
			l.change()
		}
		l.compact()
		l.change()
		l.restart(t)
		for range 5 {
			l.change()
		}
	}
	l.check(t, fsys.killed(), l.durable, "at the end")
	t.Logf("%d points", points)
}

func currentLog(s *Store) string {
	if s == nil || s.log == nil {
		return ""
	}
	return filepath.Join(s.dir, s.files[len(s.files)-1].name)
}

// After a power loss the sequence may be an earlier one, or 0, but the table is never without what goes with it.
func TestStorePowerLoss(t *testing.T) {
	for seed := range uint64(20) {
		fsys := newModelFS()
		l := newLife(t, fsys, seed, 40)
		random := rand.New(rand.NewPCG(seed, 1))
		fsys.onCall = func() {
			l.check(t, fsys.powerLoss(random.IntN), 0, fmt.Sprintf("seed %d, before call %d", seed, fsys.calls))
		}
		for range 3 {
			for range 10 {
				l.change()
			}
			l.compact()
			l.restart(t)
		}
	}
}

// Each bit of each file is turned once: what is read is a state that goes with the sequence, or the sequence is 0.
func TestStoreTurnedBits(t *testing.T) {
	fsys := newModelFS()
	l := newLife(t, fsys, 3, 12)
	for range 6 {
		l.change()
	}
	l.compact()
	l.restart(t)
	for range 4 {
		l.change()
	}
	l.restart(t)
	l.change()
	for path, f := range fsys.files {
		for bit := range 8 * len(f.data) {
			left := fsys.killed()
			left.files[path].data[bit/8] ^= 1 << (bit % 8)
			l.check(t, left, 0, fmt.Sprintf("%s, bit %d", path, bit))
		}
		for cut := range len(f.data) {
			left := fsys.killed()
			left.files[path].data = left.files[path].data[:cut]
			l.check(t, left, 0, fmt.Sprintf("%s, cut at %d", path, cut))
		}
		left := fsys.killed()
		delete(left.files, path)
		l.check(t, left, 0, path+" lost")
	}
}

// What damage has left is continued, and found again at the start after it.
func TestStoreGoesOnAfterDamage(t *testing.T) {
	for seed := range uint64(200) {
		fsys := newModelFS()
		l := newLife(t, fsys, seed, 12)
		for range 4 {
			l.change()
		}
		l.compact()
		l.restart(t)
		l.change()
		random := rand.New(rand.NewPCG(seed, 2))
		for _, f := range fsys.files {
			if len(f.data) > 0 && random.IntN(2) == 0 {
				f.data[random.IntN(len(f.data))] ^= 1
			}
		}
		l.restart(t)
		l.beginAnew()
		for range 3 {
			l.change()
		}
		l.check(t, fsys.killed(), l.durable, fmt.Sprintf("seed %d", seed))
		l.compact()
		l.check(t, fsys.killed(), l.durable, fmt.Sprintf("seed %d", seed))
	}
}

func TestStoreBudget(t *testing.T) {
	const entries = 5_000
	whole := newModelFS()
	fill(t, whole, testBudget, entries)
	for budget := int64(0); budget < 2_000_000; budget += 10_007 {
		fsys := newModelFS()
		s, errs := fill(t, fsys, budget, entries)
		reason, disabled := s.Disabled()
		if !disabled {
			continue
		}
		tooSmall := new(BudgetError)
		if !errors.As(reason, &tooSmall) || tooSmall.Budget != budget || tooSmall.Needed <= budget {
			t.Fatalf("budget %d: %v", budget, reason)
		}
		if len(fsys.files) != 0 || s.Bytes() != 0 {
			t.Fatalf("budget %d: %d files left", budget, len(fsys.files))
		}
		if errs != 1 {
			t.Fatalf("budget %d: said %d times", budget, errs)
		}
	}
	s, _ := fill(t, newModelFS(), 2_000_000, entries)
	if _, disabled := s.Disabled(); disabled {
		t.Error("disabled though there is room")
	}
}

// fill plays a list and compactions within a budget, and gives how often Commit said that it is too small.
func fill(t *testing.T, fsys *modelFS, budget int64, entries int) (s *Store, errs int) {
	t.Helper()
	s, table, _, _ := open(t, fsys, budget)
	fsys.onCall = func() {
		if s.Bytes() > budget {
			t.Fatalf("%d bytes of %d", s.Bytes(), budget)
		}
	}
	for i := range 2 * entries {
		e := exampleEntry(i % entries)
		e.BornMS = int64(i)
		table.Put(e)
		s.Append([]Entry{e}, nil)
		if i%10 == 9 {
			if s.Commit(int64(i)) != nil {
				errs++
			}
			if i%2000 == 1999 && s.compaction == nil && s.disabled == nil {
				s.begin()
			}
			s.Step(table)
		}
	}
	return s, errs
}

// Files of a newer version count as none.
func TestStoreNewerVersion(t *testing.T) {
	fsys := newModelFS()
	l := newLife(t, fsys, 1, 20)
	l.change()
	l.compact()
	for _, f := range fsys.files {
		f.data[versionAt] = formatVersion + 1
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
func TestStoreStepIsBounded(t *testing.T) {
	fsys := newModelFS()
	s, table, _, _ := open(t, fsys, testBudget)
	for i := range 10 * StepEntries {
		e := exampleEntry(i)
		table.Put(e)
		s.Append([]Entry{e}, nil)
	}
	if err := s.Commit(1); err != nil {
		t.Fatal(err)
	}
	s.begin()
	steps := 0
	for more := true; more; steps++ {
		before := fsys.written
		more = s.Step(table)
		if wrote := fsys.written - before; wrote > StepEntries*maxChangeBytes {
			t.Errorf("a step wrote %d bytes", wrote)
		}
	}
	if steps < 10 {
		t.Errorf("%d steps", steps)
	}
}

// Sequence 0 is kept as any other: the whole list has to be asked for.
func TestStoreForgetsSequence(t *testing.T) {
	fsys := newModelFS()
	l := newLife(t, fsys, 1, 20)
	l.change()
	if err := l.store.Commit(0); err != nil {
		t.Fatal(err)
	}
	if _, _, seq, _ := open(t, fsys.killed(), testBudget); seq != 0 {
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
