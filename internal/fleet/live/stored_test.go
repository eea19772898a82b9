package live

import (
	"os"
	"path/filepath"
	"testing"
)

const (
	// storedIncarnation is a file that the code of commit 569f7cf wrote, with the incarnation 4000000000. As a wall time that
	// is in the year 2096, so until then the next incarnation does not depend on the wall clock.
	storedIncarnation = "testdata/569f7cf/incarnation/incarnation"
	// wantIncarnation is the incarnation of the next process.
	wantIncarnation = 4000000001
	// wantText is the content of the file that the next process writes: the decimal number and a line feed.
	wantText = "4000000001\n"
)

// The incarnation file of commit 569f7cf must stay readable, for upgrades, and must be written with the same bytes, for rollbacks.
// Otherwise a process could start with a lower incarnation, and other relays would ignore its facts.
func TestStoredIncarnation(t *testing.T) {
	text, err := os.ReadFile(storedIncarnation)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	path := filepath.Join(dir, "incarnation")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if next := NextIncarnation(dir); next != wantIncarnation {
		t.Errorf("got incarnation %d after the stored one, want %d", next, wantIncarnation)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(written) != wantText {
		t.Errorf("the file was written as %q, want %q", written, wantText)
	}
}
