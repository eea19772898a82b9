package journal

import (
	"io"
	"os"

	"milletsail/internal/atomicfile"
)

// FS is what a journal needs of a file system. Tests put models of crashes and of full disks in its place; all else
// uses Disk. Paths are whole.
type FS interface {
	// Create makes a file to write, empty whatever was there.
	Create(path string) (File, error)
	// Open gives a file to read, with its size.
	Open(path string) (io.ReadCloser, int64, error)
	// Rename puts a file in another's place at once.
	Rename(from, to string) error
	Remove(path string) error
	// List names the files of a folder.
	List(dir string) ([]string, error)
	// SyncDir makes what files a folder has outlast a power loss.
	SyncDir(dir string) error
}

// File is a file that is being written.
type File interface {
	io.WriteCloser
	// Sync makes what was written outlast a power loss. After an error the system may have dropped what was not
	// durable and call it clean, so a second Sync would prove nothing.
	Sync() error
	// Truncate cuts the file back; what is written next goes where the file ended before.
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
		_ = f.Close()
		return nil, 0, err
	}
	return f, info.Size(), nil
}

func (disk) Rename(from, to string) error { return os.Rename(from, to) }

func (disk) Remove(path string) error { return os.Remove(path) }

func (disk) List(dir string) (names []string, err error) {
	entries, err := os.ReadDir(dir)
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

func (disk) SyncDir(dir string) error {
	return atomicfile.SyncDir(dir)
}
