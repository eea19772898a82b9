package journal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// maxBody is the size of the largest message body that a relay accepts, in bytes.
const maxBody = 64 << 10

func openJournal(t *testing.T, dir string, mb float64) *Journal {
	t.Helper()
	j, _, err := Open(dir, Options{DiskMB: mb})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j
}

func commit(t *testing.T, j *Journal) {
	t.Helper()
	if err := j.Commit(); err != nil {
		t.Fatal(err)
	}
}

// recordSampleEntries accepts three requests: one that completes, one with two attempts, and one with a pending
// notification. It also records an ejected endpoint.
func recordSampleEntries(t *testing.T, j *Journal, at instant.Time) {
	t.Helper()
	for _, id := range []string{"over", "tried", "owing"} {
		j.Accept(&Entry{ID: id, Class: "order", Dest: 7, Key: "k", ExpiresAt: at.Add(time.Minute), Body: []byte("body\x00" + id)})
	}
	commit(t, j)
	j.Complete(j.Get("over"))
	e := j.Get("tried")
	j.StartAttempt(e, "h1", at)
	j.EndAttempt(e, true)
	j.StartAttempt(e, "h2", at.Add(time.Second))
	j.RecordPendingNotification(j.Get("owing"), Notification{ID: "owing", Status: "deferred", RetryAfterMS: 30})
	j.RecordHealth("h2", HealthRecord{Ejected: true, ChangedAt: at})
	commit(t, j)
}

// TestReplay guards against entries or health that a restart loses or changes.
func TestReplay(t *testing.T) {
	dir, at := t.TempDir(), clock.Now().Add(-time.Second)
	recordSampleEntries(t, openJournal(t, dir, 3), at)
	for range 2 { // the first Open replays the records, the second replays the snapshot that the first wrote
		j := openJournal(t, dir, 3)
		list := j.Entries()
		if len(list) != 2 || list[0].ID != "tried" || list[1].ID != "owing" {
			t.Fatalf("replayed entries %v, want tried and owing", list)
		}
		e := list[0]
		if e.Class != "order" || e.Dest != 7 || e.Key != "k" || e.ExpiresAt != at.Add(time.Minute) ||
			!bytes.Equal(e.Body, []byte("body\x00tried")) {
			t.Errorf("replayed entry %+v differs from the accepted one", e)
		}
		if len(e.Attempts) != 2 || !e.Attempts[0].NotExecuted || e.Attempts[1].Ended || e.Attempts[1].Host != "h2" ||
			e.Attempts[1].StartedAt != at.Add(time.Second) {
			t.Errorf("replayed attempts %+v differ from the recorded ones", e.Attempts)
		}
		if n := list[1].PendingNotification; n == nil || *n != (Notification{ID: "owing", Status: "deferred", RetryAfterMS: 30}) {
			t.Errorf("pending notification %v differs from the recorded one", n)
		}
		if h := j.Health()["h2"]; !h.Ejected || h.ChangedAt != at {
			t.Errorf("replayed health %v, want h2 ejected at the recorded time", j.Health())
		}
	}
}

// onlySegment returns the path of the only segment of a directory. It fails the test if there is not exactly one.
func onlySegment(t *testing.T, dir string) string {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(dir, segmentPrefix+"*"))
	if err != nil || len(found) != 1 {
		t.Fatalf("segment files %v (error %v), want exactly one", found, err)
	}
	return found[0]
}

// TestTornTail guards against a crash during the last write that costs earlier records or prevents later ones. It cuts the
// segment at each byte of its last record, or corrupts that byte, and accepts another entry after the recovery.
func TestTornTail(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3)
	j.Accept(&Entry{ID: "a", Body: []byte("1")})
	commit(t, j)
	completeSize := j.segmentSize
	j.Accept(&Entry{ID: "b", Body: []byte("2")})
	commit(t, j)
	path := onlySegment(t, dir)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for end := completeSize; end <= len(raw); end++ {
		damaged := [][]byte{raw[:end]}
		if end < len(raw) {
			noise := bytes.Clone(raw)
			noise[end] ^= 0x41
			damaged = append(damaged, noise)
		}
		for i, tail := range damaged {
			other := t.TempDir()
			if err := os.WriteFile(filepath.Join(other, filepath.Base(path)), tail, 0o600); err != nil {
				t.Fatal(err)
			}
			want := 1
			if end == len(raw) {
				want = 2
			}
			j := openJournal(t, other, 3)
			if list := j.Entries(); len(list) != want || list[0].ID != "a" {
				t.Fatalf("case %d (0 cut, 1 corrupted) at byte %d: replayed %d entries, want %d", i, end, len(list), want)
			}
			if i == 0 && len(j.Entries()[0].Attempts) > 0 {
				t.Fatalf("cut at byte %d: a torn record adds an uncertain attempt to an earlier entry", end)
			}
			j.Accept(&Entry{ID: "c"})
			commit(t, j)
			if again := openJournal(t, other, 3); again.Get("c") == nil {
				t.Fatalf("case %d (0 cut, 1 corrupted) at byte %d: an entry accepted after the recovery is lost", i, end)
			}
		}
	}
}

// TestBitFlip guards against a single flipped bit that affects more than the record that contains it. If that record started
// an attempt, the entry must get an uncertain attempt; if it completed an entry, the entry must stay completed.
func TestBitFlip(t *testing.T) {
	const n = 40
	dir := t.TempDir()
	j := openJournal(t, dir, 3)
	for i := range n {
		e := &Entry{ID: fmt.Sprintf("m%02d", i), Class: "order", Body: []byte("body")}
		j.Accept(e)
		j.StartAttempt(e, "h1", clock.Now())
		j.EndAttempt(e, i%3 == 0)
		switch i % 4 {
		case 1:
			j.Complete(e)
		case 2:
			j.RecordPendingNotification(e, Notification{ID: e.ID, Status: "deferred"})
		}
	}
	j.Accept(&Entry{ID: "last"}) // flips in the last record are left out: TestTornTail covers the end of a file
	commit(t, j)
	path := onlySegment(t, dir)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	last := bytes.LastIndex(raw, markerBytes)
	first := bytes.Index(raw, markerBytes)
	other := t.TempDir()
	for at := first; at < last; at++ {
		spoilt := bytes.Clone(raw)
		spoilt[at] ^= 1 << (at % 8)
		if err := os.WriteFile(filepath.Join(other, filepath.Base(path)), spoilt, 0o600); err != nil {
			t.Fatal(err)
		}
		got, r, err := Read(other)
		if err != nil {
			t.Fatalf("flip at byte %d: %v", at, err)
		}
		if len(r.Damage) == 0 && !r.Partial {
			t.Fatalf("flip at byte %d: the report contains no damage", at)
		}
		differ := 0
		for _, want := range j.Entries() {
			if entryDiffers(t, at, got.Get(want.ID), want) {
				differ++
			}
		}
		if differ > 1 || len(got.Entries()) > len(j.Entries()) {
			t.Fatalf("flip at byte %d: %d entries differ, want at most 1; %d live entries, at most %d expected",
				at, differ, len(got.Entries()), len(j.Entries()))
		}
	}
}

// entryDiffers reports whether a replayed entry differs from the recorded one. It fails the test if an attempt that may have
// executed the request is lost.
func entryDiffers(t *testing.T, offset int, got, want *Entry) bool {
	t.Helper()
	if got == nil {
		return true
	}
	if len(want.Attempts) > 0 && len(got.Attempts) == 0 {
		t.Fatalf("flip at byte %d: the attempt of entry %s is lost", offset, want.ID)
	}
	if len(got.Attempts) != len(want.Attempts) || (got.PendingNotification == nil) != (want.PendingNotification == nil) {
		return true
	}
	if len(want.Attempts) == 0 || !got.Attempts[0].Uncertain && got.Attempts[0].Ended == want.Attempts[0].Ended {
		return false
	}
	if !got.Attempts[0].Uncertain && got.Attempts[0].NotExecuted {
		t.Fatalf("flip at byte %d: an attempt that may have executed the request is replayed as not executed", offset)
	}
	return true
}

// TestDamagedRange guards against a damaged range that hides possible attempts or the records after it. Zeros overwrite
// several records: the entries before them must get an uncertain attempt, those after them must be replayed, and the range
// must be quarantined.
func TestDamagedRange(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3)
	for i := range 20 {
		e := &Entry{ID: fmt.Sprint("m", i), Body: make([]byte, 100)}
		j.Accept(e)
		commit(t, j)
	}
	path := onlySegment(t, dir)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	clear(raw[1024:1536])
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	again, r, err := Open(dir, Options{DiskMB: 3})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = again.Close() })
	if len(r.Damage) != 1 || r.Damage[0].Missing < 3 || uint64(len(again.Entries())) != 20-r.Damage[0].Missing {
		t.Errorf("%d live entries, damage %+v; want one range of at least 3 records, and all other entries live",
			len(again.Entries()), r.Damage)
	}
	for _, e := range again.Entries() {
		n := 0
		if _, err := fmt.Sscanf(e.ID, "m%d", &n); err != nil {
			t.Fatal(err)
		}
		if uncertain := len(e.Attempts) == 1 && e.Attempts[0].Uncertain; uncertain != (n < 10) {
			t.Errorf("entry %s has attempts %+v, want an uncertain one only before the damage", e.ID, e.Attempts)
		}
	}
	if found, _ := filepath.Glob(filepath.Join(dir, quarantinePrefix+"*")); len(found) != 1 {
		t.Errorf("quarantine files %v, want exactly one", found)
	}
}

// TestReboot guards against a reboot after which unsynced records are taken to be complete: under durability Process an
// entry must get an uncertain attempt if the boot ID has changed.
func TestReboot(t *testing.T) {
	for _, power := range []bool{false, true} {
		dir := t.TempDir()
		j, _, err := Open(dir, Options{DiskMB: 3, SurvivesPowerLoss: power, Boot: "one"})
		if err != nil {
			t.Fatal(err)
		}
		j.Accept(&Entry{ID: "m"})
		commit(t, j)
		_ = j.Close()
		for _, boot := range []string{"one", "two"} {
			j, r, err := Open(dir, Options{DiskMB: 3, SurvivesPowerLoss: power, Boot: boot})
			if err != nil {
				t.Fatal(err)
			}
			_ = j.Close()
			uncertain := len(j.Get("m").Attempts) == 1
			if want := boot == "two" && !power; uncertain != want || r.Rebooted != (boot == "two") {
				t.Errorf("durability Power %v, opened in boot %s, written in boot one: uncertain attempt %v, reported as rebooted %v",
					power, boot, uncertain, r.Rebooted)
			}
		}
	}
}

// TestRejectedDirectories guards against opening or changing a directory of another relay or of a newer program.
func TestRejectedDirectories(t *testing.T) {
	dir := t.TempDir()
	j, _, err := Open(dir, Options{DiskMB: 3, Relay: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	_ = j.Close()
	if _, _, err := Open(dir, Options{DiskMB: 3, Relay: "n2"}); !errors.As(err, new(*ForeignDirError)) {
		t.Errorf("opening the directory of another relay returned %v, want a *ForeignDirError", err)
	}
	path := filepath.Join(dir, segmentFileName(7))
	newer := header{format: Format + 1, segment: 7, firstSequence: 1}.encode()
	if err := os.WriteFile(path, newer, 0o600); err != nil {
		t.Fatal(err)
	}
	before, _ := os.ReadDir(dir)
	_, _, err = Open(dir, Options{DiskMB: 3, Relay: "n1"})
	if want := new(NewerError); !errors.As(err, &want) {
		t.Errorf("opening a directory with a newer format returned %v, want a *NewerError", err)
	}
	after, _ := os.ReadDir(dir)
	if len(before) != len(after) {
		t.Errorf("a rejected Open changed the files from %v to %v", before, after)
	}
	// A flipped bit in the format number is damage, and not a newer format.
	newer[8] ^= 8
	if err := os.WriteFile(path, newer, 0o600); err != nil {
		t.Fatal(err)
	}
	j, r, err := Open(dir, Options{DiskMB: 3, Relay: "n1"})
	if err != nil || len(r.SkippedSegments) != 1 {
		t.Errorf("open after a flipped bit in the format: error %v, skipped segments %v, want one", err, r.SkippedSegments)
	}
	_ = j.Close()
}

// TestFormat1 guards against an upgrade from format 1 that loses data, or that leaves the old file in place.
func TestFormat1(t *testing.T) {
	dir, at := t.TempDir(), clock.Now().Add(-time.Second)
	old := openJournal(t, t.TempDir(), 3)
	recordSampleEntries(t, old, at)
	raw, err := old.encodeV1()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, formatV1File), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	j := openJournal(t, dir, 3)
	if _, err := os.Stat(filepath.Join(dir, formatV1File)); err == nil {
		t.Error("the file of format 1 still exists after the upgrade")
	}
	back, err := j.encodeV1()
	if err != nil || !sameV1(raw, back) {
		t.Errorf("format 1 after an upgrade and back: error %v\nbefore %q\nafter  %q", err, raw, back)
	}
}

// TestStaysUnderDiskLimit guards against a directory that outgrows its limit during a compaction, when the old and the new
// segment exist together. All bodies have the largest size.
func TestStaysUnderDiskLimit(t *testing.T) {
	const mb = 1
	dir := t.TempDir()
	j := openJournal(t, dir, mb)
	rejected := 0
	for i := range 100 {
		e := &Entry{ID: fmt.Sprint("m", i), Body: make([]byte, maxBody)}
		if !j.Reserve(e) {
			rejected++
			j.Complete(j.Entries()[0])
			commit(t, j)
			continue
		}
		j.Accept(e)
		for range 12 {
			j.StartAttempt(e, "a-host-with-a-rather-long-name", clock.Now())
			j.EndAttempt(e, true)
		}
		commit(t, j)
		// The worst case is the old segment together with a new one that holds all live entries.
		if j.segmentSize+j.liveSize > mb*1e6 {
			t.Fatalf("the segment has %d bytes and its live entries need %d, which is more than the limit together",
				j.segmentSize, j.liveSize)
		}
		if st, err := os.Stat(onlySegment(t, dir)); err != nil || int(st.Size()) != j.segmentSize {
			t.Fatalf("segment file %v (error %v) does not have the size of %d bytes that the journal assumes", st, err, j.segmentSize)
		}
	}
	if rejected == 0 {
		t.Error("Reserve rejected no entry, so the limit was never reached")
	}
}

// TestReserveCountsUnwrittenEntries guards against a batch that exceeds the size limit because each Reserve ignores the
// entries reserved before it.
func TestReserveCountsUnwrittenEntries(t *testing.T) {
	j := openJournal(t, t.TempDir(), 1)
	n := 0
	for j.Reserve(&Entry{ID: "m", Body: make([]byte, maxBody)}) {
		if n++; n > 100 {
			t.Fatal("Reserve accepted more than 100 entries of the largest size under a limit of 1 MB")
		}
	}
	if n == 0 || 2*n*maxBody > 1e6 {
		t.Errorf("%d entries were reserved, want at least one, with bodies that fit into the limit twice", n)
	}
}

// TestFailedWrite guards against accepting entries after a failed write, and against losing entries in the recovery: the
// next Commit must write a new segment with all of them.
func TestFailedWrite(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3)
	j.Accept(&Entry{ID: "a"})
	commit(t, j)
	_ = j.file.Close()
	j.Accept(&Entry{ID: "b"})
	if j.Commit() == nil || j.Reserve(&Entry{ID: "c"}) {
		t.Error("Commit or Reserve succeeded although the segment could not be written")
	}
	commit(t, j)
	if again := openJournal(t, dir, 3); len(again.Entries()) != 2 {
		t.Errorf("%d entries after the recovery, want 2", len(again.Entries()))
	}
}
