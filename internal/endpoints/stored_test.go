package endpoints

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// These tests pin the endpoint list's files on disk: snapshots, and the write-ahead logs behind them. The files of
// storedDir were written by the code of commit 569f7cf and are never written anew by later code: what it has left
// on relays' disks has to stay readable (upgrade), and later code has to write the very same bytes (rollback). They
// hold no times of writing, so nothing is masked.

var updateStored = flag.Bool("update-stored", false, "write the stored files anew: at commit 569f7cf alone")

const (
	// storedDir holds the files of commit 569f7cf.
	storedDir = "testdata/569f7cf"
	// storedLog is the directory of a first log, which has nothing before it.
	storedLog = "log"
	// storedCompaction is a directory within a compaction: the log, the one that continues it, a snapshot without its
	// name.
	storedCompaction = "compaction"
	// storedSnapshot is the directory after it: the snapshot, its log, and the log of the next process.
	storedSnapshot = "snapshot"
	// storedBudget is more than any of these files needs.
	storedBudget = 1 << 20
	// tornBytes are cut off a log's end: a part of its last record.
	tornBytes = 1
	// otherVersion is a version of the format that commit 569f7cf does not know.
	otherVersion = 2
	// storedVersionOffset is where a file says its version.
	storedVersionOffset = 8
)

// storedWriter makes changes in a directory as its owner does: first in the table, then in the store.
type storedWriter struct {
	t     *testing.T
	store *Store
	table *Table
}

func newStoredWriter(t *testing.T, dir string) *storedWriter {
	t.Helper()
	store, table, _, _, err := Open(dir, storedBudget)
	if err != nil {
		t.Fatal(err)
	}
	store.background = func(write func()) { write() }
	return &storedWriter{t, store, table}
}

func (w *storedWriter) put(entry Entry) {
	w.table.Put(entry)
	w.store.Append([]Entry{entry}, nil)
}

func (w *storedWriter) remove(host string) {
	w.table.Delete(host)
	w.store.Append(nil, []string{host})
}

func (w *storedWriter) commit(sequence int64) {
	w.t.Helper()
	if err := w.store.Commit(sequence); err != nil {
		w.t.Fatal(err)
	}
}

func (w *storedWriter) close() {
	w.t.Helper()
	if err := w.store.Close(); err != nil {
		w.t.Fatal(err)
	}
}

// writeStoredLog writes a list and changes of it: an endpoint that drains, one that is gone, one that says all it
// can, one that says nothing but its name, and one that came after the last commit. The store stays open.
func writeStoredLog(t *testing.T, dir string) *storedWriter {
	t.Helper()
	w := newStoredWriter(t, dir)
	w.put(Entry{Host: "h1", Dial: "10.0.0.1:8443", Site: "a", Class: "m2", Block: 7, Health: "SERVING", Share: 1})
	w.put(Entry{Host: "h2", Dial: "10.0.0.2:8443", Site: "b", Class: "m2", Block: 8, Health: "SERVING", Share: 0.25})
	w.put(Entry{Host: "h3", Dial: "10.0.0.3:8443", Site: "b", Class: "m2", Block: 8, Health: "SERVING", Share: 1})
	w.commit(41)
	w.put(Entry{Host: "h2", Dial: "10.0.0.2:8443", Site: "b", Class: "m2", Block: 8, Health: "DRAINING", Share: 0.25})
	w.remove("h3")
	w.put(Entry{Host: "höst", Dial: "[::1]:1", Site: "s", Class: "c", Block: -300, Health: "OTHER", Share: 1.5,
		BornMS: 1767323045678})
	w.put(Entry{Host: "bare"})
	w.commit(1 << 33)
	w.put(Entry{Host: "late", Dial: "10.0.0.9:8443", Health: "SERVING"})
	return w
}

// writeStoredSnapshot has that log compacted, with changes meanwhile and behind it, and a further process go on.
func writeStoredSnapshot(t *testing.T, dir, during string) {
	t.Helper()
	w := writeStoredLog(t, dir)
	w.store.startCompaction()
	w.remove("late")
	w.commit(1<<33 + 1)
	w.store.writeSnapshotEntries(w.table)
	if w.store.compaction.done == nil {
		t.Fatal("the snapshot is not written in one step")
	}
	if during != "" {
		copyStored(t, dir, during)
		if err := os.Rename(filepath.Join(during, "snapshot-2"), filepath.Join(during, "snapshot-2.new")); err != nil {
			t.Fatal(err)
		}
	}
	for w.store.CompactStep(w.table) {
		t.Log("the compaction goes on")
	}
	w.put(Entry{Host: "h4", Dial: "10.0.0.4:8443", Site: "c", Class: "m3", Block: 9, Health: "SERVING", Share: 2})
	w.commit(1<<33 + 2)
	w.close()
	next := newStoredWriter(t, dir)
	next.remove("h1")
	next.commit(1<<33 + 3)
	next.close()
}

// storedDirectories are the directories of storedDir, and what writes each.
var storedDirectories = []struct {
	name  string
	write func(t *testing.T, dir string)
}{
	{storedLog, func(t *testing.T, dir string) { t.Helper(); writeStoredLog(t, dir).close() }},
	{storedCompaction, func(t *testing.T, dir string) { t.Helper(); writeStoredSnapshot(t, t.TempDir(), dir) }},
	{storedSnapshot, func(t *testing.T, dir string) { t.Helper(); writeStoredSnapshot(t, dir, "") }},
}

// The same changes give the same files, byte by byte, as at commit 569f7cf, which can so read what later code
// writes.
func TestWritesStoredBytes(t *testing.T) {
	for _, folder := range storedDirectories {
		t.Run(folder.name, func(t *testing.T) {
			stored, written := filepath.Join(storedDir, folder.name), t.TempDir()
			folder.write(t, written)
			if *updateStored {
				if err := os.MkdirAll(stored, 0o755); err != nil {
					t.Fatal(err)
				}
				copyStored(t, written, stored)
			}
			want, got := fileNames(t, stored), fileNames(t, written)
			if !slices.Equal(got, want) {
				t.Fatalf("files %q, want %q", got, want)
			}
			for _, name := range want {
				got, want := fileBytes(t, filepath.Join(written, name)), fileBytes(t, filepath.Join(stored, name))
				if !bytes.Equal(got, want) {
					t.Errorf("%s: got\n%x\nwant\n%x", name, got, want)
				}
			}
		})
	}
}

// The entries of the stored files, in the order of their hosts' names.
const (
	entryBare = "bare: at , site , class , block 0, health , share 0, born 0\n"
	entryH1   = "h1: at 10.0.0.1:8443, site a, class m2, block 7, health SERVING, share 1, born 0\n"
	entryH2   = "h2: at 10.0.0.2:8443, site b, class m2, block 8, health DRAINING, share 0.25, born 0\n"
	entryH4   = "h4: at 10.0.0.4:8443, site c, class m3, block 9, health SERVING, share 2, born 0\n"
	entryHost = "höst: at [::1]:1, site s, class c, block -300, health OTHER, share 1.5, born 1767323045678\n"
	entryLate = "late: at 10.0.0.9:8443, site , class , block 0, health SERVING, share 0, born 0\n"
)

// A later process finds all that was written, also where the one before ended within a compaction.
func TestReadsStoredFiles(t *testing.T) {
	for _, folder := range []struct{ name, want string }{
		{storedLog, "sequence 8589934592, files 1, newer 0, damaged 0, draining 1\n" +
			entryBare + entryH1 + entryH2 + entryHost + entryLate},
		{storedCompaction, "sequence 8589934593, files 2, newer 0, damaged 0, draining 1\n" +
			entryBare + entryH1 + entryH2 + entryHost},
		{storedSnapshot, "sequence 8589934595, files 3, newer 0, damaged 0, draining 1\n" +
			entryBare + entryH2 + entryH4 + entryHost},
	} {
		t.Run(folder.name, func(t *testing.T) {
			dir := t.TempDir()
			copyStored(t, filepath.Join(storedDir, folder.name), dir)
			sameText(t, describeStored(t, dir), folder.want)
		})
	}
}

// A log that ends within its last record gives what came before it, and the rest counts as damaged.
func TestReadsStoredTornLog(t *testing.T) {
	dir := t.TempDir()
	text := fileBytes(t, filepath.Join(storedDir, storedLog, "log-1"))
	putFile(t, filepath.Join(dir, "log-1"), text[:len(text)-tornBytes])
	sameText(t, describeStored(t, dir), "sequence 8589934592, files 1, newer 0, damaged 1, draining 1\n"+
		entryBare+entryH1+entryH2+entryHost)
}

// A file says its version at a place that no later version may move: one of another version is told from a damaged
// one, and left out.
func TestReadsStoredVersion(t *testing.T) {
	dir := t.TempDir()
	text := fileBytes(t, filepath.Join(storedDir, storedLog, "log-1"))
	text[storedVersionOffset] = otherVersion
	putFile(t, filepath.Join(dir, "log-1"), text)
	sameText(t, describeStored(t, dir), "sequence 0, files 1, newer 1, damaged 0, draining 0\n")
}

// describeStored tells all that a later process finds in a directory, in words of this test's own.
func describeStored(t *testing.T, dir string) string {
	t.Helper()
	store, table, sequence, found, err := Open(dir, storedBudget)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	if table.Len() != found.Entries {
		t.Errorf("%d entries, and %d are said to be found", table.Len(), found.Entries)
	}
	var lines []string
	entries, _, _ := table.All(0, storedBudget)
	for entry := range entries {
		lines = append(lines, fmt.Sprintf("%s: at %s, site %s, class %s, block %d, health %s, share %g, born %d\n",
			entry.Host, entry.Dial, entry.Site, entry.Class, entry.Block, entry.Health, entry.Share, entry.BornMS))
	}
	slices.Sort(lines)
	return fmt.Sprintf("sequence %d, files %d, newer %d, damaged %d, draining %d\n%s", sequence, found.Files,
		found.Newer, len(found.Damage), table.Draining(), strings.Join(lines, ""))
}

// sameText fails with both texts where they differ.
func sameText(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}

// fileNames lists a directory.
func fileNames(t *testing.T, dir string) (names []string) {
	t.Helper()
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		names = append(names, file.Name())
	}
	return names
}

// copyStored copies the files of a directory into another.
func copyStored(t *testing.T, from, to string) {
	t.Helper()
	for _, name := range fileNames(t, from) {
		putFile(t, filepath.Join(to, name), fileBytes(t, filepath.Join(from, name)))
	}
}

func fileBytes(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func putFile(t *testing.T, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}
