package live

import (
	"os"
	"path/filepath"
	"testing"
)

const (
	// storedIncarnation is the file as the code of commit 569f7cf wrote it for a process whose number was
	// 4000000000. Seconds since 1970 reach that in the year 2096; till then the wall clock has no part in the next
	// number.
	storedIncarnation = "testdata/569f7cf/incarnation/incarnation"
	// nextNumber is that of the process behind it.
	nextNumber = 4000000001
	// nextText is what that process leaves: the decimal number and a line feed.
	nextText = "4000000001\n"
)

// The file of the last incarnation in a state directory stays readable (upgrade), and is written with the very bytes
// that commit 569f7cf reads (rollback).
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
	if next := NextIncarnation(dir); next != nextNumber {
		t.Errorf("%d comes after the stored one, want %d", next, nextNumber)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(written) != nextText {
		t.Errorf("%q is written, want %q", written, nextText)
	}
}
