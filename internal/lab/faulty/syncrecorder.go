package main

import (
	"encoding/json"
	"os"
	"path/filepath"

	"milletsail/internal/journal"
)

// syncRecorder is a file system that records what would survive a power loss: for each file with a durable name, how
// much of it was synced. It is used by one goroutine.
type syncRecorder struct {
	journal.FS
	path        string                   // file that holds the record
	ignoreSyncs bool                     // syncs of file contents are not recorded, only names become durable
	files       map[string]*recordedFile // files created by this process, by current name
	durable     map[string]int64         // durable sizes by durable name
}

// recordedFile is an open file of a syncRecorder.
type recordedFile struct {
	journal.File
	recorder     *syncRecorder
	name         string
	size, synced int64
}

func (n *syncRecorder) Create(path string) (journal.File, error) {
	f, err := n.FS.Create(path)
	if err != nil {
		return nil, err
	}
	if n.files == nil {
		n.files, n.durable = map[string]*recordedFile{}, map[string]int64{}
	}
	name := filepath.Base(path)
	n.files[name] = &recordedFile{File: f, recorder: n, name: name}
	return n.files[name], nil
}

// Write adds to the size that the next Sync makes durable.
func (f *recordedFile) Write(b []byte) (int, error) {
	written, err := f.File.Write(b)
	f.size += int64(written)
	return written, err
}

// Sync records the durable size after the file's own sync has succeeded, never before.
func (f *recordedFile) Sync() error {
	if err := f.File.Sync(); err != nil {
		return err
	}
	if f.recorder.ignoreSyncs {
		return nil
	}
	f.synced = f.size
	if _, ok := f.recorder.durable[f.name]; ok {
		f.recorder.durable[f.name] = f.size
		return f.recorder.save()
	}
	return nil
}

func (n *syncRecorder) Rename(from, to string) error {
	if err := n.FS.Rename(from, to); err != nil {
		return err
	}
	if f := n.files[filepath.Base(from)]; f != nil {
		delete(n.files, f.name)
		f.name = filepath.Base(to)
		n.files[f.name] = f
	}
	return nil
}

// SyncDir makes the current names in dir durable and forgets those that are gone.
func (n *syncRecorder) SyncDir(dir string) error {
	if err := n.FS.SyncDir(dir); err != nil {
		return err
	}
	found, err := n.FS.List(dir)
	if err != nil {
		return err
	}
	before := n.durable
	n.durable = map[string]int64{}
	for _, name := range found {
		if f := n.files[name]; f != nil {
			n.durable[name] = f.synced
		} else if size, ok := before[name]; ok {
			n.durable[name] = size
		} else if info, err := os.Stat(filepath.Join(dir, name)); err == nil { // file of an earlier process
			n.durable[name] = info.Size()
		}
	}
	return n.save()
}

// save replaces the record atomically.
func (n *syncRecorder) save() error {
	text, err := json.Marshal(n.durable)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(n.path+".new", n.path)
}
