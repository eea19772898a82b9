package journal

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler)) // models of damage make for thousands of warnings
	os.Exit(m.Run())
}

// blockSize is what a power loss keeps or loses as a whole.
const blockSize = 512

// inode is a file of the model.
type inode struct {
	data   []byte
	synced []byte
}

// dirOp is a change of the folder that no SyncDir has made durable yet.
type dirOp struct {
	kind     string // create, rename, remove
	from, to string
	file     *inode
}

// model is a file system that knows what a power loss may leave. Each call is a point at which the machine may stop.
type model struct {
	now     map[string]*inode
	durable map[string]*inode
	pending []dirOp
	calls   int
	failAt  int // from this call on, and failFor calls long; 0 for never
	failFor int
	failure error // a short write, where it is nil
	stopped func(m *model, call string)
}

func newModel() *model { return &model{now: map[string]*inode{}, durable: map[string]*inode{}} }

// call counts a call, and tells how it fails.
func (m *model) call(name string) (failed bool, err error) {
	m.calls++
	if m.failAt > 0 && m.calls >= m.failAt && m.calls < m.failAt+m.failFor {
		return true, m.failure
	}
	return false, nil
}

func (m *model) done(name string) {
	if m.stopped != nil {
		m.stopped(m, name)
	}
}

type modelFile struct {
	m *model
	f *inode
}

func (m *model) Create(path string) (File, error) {
	if failed, err := m.call("create"); failed {
		return nil, errors.Join(err, syscall.ENOSPC)
	}
	f := &inode{}
	m.now[path] = f
	m.pending = append(m.pending, dirOp{"create", "", path, f})
	m.done("create")
	return &modelFile{m, f}, nil
}

func (f *modelFile) Write(b []byte) (int, error) {
	if failed, err := f.m.call("write"); failed {
		n := len(b) / 2
		f.f.data = append(f.f.data, b[:n]...)
		f.m.done("short write")
		return n, err
	}
	f.f.data = append(f.f.data, b...)
	f.m.done("write")
	return len(b), nil
}

func (f *modelFile) Sync() error {
	if failed, err := f.m.call("sync"); failed {
		// The system drops what it could not write and calls it clean: a later sync would prove nothing.
		return errors.Join(err, syscall.EIO)
	}
	f.f.synced = bytes.Clone(f.f.data)
	f.m.done("sync")
	return nil
}

func (f *modelFile) Truncate(size int64) error {
	if failed, err := f.m.call("truncate"); failed {
		return errors.Join(err, syscall.EIO)
	}
	f.f.data = bytes.Clone(f.f.data[:size])
	f.m.done("truncate")
	return nil
}

func (f *modelFile) Close() error { return nil }

func (m *model) Open(path string) (io.ReadCloser, int64, error) {
	f, ok := m.now[path]
	if !ok {
		return nil, 0, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(f.data)), int64(len(f.data)), nil
}

func (m *model) Rename(from, to string) error {
	if failed, err := m.call("rename"); failed {
		return errors.Join(err, syscall.EIO)
	}
	m.now[to] = m.now[from]
	delete(m.now, from)
	m.pending = append(m.pending, dirOp{"rename", from, to, m.now[to]})
	m.done("rename")
	return nil
}

func (m *model) Remove(path string) error {
	if failed, err := m.call("remove"); failed {
		return errors.Join(err, syscall.EIO)
	}
	if m.now[path] == nil {
		return fs.ErrNotExist
	}
	delete(m.now, path)
	m.pending = append(m.pending, dirOp{"remove", path, "", nil})
	m.done("remove")
	return nil
}

func (m *model) List(dir string) (names []string, err error) {
	for path := range m.now {
		names = append(names, filepath.Base(path))
	}
	return names, nil
}

func (m *model) SyncDir(string) error {
	if failed, err := m.call("sync folder"); failed {
		return errors.Join(err, syscall.EIO)
	}
	m.durable = map[string]*inode{}
	for path, f := range m.now {
		m.durable[path] = f
	}
	m.pending = nil
	m.done("sync folder")
	return nil
}

// after gives a file system as a power loss may leave it: which pending changes of the folder happened, and which
// blocks of what was never synced, are drawn by pick.
func (m *model) after(pick func(n int) int) *model {
	left := newModel()
	dir := map[string]*inode{}
	for path, f := range m.durable {
		dir[path] = f
	}
	for _, op := range m.pending {
		if pick(2) == 0 {
			continue
		}
		switch op.kind {
		case "create":
			dir[op.to] = op.file
		case "rename":
			dir[op.to] = op.file
			delete(dir, op.from)
		case "remove":
			delete(dir, op.from)
		}
	}
	for _, path := range sortedPaths(dir) {
		f := dir[path]
		data := bytes.Clone(f.synced)
		switch rest := f.data[len(f.synced):]; pick(4) {
		case 0: // nothing
		case 1: // all
			data = bytes.Clone(f.data)
		case 2: // a first part
			data = append(data, rest[:pick(len(rest)+1)]...)
		case 3: // some blocks and not others, which read as zeros
			data = bytes.Clone(f.data)
			for at := len(f.synced); at < len(data); {
				end := min(len(data), (at/blockSize+1)*blockSize)
				if pick(2) == 0 {
					clear(data[at:end])
				}
				at = end
			}
		}
		copied := &inode{data: data, synced: bytes.Clone(data)}
		left.now[path], left.durable[path] = copied, copied
	}
	return left
}

func sortedPaths(m map[string]*inode) (all []string) {
	for path := range m {
		all = append(all, path)
	}
	slices.Sort(all)
	return all
}

// promises is what a workload was told, whatever a journal makes of it.
type promises struct {
	power    bool
	answered map[string]bool // 202 was sent
	over     map[string]bool // its end was committed
	ending   map[string]bool // its end was noted, committed or not
	ran      map[string]bool // an attempt went out that may have run
	owed     map[string]bool
}

func newPromises(power bool) *promises {
	return &promises{power, map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}}
}

// kept tells whether what a start finds keeps the promises.
func (p *promises) kept(j *Journal) error {
	for id := range p.answered {
		e := j.Get(id)
		if e == nil && p.power && !p.ending[id] {
			return fmt.Errorf("%s was answered 202 and is gone", id)
		}
		if e != nil && p.power && p.owed[id] && e.PendingNotification == nil {
			return fmt.Errorf("%s ended by a notice and may be sent again", id)
		}
	}
	for _, e := range j.Entries() {
		if p.over[e.ID] && p.power {
			return fmt.Errorf("%s is over and comes back", e.ID)
		}
		mayHaveRun := e.PendingNotification != nil || slices.ContainsFunc(e.Attempts, func(a Attempt) bool { return !a.Ended || !a.NotExecuted })
		if (p.ran[e.ID] || p.over[e.ID]) && !mayHaveRun {
			return fmt.Errorf("%s may have run, and that is forgotten", e.ID)
		}
	}
	return nil
}

// workload runs a journal through a short life, and notes what was promised. answerEarly plants a fault.
func workload(files FS, p *promises, answerEarly bool, rounds int) {
	at := instant.Boot.Add(1000 * time.Second)
	clocks := Clocks{Now: func() instant.Time { at = at.Add(time.Second); return at }, Wall: func() clock.Wall { return clock.Wall(at - instant.Boot) },
		Uptime: func() time.Duration { return 0 }}
	j, _, err := Open("/d", Options{DiskMB: 3, SurvivesPowerLoss: p.power, Files: files, Boot: "one", Clocks: clocks})
	if err != nil {
		return
	}
	for i := range rounds {
		var fresh, sent, ended []string
		for k := range 2 {
			e := &Entry{ID: fmt.Sprintf("m%d-%d", i, k), Class: "order", Body: bytes.Repeat([]byte{byte(i)}, 300)}
			if j.Reserve(e) {
				j.Accept(e)
				fresh = append(fresh, e.ID)
				if answerEarly {
					p.answered[e.ID] = true
				}
			}
		}
		for _, e := range j.Entries() {
			switch {
			case e.PendingNotification != nil, len(e.Attempts) == 1 && !e.Attempts[0].NotExecuted && i%2 == 0:
				j.Complete(e)
				p.ending[e.ID] = true
				ended = append(ended, e.ID)
			case len(e.Attempts) == 1 && !e.Attempts[0].Ended && i%3 == 1:
				j.EndAttempt(e, false)
			case len(e.Attempts) == 0 && p.answered[e.ID]:
				j.StartAttempt(e, "h1", at)
				sent = append(sent, e.ID)
			}
		}
		var owed *Entry
		if i%3 == 2 {
			for _, e := range j.Entries() {
				if p.answered[e.ID] && e.PendingNotification == nil {
					owed = e
				}
			}
			if owed != nil {
				j.RecordPendingNotification(owed, Notification{ID: owed.ID, Status: "undeliverable"})
			}
		}
		if i%4 == 3 {
			j.segmentSize = 1 << 30 // the next segment is due
		}
		if j.Commit() != nil {
			continue
		}
		for _, id := range fresh {
			p.answered[id] = true
		}
		for _, id := range sent {
			p.ran[id] = true
		}
		for _, id := range ended {
			p.over[id] = true
		}
		if owed != nil {
			p.owed[owed.ID] = true
		}
	}
}

// restart opens what a crash left, and looks at it; where the start itself may be cut short, it is, and once more.
func restart(left *model, p *promises, pick func(int) int, again bool) error {
	before := left.after(func(int) int { return 1 })
	j, _, err := Open("/d", Options{DiskMB: 3, SurvivesPowerLoss: p.power, Files: left, Boot: "two"})
	if err != nil {
		return fmt.Errorf("the start fails: %w", err)
	}
	if err := p.kept(j); err != nil {
		return err
	}
	if !again {
		return nil
	}
	var second error
	before.stopped = func(m *model, call string) {
		if second == nil {
			if err := restart(m.after(pick), p, pick, false); err != nil {
				second = fmt.Errorf("after a second loss at a %s: %w", call, err)
			}
		}
	}
	if _, _, err := Open("/d", Options{DiskMB: 3, SurvivesPowerLoss: p.power, Files: before, Boot: "two"}); err != nil {
		return err
	}
	return second
}

// lose runs a workload and has the power fail at each call, in so many ways each; it gives what is broken first.
func lose(power bool, wrap func(*model) FS, answerEarly bool, ways int, seed uint64, prepare func(*model)) (states int, err error) {
	rng := rand.New(rand.NewPCG(seed, 0))
	m, p := newModel(), newPromises(power)
	if prepare != nil {
		prepare(m)
	}
	m.stopped = func(m *model, call string) {
		for range ways {
			if err != nil {
				return
			}
			states++
			if broken := restart(m.after(rng.IntN), p, rng.IntN, states%8 == 0); broken != nil {
				err = fmt.Errorf("power lost after call %d, a %s: %w", m.calls, call, broken)
			}
		}
	}
	workload(wrap(m), p, answerEarly, 9)
	return states, err
}

func plain(m *model) FS { return m }

// Whatever a power loss leaves, at any call and twice in a row, the promises are kept.
func TestPowerLoss(t *testing.T) {
	for _, power := range []bool{false, true} {
		total := 0
		for seed := range uint64(12) {
			states, err := lose(power, plain, false, 24, seed, nil)
			if err != nil {
				t.Errorf("power %v, seed %d: %v", power, seed, err)
			}
			total += states
		}
		t.Logf("power %v: %d states", power, total)
		if total < 5000 {
			t.Errorf("only %d states were looked at", total)
		}
	}
}

// exhaust tries all ways to choose, in the order of an odometer; a choice among many is one among nine spread over them.
func exhaust(try func(pick func(int) int) error) (ways int, err error) {
	var chosen, among []int
	for {
		at := 0
		err := try(func(n int) int {
			few := min(n, 9)
			if at == len(chosen) {
				chosen, among = append(chosen, 0), append(among, few)
			}
			at++
			if few < n {
				return chosen[at-1] * (n - 1) / (few - 1)
			}
			return chosen[at-1]
		})
		if ways++; err != nil {
			return ways, err
		}
		for at > 0 && chosen[at-1]+1 == among[at-1] {
			at--
		}
		if chosen, among = chosen[:at], among[:at]; at == 0 {
			return ways, nil
		}
		chosen[at-1]++
	}
}

// A short life, with every state that a power loss may leave at any of its calls.
func TestPowerLossExhaustively(t *testing.T) {
	for _, power := range []bool{false, true} {
		states, m, p := 0, newModel(), newPromises(power)
		m.stopped = func(m *model, call string) {
			ways, err := exhaust(func(pick func(int) int) error { return restart(m.after(pick), p, nil, false) })
			if states += ways; err != nil {
				t.Fatalf("power %v, after call %d, a %s: %v", power, m.calls, call, err)
			}
		}
		workload(m, p, false, 4)
		t.Logf("power %v: %d states", power, states)
	}
}

// The same with a file system that fails: at each call, for one call or for some, by an error or a short write.
func TestPowerLossOnFailingDisk(t *testing.T) {
	calls := 0
	if _, err := lose(true, func(m *model) FS { m.stopped = func(m *model, _ string) { calls = m.calls }; return m }, false, 1, 0, nil); err != nil {
		t.Fatal(err)
	}
	for _, power := range []bool{false, true} {
		for _, failure := range []error{syscall.ENOSPC, syscall.EIO, nil} {
			for at := 1; at <= calls; at++ {
				for _, long := range []int{1, 3, 1000} {
					_, err := lose(power, plain, false, 2, uint64(at), func(m *model) { m.failAt, m.failFor, m.failure = at, long, failure })
					if err != nil {
						t.Fatalf("power %v, %v from call %d for %d: %v", power, failure, at, long, err)
					}
				}
			}
		}
	}
}

// noSync is a file system that leaves syncs out, or only those that should come before a rename.
type noSync struct {
	*model
	late bool
}

type unsynced struct{ *modelFile }

func (u unsynced) Sync() error { return nil }

func (n *noSync) Create(path string) (File, error) {
	f, err := n.model.Create(path)
	switch {
	case err != nil:
		return nil, err
	case n.late:
		return &syncedLate{modelFile: f.(*modelFile)}, nil
	}
	return unsynced{f.(*modelFile)}, nil
}

// syncedLate leaves its first sync out: the content of a segment is durable only with the commit after its rename.
type syncedLate struct {
	*modelFile
	passed bool
}

func (s *syncedLate) Sync() error {
	if !s.passed {
		s.passed = true
		return nil
	}
	return s.modelFile.Sync()
}

// The checks above find planted faults: a missing sync, one that comes after the rename, an answer before the commit.
func TestPlantedFaultsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		wrap  func(*model) FS
		early bool
	}{
		"no sync":                {func(m *model) FS { return &noSync{model: m} }, false},
		"rename before the sync": {func(m *model) FS { return &noSync{model: m, late: true} }, false},
		"answer before commit":   {plain, true},
	} {
		var found error
		for seed := uint64(0); seed < 12 && found == nil; seed++ {
			_, found = lose(true, c.wrap, c.early, 24, seed, nil)
		}
		if found == nil {
			t.Errorf("%s: not found", name)
		} else {
			t.Logf("%s: %v", name, found)
		}
	}
}
