// Package atomicfile writes small files atomically and durably: a reader sees either the old or the new content, and the new
// content survives a power loss.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// temporarySuffix ends the name of the temporary file that Replace writes and then renames.
const temporarySuffix = ".new"

// Replace atomically replaces the content of the file at path, or creates it. The new content is durable when Replace returns
// nil. Its temporary file is path + ".new", so two calls for the same path must not overlap.
func Replace(path string, content []byte) error {
	temporary := path + temporarySuffix
	file, err := os.OpenFile(temporary, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return errors.Join(err, os.Remove(temporary))
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	return SyncDir(filepath.Dir(path))
}

// SyncDir makes the creations, renames and removals of files in a directory durable.
func SyncDir(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
