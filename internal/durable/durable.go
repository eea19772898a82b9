// Package durable writes small files that outlast a power loss.
package durable

import (
	"errors"
	"os"
	"path/filepath"
)

// Replace puts a text in a file's place: whole or not at all, and on disk when it returns. It uses path + ".new" on the
// way, so that one file has one writer at a time.
func Replace(path string, text []byte) error {
	next := path + ".new"
	f, err := os.OpenFile(next, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return errors.Join(err, os.Remove(next))
	}
	if err := os.Rename(next, path); err != nil {
		return err
	}
	return SyncDir(filepath.Dir(path))
}

// SyncDir makes what files a folder has outlast a power loss.
func SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
