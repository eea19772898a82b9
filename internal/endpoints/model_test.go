package endpoints

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"path/filepath"
	"syscall"

	"milletsail/internal/journal"
)

// modelBlock is the unit of data that a simulated power loss keeps or loses, in bytes.
const modelBlock = 512

// modelFile is a file of a modelFS. synced is its content as of the last Sync.
type modelFile struct {
	fsys   *modelFS
	data   []byte
	synced []byte
}

// modelFS is an in-memory file system for tests. It counts the calls that modify it, can let calls fail, and returns copies of
// what a killed process or a power loss would leave.
type modelFS struct {
	files        map[string]*modelFile
	synced       map[string]*modelFile // files as of the last SyncDir
	calls        int                   // number of modifying calls so far
	written      int64                 // number of bytes in successful writes
	writes       int                   // number of successful writes
	failAt       int                   // number of the first call that fails; 0 if no call fails
	failFor      int                   // number of calls that fail
	failure      error                 // error of failing writes; nil for a short write. Other calls add EIO
	writesFully  bool                  // a failing write stores all of its data, not half of it
	onCall       func()                // called at the beginning of each modifying call, if set
	inaccessible string                // path of a file that can be neither read nor removed
}

func newModelFS() *modelFS {
	return &modelFS{files: map[string]*modelFile{}, synced: map[string]*modelFile{}}
}

// shouldFail counts a call and reports whether it has to fail.
func (m *modelFS) shouldFail() bool {
	m.calls++
	if m.onCall != nil {
		m.onCall()
	}
	return m.failAt > 0 && m.calls >= m.failAt && m.calls < m.failAt+m.failFor
}

func (m *modelFS) callError() error { return errors.Join(m.failure, syscall.EIO) }

func (m *modelFS) Create(path string) (journal.File, error) {
	if m.shouldFail() {
		return nil, m.callError()
	}
	f := &modelFile{fsys: m}
	m.files[path] = f
	return f, nil
}

func (f *modelFile) Write(b []byte) (int, error) {
	if f.fsys.shouldFail() {
		n := len(b) / 2
		if f.fsys.writesFully {
			n = len(b)
		}
		f.data = append(f.data, b[:n]...)
		return n, f.fsys.failure
	}
	f.data = append(f.data, b...)
	f.fsys.written += int64(len(b))
	f.fsys.writes++
	return len(b), nil
}

func (f *modelFile) Sync() error {
	if f.fsys.shouldFail() {
		return f.fsys.callError()
	}
	f.synced = bytes.Clone(f.data)
	return nil
}

func (f *modelFile) Truncate(size int64) error {
	if f.fsys.shouldFail() {
		return f.fsys.callError()
	}
	f.data = bytes.Clone(f.data[:size])
	return nil
}

func (f *modelFile) Close() error { return nil }

func (m *modelFS) Open(path string) (io.ReadCloser, int64, error) {
	f, ok := m.files[path]
	if !ok {
		return nil, 0, fs.ErrNotExist
	}
	if path == m.inaccessible {
		return nil, 0, syscall.EIO
	}
	return io.NopCloser(bytes.NewReader(f.data)), int64(len(f.data)), nil
}

func (m *modelFS) Rename(from, to string) error {
	if m.shouldFail() {
		return m.callError()
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *modelFS) Remove(path string) error {
	if m.files[path] == nil {
		return fs.ErrNotExist
	}
	if m.shouldFail() || path == m.inaccessible {
		return m.callError()
	}
	delete(m.files, path)
	return nil
}

func (m *modelFS) List(string) (names []string, err error) {
	for path := range m.files {
		names = append(names, filepath.Base(path))
	}
	return names, nil
}

func (m *modelFS) SyncDir(string) error {
	if m.shouldFail() {
		return m.callError()
	}
	m.synced = map[string]*modelFile{}
	for path, f := range m.files {
		m.synced[path] = f
	}
	return nil
}

// afterKill returns a copy of the files as they would be if the process were killed now: all completed writes are present.
func (m *modelFS) afterKill() *modelFS {
	left := newModelFS()
	for path, f := range m.files {
		left.files[path] = &modelFile{fsys: left, data: bytes.Clone(f.data)}
	}
	return left
}

// powerLoss returns a copy of the files as a power loss may leave them. pick draws a number below n; it decides which files
// revert to the directory as of the last SyncDir, and which unsynced blocks are kept, zeroed or cut off.
func (m *modelFS) powerLoss(pick func(n int) int) *modelFS {
	left := newModelFS()
	names := map[string]bool{}
	for path := range m.files {
		names[path] = true
	}
	for path := range m.synced {
		names[path] = true
	}
	for path := range names {
		f, now := m.files[path]
		before, then := m.synced[path]
		if then && (!now || pick(2) == 0) {
			f = before
			now = pick(2) == 0 || now
		}
		if !now || !then && pick(2) == 0 {
			continue
		}
		left.files[path] = &modelFile{fsys: left, data: f.afterPowerLoss(pick)}
	}
	return left
}

// afterPowerLoss returns the content of the file after a power loss: synced data is kept, and pick decides about each block after
// it.
func (f *modelFile) afterPowerLoss(pick func(n int) int) []byte {
	data := bytes.Clone(f.data)
	for at := len(f.synced); at < len(data); {
		end := min(len(data), (at/modelBlock+1)*modelBlock)
		switch pick(4) {
		case 0:
			clear(data[at:end])
		case 1:
			if pick(4) == 0 {
				return data[:at]
			}
		}
		at = end
	}
	return data
}
