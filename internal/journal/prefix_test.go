package journal

import (
	"os"
	"path/filepath"
	"testing"
)

// TestOpenAfterPartialWrite guards against a process killed during a write that costs committed records. It keeps each prefix
// of the write: committed entries must be replayed, and entries of the write only if their whole record and those before it
// are in the prefix. The next process must be able to commit.
func TestOpenAfterPartialWrite(t *testing.T) {
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
			t.Fatalf("segment cut to %d of %d bytes: %v", n, len(complete), err)
		}
		before, one, two := after.Get("before"), after.Get("one"), after.Get("two")
		if before == nil || two != nil && one == nil || len(r.Damage) > 0 {
			t.Fatalf("segment cut to %d of %d bytes: entry before %v, one %v, two %v, damage %v",
				n, len(complete), before, one, two, r.Damage)
		}
		if n == len(complete) && (two == nil || len(before.Attempts) != 1) {
			t.Fatalf("complete segment: entry two %v, attempts of entry before %v, want one", two, before.Attempts)
		}
		after.Accept(&Entry{ID: "next"})
		if err := after.Commit(); err != nil {
			t.Fatalf("segment cut to %d of %d bytes: %v", n, len(complete), err)
		}
		_ = after.Close()
	}
}

// TestOpenWithUnfinishedSegment guards against a process killed during a compaction. It leaves each prefix of the new segment
// under its temporary name next to the old segment, which must be replayed without damage.
func TestOpenWithUnfinishedSegment(t *testing.T) {
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
			t.Fatalf("%d of %d bytes of the unfinished segment: error %v, report %+v", n, len(old), err, r)
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
