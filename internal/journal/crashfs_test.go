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

// blockSize is the size of the unit that a power loss keeps or loses as a whole, in bytes.
const blockSize = 512

// inode is the content of a file in a crashFS.
type inode struct {
	data   []byte // content as the process reads it
	synced []byte // content that survives a power loss
}

// dirOp is a change of the directory that no SyncDir has made durable.
type dirOp struct {
	kind     string // create, rename or remove
	from, to string // paths; from is empty for a create, and to for a remove
	file     *inode // the created or renamed file; nil for a remove
}

// crashFS is a file system in memory that simulates failing calls and power losses. The power may fail after each call.
type crashFS struct {
	files        map[string]*inode // files by path, as the process sees them
	durableFiles map[string]*inode // files by path at the last SyncDir
	unsyncedOps  []dirOp           // changes of the directory since the last SyncDir
	calls        int               // number of calls, successful and failed
	failFromCall int               // number of the first call that fails; 0 for none
	failedCalls  int               // number of calls that fail, from failFromCall on
	// failure is returned by failed calls. If it is nil, failed writes are short and other failed calls return a fixed error.
	failure error
	// afterCall is called after each call that changes the files or makes them durable, unless it is nil.
	afterCall func(m *crashFS, call string)
}

func newCrashFS() *crashFS {
	return &crashFS{files: map[string]*inode{}, durableFiles: map[string]*inode{}}
}

// countCall counts a call. It reports whether the call fails, and with which error.
func (m *crashFS) countCall() (failed bool, err error) {
	m.calls++
	if m.failFromCall > 0 && m.calls >= m.failFromCall && m.calls < m.failFromCall+m.failedCalls {
		return true, m.failure
	}
	return false, nil
}

// callDone calls afterCall with the name of the call that has ended.
func (m *crashFS) callDone(name string) {
	if m.afterCall != nil {
		m.afterCall(m, name)
	}
}

// crashFile is a file of a crashFS that is open for writing.
type crashFile struct {
	disk *crashFS
	node *inode
}

func (m *crashFS) Create(path string) (File, error) {
	if failed, err := m.countCall(); failed {
		return nil, errors.Join(err, syscall.ENOSPC)
	}
	f := &inode{}
	m.files[path] = f
	m.unsyncedOps = append(m.unsyncedOps, dirOp{"create", "", path, f})
	m.callDone("create")
	return &crashFile{m, f}, nil
}

func (f *crashFile) Write(b []byte) (int, error) {
	if failed, err := f.disk.countCall(); failed {
		n := len(b) / 2
		f.node.data = append(f.node.data, b[:n]...)
		f.disk.callDone("short write")
		return n, err
	}
	f.node.data = append(f.node.data, b...)
	f.disk.callDone("write")
	return len(b), nil
}

func (f *crashFile) Sync() error {
	if failed, err := f.disk.countCall(); failed {
		// As in the kernel, the data that could not be written is not made durable, and a later Sync may succeed without it.
		return errors.Join(err, syscall.EIO)
	}
	f.node.synced = bytes.Clone(f.node.data)
	f.disk.callDone("sync")
	return nil
}

func (f *crashFile) Truncate(size int64) error {
	if failed, err := f.disk.countCall(); failed {
		return errors.Join(err, syscall.EIO)
	}
	f.node.data = bytes.Clone(f.node.data[:size])
	f.disk.callDone("truncate")
	return nil
}

func (f *crashFile) Close() error { return nil }

func (m *crashFS) Open(path string) (io.ReadCloser, int64, error) {
	f, ok := m.files[path]
	if !ok {
		return nil, 0, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(f.data)), int64(len(f.data)), nil
}

func (m *crashFS) Rename(from, to string) error {
	if failed, err := m.countCall(); failed {
		return errors.Join(err, syscall.EIO)
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	m.unsyncedOps = append(m.unsyncedOps, dirOp{"rename", from, to, m.files[to]})
	m.callDone("rename")
	return nil
}

func (m *crashFS) Remove(path string) error {
	if failed, err := m.countCall(); failed {
		return errors.Join(err, syscall.EIO)
	}
	if m.files[path] == nil {
		return fs.ErrNotExist
	}
	delete(m.files, path)
	m.unsyncedOps = append(m.unsyncedOps, dirOp{"remove", path, "", nil})
	m.callDone("remove")
	return nil
}

func (m *crashFS) List(dir string) (names []string, err error) {
	for path := range m.files {
		names = append(names, filepath.Base(path))
	}
	return names, nil
}

func (m *crashFS) SyncDir(string) error {
	if failed, err := m.countCall(); failed {
		return errors.Join(err, syscall.EIO)
	}
	m.durableFiles = map[string]*inode{}
	for path, f := range m.files {
		m.durableFiles[path] = f
	}
	m.unsyncedOps = nil
	m.callDone("directory sync")
	return nil
}

// afterPowerLoss returns the file system in a state in which a power loss may leave it. The function pick, which returns a
// number below n, decides which unsynced changes of the directory took effect and which unsynced blocks were written.
func (m *crashFS) afterPowerLoss(pick func(n int) int) *crashFS {
	left := newCrashFS()
	dir := map[string]*inode{}
	for path, f := range m.durableFiles {
		dir[path] = f
	}
	for _, op := range m.unsyncedOps {
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
		case 0: // none of the unsynced data was written
		case 1: // all of it was written
			data = bytes.Clone(f.data)
		case 2: // a prefix of it was written
			data = append(data, rest[:pick(len(rest)+1)]...)
		case 3: // some blocks were written, and the others read as zeros
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
		left.files[path], left.durableFiles[path] = copied, copied
	}
	return left
}

// sortedPaths returns the paths in order, so that a seed determines the outcome of a power loss.
func sortedPaths(m map[string]*inode) (all []string) {
	for path := range m {
		all = append(all, path)
	}
	slices.Sort(all)
	return all
}

// withoutWrapper returns m itself, for tests that inject no fault.
func withoutWrapper(m *crashFS) FS { return m }
