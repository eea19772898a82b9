package journal

import (
	"os"
	"path/filepath"
	"testing"
)

// A kill in the middle of any write leaves a prefix of it. Whatever its length, what was committed before is there, a message
// of the unfinished write is there with its whole record or not at all, and the next process writes on.
func TestEachPrefixOfAWrite(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3)
	j.Accept(&Entry{ID: "before", Class: "order", Body: []byte("body")})
	commit(t, j)
	path := onlySegment(t, dir)
	committed := readAll(t, path)
	for _, id := range []string{"one", "two"} {
		j.Accept(&Entry{ID: id, Class: "order", Body: []byte("body")})
	}
	j.StartAttempt(j.Get("before"), "h1", SystemClocks.Now())
	commit(t, j)
	complete := readAll(t, path)
	_ = j.Close()
	for n := len(committed); n <= len(complete); n++ {
		cut := t.TempDir()
		writeFile(t, filepath.Join(cut, filepath.Base(path)), complete[:n])
		after, r, err := Open(cut, Options{DiskMB: 3})
		if err != nil {
			t.Fatalf("%d of %d bytes: %v", n, len(complete), err)
		}
		before, one, two := after.Get("before"), after.Get("one"), after.Get("two")
		if before == nil || two != nil && one == nil || len(r.Damage) > 0 {
			t.Fatalf("%d of %d bytes: %v, %v, %v, damage %v", n, len(complete), before, one, two, r.Damage)
		}
		if n == len(complete) && (two == nil || len(before.Attempts) != 1) {
			t.Fatalf("all of it: %v, attempts %v", two, before.Attempts)
		}
		after.Accept(&Entry{ID: "next"})
		if err := after.Commit(); err != nil {
			t.Fatalf("%d of %d bytes: %v", n, len(complete), err)
		}
		_ = after.Close()
	}
}

// The same of a new segment, which is not in its place yet.
func TestEachPrefixOfASegment(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3)
	j.Accept(&Entry{ID: "before", Class: "order", Body: []byte("body")})
	commit(t, j)
	_ = j.Close()
	path := onlySegment(t, dir)
	old := readAll(t, path)
	for n := range len(old) {
		cut := t.TempDir()
		writeFile(t, filepath.Join(cut, filepath.Base(path)), old)
		writeFile(t, filepath.Join(cut, segmentFileName(9)+unfinishedSuffix), old[:n])
		after, r, err := Open(cut, Options{DiskMB: 3})
		if err != nil || after.Get("before") == nil || !r.Complete() {
			t.Fatalf("%d of %d bytes: %v, %+v", n, len(old), err, r)
		}
		_ = after.Close()
	}
}

func readAll(t *testing.T, path string) []byte {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func writeFile(tb testing.TB, path string, raw []byte) {
	tb.Helper()
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		tb.Fatal(err)
	}
}
