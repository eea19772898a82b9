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

// maxBody is the largest body of a message.
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

// recordSampleEntries notes three messages: one over, one tried twice, one that owes a notice.
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

func TestReplay(t *testing.T) {
	dir, at := t.TempDir(), clock.Now().Add(-time.Second)
	recordSampleEntries(t, openJournal(t, dir, 3), at)
	for range 2 { // from the log, and from its compaction
		j := openJournal(t, dir, 3)
		list := j.Entries()
		if len(list) != 2 || list[0].ID != "tried" || list[1].ID != "owing" {
			t.Fatalf("entries: %v", list)
		}
		e := list[0]
		if e.Class != "order" || e.Dest != 7 || e.Key != "k" || e.ExpiresAt != at.Add(time.Minute) ||
			!bytes.Equal(e.Body, []byte("body\x00tried")) {
			t.Errorf("entry: %+v", e)
		}
		if len(e.Attempts) != 2 || !e.Attempts[0].NotExecuted || e.Attempts[1].Ended || e.Attempts[1].Host != "h2" ||
			e.Attempts[1].StartedAt != at.Add(time.Second) {
			t.Errorf("attempts: %+v", e.Attempts)
		}
		if n := list[1].PendingNotification; n == nil || *n != (Notification{ID: "owing", Status: "deferred", RetryAfterMS: 30}) {
			t.Errorf("notice: %v", n)
		}
		if h := j.Health()["h2"]; !h.Ejected || h.ChangedAt != at {
			t.Errorf("health: %v", j.Health())
		}
	}
}

// onlySegment returns the only segment of a directory.
func onlySegment(t *testing.T, dir string) string {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(dir, segmentPrefix+"*"))
	if err != nil || len(found) != 1 {
		t.Fatalf("segments %v, %v", found, err)
	}
	return found[0]
}

// A file that ends anywhere gives all whole records before that, and so does one whose last record is corrupted; what is
// noted after it is found again.
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
				t.Fatalf("cut %d at byte %d: %d entries, want %d", i, end, len(list), want)
			}
			if i == 0 && len(j.Entries()[0].Attempts) > 0 {
				t.Fatalf("cut at byte %d: an unfinished record puts what came before it in doubt", end)
			}
			j.Accept(&Entry{ID: "c"})
			commit(t, j)
			if again := openJournal(t, other, 3); again.Get("c") == nil {
				t.Fatalf("cut %d at byte %d: what came later is lost", i, end)
			}
		}
	}
}

// Any single flipped bit in a log costs the record that it is in and no other; where that record began an attempt, the
// message counts as one that may have executed, and where it completed a message, that stays completed.
func TestTurnedBit(t *testing.T) {
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
	j.Accept(&Entry{ID: "last"}) // the end of a file is a case of its own
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
			t.Fatalf("byte %d: %v", at, err)
		}
		if len(r.Damage) == 0 && !r.Partial {
			t.Fatalf("byte %d: nothing is noticed", at)
		}
		differ := 0
		for _, want := range j.Entries() {
			if entryDiffers(t, at, got.Get(want.ID), want) {
				differ++
			}
		}
		if differ > 1 || len(got.Entries()) > len(j.Entries()) {
			t.Fatalf("byte %d: %d messages differ, %d live, %d before", at, differ, len(got.Entries()), len(j.Entries()))
		}
	}
}

// entryDiffers reports whether what was read of a message entryDiffers from what was written. It fails the test where a possible
// attempt is lost.
func entryDiffers(t *testing.T, offset int, got, want *Entry) bool {
	t.Helper()
	if got == nil {
		return true
	}
	if len(want.Attempts) > 0 && len(got.Attempts) == 0 {
		t.Fatalf("byte %d: an attempt of %s is forgotten", offset, want.ID)
	}
	if len(got.Attempts) != len(want.Attempts) || (got.PendingNotification == nil) != (want.PendingNotification == nil) {
		return true
	}
	if len(want.Attempts) == 0 || !got.Attempts[0].Uncertain && got.Attempts[0].Ended == want.Attempts[0].Ended {
		return false
	}
	if !got.Attempts[0].Uncertain && got.Attempts[0].NotExecuted {
		t.Fatalf("byte %d: an attempt counts as one that never ran", offset)
	}
	return true
}

// A range of several records that can't be read makes all live entries uncertain, is quarantined, and what follows it
// counts.
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
		t.Errorf("%d live, damage %+v", len(again.Entries()), r.Damage)
	}
	for _, e := range again.Entries() {
		n := 0
		if _, err := fmt.Sscanf(e.ID, "m%d", &n); err != nil {
			t.Fatal(err)
		}
		if doubted := len(e.Attempts) == 1 && e.Attempts[0].Uncertain; doubted != (n < 10) {
			t.Errorf("%s: attempts %+v", e.ID, e.Attempts)
		}
	}
	if found, _ := filepath.Glob(filepath.Join(dir, quarantinePrefix+"*")); len(found) != 1 {
		t.Errorf("set aside: %v", found)
	}
}

// A machine that has started anew may have lost records where none was synced.
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
			doubted := len(j.Get("m").Attempts) == 1
			if want := boot == "two" && !power; doubted != want || r.Rebooted != (boot == "two") {
				t.Errorf("power %v, boot %s: doubt %v, rebooted %v", power, boot, doubted, r.Rebooted)
			}
		}
	}
}

// A directory of a newer program or of another relay is rejected, and nothing in it is touched.
func TestRejectedDirectories(t *testing.T) {
	dir := t.TempDir()
	j, _, err := Open(dir, Options{DiskMB: 3, Relay: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	_ = j.Close()
	if _, _, err := Open(dir, Options{DiskMB: 3, Relay: "n2"}); !errors.As(err, new(*ForeignDirError)) {
		t.Errorf("another relay's folder is taken: %v", err)
	}
	path := filepath.Join(dir, segmentFileName(7))
	newer := header{format: Format + 1, segment: 7, firstSequence: 1}.encode()
	if err := os.WriteFile(path, newer, 0o600); err != nil {
		t.Fatal(err)
	}
	before, _ := os.ReadDir(dir)
	_, _, err = Open(dir, Options{DiskMB: 3, Relay: "n1"})
	if want := new(NewerError); !errors.As(err, &want) {
		t.Errorf("a newer form: %v", err)
	}
	after, _ := os.ReadDir(dir)
	if len(before) != len(after) {
		t.Errorf("files %v, then %v", before, after)
	}
	// A bit that turned in the number of the form is no newer form.
	newer[8] ^= 8
	if err := os.WriteFile(path, newer, 0o600); err != nil {
		t.Fatal(err)
	}
	j, r, err := Open(dir, Options{DiskMB: 3, Relay: "n1"})
	if err != nil || len(r.SkippedSegments) != 1 {
		t.Errorf("%v, passed over %v", err, r.SkippedSegments)
	}
	_ = j.Close()
}

// Format 1 is carried over and can be given back.
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
		t.Error("the old file stays")
	}
	back, err := j.encodeV1()
	if err != nil || !sameV1(raw, back) {
		t.Errorf("carried over and back: %v\n%q\n%q", err, raw, back)
	}
}

// Bodies of the largest size never fill the directory beyond its limit, a compaction's new file counted in.
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
		// At worst both the old file and a new one with all that is live.
		if j.segmentSize+j.liveSize > mb*1e6 {
			t.Fatalf("%d bytes on disk with %d live", j.segmentSize, j.liveSize)
		}
		if st, err := os.Stat(onlySegment(t, dir)); err != nil || int(st.Size()) != j.segmentSize {
			t.Fatalf("file of %v bytes (%v), %d counted", st, err, j.segmentSize)
		}
	}
	if rejected == 0 {
		t.Error("nothing was refused")
	}
}

// Messages of one batch are counted before they are written.
func TestReserves(t *testing.T) {
	j := openJournal(t, t.TempDir(), 1)
	n := 0
	for j.Reserve(&Entry{ID: "m", Body: make([]byte, maxBody)}) {
		if n++; n > 100 {
			t.Fatal("no end")
		}
	}
	if n == 0 || 2*n*maxBody > 1e6 {
		t.Errorf("%d reserved at once", n)
	}
}

// After a failed write nothing is accepted until a new file could be written, and that holds all.
func TestFailedWrite(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3)
	j.Accept(&Entry{ID: "a"})
	commit(t, j)
	_ = j.file.Close()
	j.Accept(&Entry{ID: "b"})
	if j.Commit() == nil || j.Reserve(&Entry{ID: "c"}) {
		t.Error("a failed write went unnoticed")
	}
	commit(t, j)
	if again := openJournal(t, dir, 3); len(again.Entries()) != 2 {
		t.Errorf("entries after the mend: %d", len(again.Entries()))
	}
}
