// Package atomicfile writes small files atomically and durably: a reader sees the old content or the new one, and what
// was written survives a power loss.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// Replace atomically replaces the content of the file at path; the new content is on disk when it returns. The temporary
// file is path + ".new", so a file may have only one writer at a time.
func Replace(path string, content []byte) error {
	temporary := path + ".new"
	f, err := os.OpenFile(temporary, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return errors.Join(err, os.Remove(temporary))
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	return SyncDir(filepath.Dir(path))
}

// SyncDir flushes a directory, so that files created, renamed or removed in it stay so after a power loss.
func SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
