package journal

import (
	"io"
	"os"

	"milletsail/internal/atomicfile"
)

// FS is the set of file system operations that a journal uses. All programs use Disk; tests replace it to simulate
// crashes and full disks. Paths have the form that package os expects.
type FS interface {
	// Create opens a file for writing, and truncates it if it exists.
	Create(path string) (File, error)
	// Open opens a file for reading, and returns its size.
	Open(path string) (io.ReadCloser, int64, error)
	// Rename atomically replaces the file at one path by the file at another.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// List returns the names of the regular files in a directory.
	List(dir string) ([]string, error)
	// SyncDir makes the creations, renames and removals in a directory durable.
	SyncDir(dir string) error
}

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	// Sync makes all written data durable. It must not be retried after an error: the kernel may have marked pages as
	// clean that it failed to write, so a second call could succeed although their data is lost.
	Sync() error
	// Truncate shortens the file; the next write continues at its new end.
	Truncate(size int64) error
}

// Disk is the operating system's file system.
var Disk FS = disk{}

type disk struct{}

func (disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

func (disk) Open(path string) (io.ReadCloser, int64, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	info, err := f.Stat()
	if err != nil {
		_ = f.Close() // Stat's error is returned instead
		return nil, 0, err
	}
	return f, info.Size(), nil
}

func (disk) Rename(from, to string) error { return os.Rename(from, to) }

func (disk) Remove(path string) error { return os.Remove(path) }

func (disk) List(dir string) (names []string, err error) {
	entries, err := os.ReadDir(dir)
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, err
}

func (disk) SyncDir(dir string) error { return atomicfile.SyncDir(dir) }
