package journal

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"syscall"
)

// blockSize is what a power loss keeps or loses as a whole.
const blockSize = 512

// inode is a file of the model.
type inode struct {
	data   []byte
	synced []byte
}

// dirOp is a change of the directory that no SyncDir has made durable yet.
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
func (m *model) call() (failed bool, err error) {
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
	if failed, err := m.call(); failed {
		return nil, errors.Join(err, syscall.ENOSPC)
	}
	f := &inode{}
	m.now[path] = f
	m.pending = append(m.pending, dirOp{"create", "", path, f})
	m.done("create")
	return &modelFile{m, f}, nil
}

func (f *modelFile) Write(b []byte) (int, error) {
	if failed, err := f.m.call(); failed {
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
	if failed, err := f.m.call(); failed {
		// The system drops what it could not write and calls it clean: a later sync would prove nothing.
		return errors.Join(err, syscall.EIO)
	}
	f.f.synced = bytes.Clone(f.f.data)
	f.m.done("sync")
	return nil
}

func (f *modelFile) Truncate(size int64) error {
	if failed, err := f.m.call(); failed {
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
	if failed, err := m.call(); failed {
		return errors.Join(err, syscall.EIO)
	}
	m.now[to] = m.now[from]
	delete(m.now, from)
	m.pending = append(m.pending, dirOp{"rename", from, to, m.now[to]})
	m.done("rename")
	return nil
}

func (m *model) Remove(path string) error {
	if failed, err := m.call(); failed {
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
	if failed, err := m.call(); failed {
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

// after returns a file system as a power loss may leave it: which pending changes of the directory happened, and which
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

func unchanged(m *model) FS { return m }
