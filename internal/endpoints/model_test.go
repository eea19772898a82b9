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

// modelBlock is what a power loss keeps or loses as a whole, in bytes.
const modelBlock = 512

// modelFile is a file of a modelFS.
type modelFile struct {
	fsys   *modelFS
	data   []byte
	synced []byte
}

// modelFS is a file system in memory. It counts its calls that change something, and can stop, as the disk of a
// process that is killed does, or fail.
type modelFS struct {
	files        map[string]*modelFile
	synced       map[string]*modelFile // as of the last SyncDir
	calls        int
	written      int64
	writes       int
	failAt       int   // from this call on; 0 for never
	failFor      int   // calls
	failure      error // of these; nil for a write that is short
	writesFully  bool  // a write that fails has written all the same
	onCall       func()
	inaccessible string // the path of a file that can be neither read nor removed
}

func newModelFS() *modelFS {
	return &modelFS{files: map[string]*modelFile{}, synced: map[string]*modelFile{}}
}

// shouldFail counts a call, and reports whether it shouldFail.
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

// afterKill returns what a process that is afterKill now leaves.
func (m *modelFS) afterKill() *modelFS {
	left := newModelFS()
	for path, f := range m.files {
		left.files[path] = &modelFile{fsys: left, data: bytes.Clone(f.data)}
	}
	return left
}

// powerLoss returns what a power loss may leave: pick draws which files are back as of the last SyncDir, and which blocks
// that were not synced are there, are zero, or are cut off.
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
