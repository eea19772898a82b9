package journal

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// These tests guard against changes of the stored format. The code of commit 569f7cf wrote the files in storedDir, and no
// later code may rewrite them: files of that version on the disks of relays must stay readable after an upgrade, and later
// code must write exactly the same bytes, so that a rollback is possible. The tests compare bytes and descriptions of the
// content, so renaming identifiers does not affect them.
//
// All clocks are fixed. Descriptions give times as offsets from storedStart. If times are converted after a reboot, the
// offsets are relative to the same moment by the wall clock.

var updateStored = flag.Bool("update-stored", false, "rewrite the stored files; use it only at commit 569f7cf")

const (
	// storedDir is the directory of the files that commit 569f7cf wrote.
	storedDir = "testdata/569f7cf"
	// storedLog is the directory with a first segment: an empty snapshot, followed by records of every operation.
	storedLog = "log"
	// storedSnapshot is the directory with the segment that replaces the one in storedLog: a snapshot and one record after it.
	storedSnapshot = "snapshot"
	// storedAfterPowerLoss is a directory as a power loss may leave it: a complete segment, a newer segment whose
	// snapshot is torn, and an unfinished segment under its temporary name.
	storedAfterPowerLoss = "several"
	// storedFormat1 is the directory with a journal of format 1.
	storedFormat1 = "format1"
	// storedBoot is the boot ID of the machine when the files were written.
	storedBoot = "569f7cf0-0000-4000-8000-000000000001"
	// storedRelay is the name of the relay that the directories belong to.
	storedRelay = "relay-3"
	// storedDiskMB is a size limit of the directory that no test reaches, in 10^6 bytes.
	storedDiskMB = 3
	// storedStart is the monotonic clock's reading at the start of the first segment.
	storedStart = instant.Boot + instant.Time(1000*time.Second)
	// storedWall is the wall clock's reading at storedStart: 2026-01-02 03:04:05 UTC.
	storedWall = clock.Wall(1767323045 * int64(time.Second))
	// tornBytes is the number of bytes to cut off the end of the last record, to leave a torn record.
	tornBytes = 5
)

// storedMachine returns the machine that wrote the files, with both clocks advanced by later.
func storedMachine(later time.Duration) *fakeMachine {
	return &fakeMachine{now: storedStart.Add(later), wall: storedWall + clock.Wall(later), boot: storedBoot}
}

// openStored opens a directory as the relay storedRelay on the given machine, with durability Power if power is set.
func openStored(t *testing.T, dir string, m *fakeMachine, power bool) (*Journal, *Report) {
	t.Helper()
	journal, report, err := Open(dir, Options{DiskMB: storedDiskMB, Relay: storedRelay, SurvivesPowerLoss: power, Boot: m.boot,
		Clocks: Clocks{Now: func() instant.Time { return m.now }, Wall: func() clock.Wall { return m.wall },
			Uptime: func() time.Duration { return m.now.Sub(instant.Boot) }}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = journal.Close() })
	return journal, report
}

// writeStoredLog writes the segment of storedLog: a message in each possible state, a legacy endpoint list, and the health of
// an endpoint.
func writeStoredLog(t *testing.T, dir string, power bool) {
	t.Helper()
	m := storedMachine(0)
	journal, _ := openStored(t, dir, m, power)
	journal.RecordLegacyList(LegacyEndpointList{Text: []byte(`{"hosts":["h1","h2"]}`), Endpoints: 2})
	for number, id := range []string{"queued", "called", "tried", "owing", "ended"} {
		m.advance(time.Millisecond)
		journal.Accept(&Entry{ID: id, Class: "order", Dest: 7 + number, Key: "key-" + id,
			ExpiresAt: storedStart.Add(time.Minute), Body: []byte("body\x00\xff" + id)})
	}
	journal.Accept(&Entry{ID: "bare", AcceptedAt: storedStart.Add(time.Second), Dest: -1})
	commit(t, journal)
	journal.StartAttempt(journal.Get("called"), "h1", storedStart.Add(2*time.Second))
	journal.StartAttempt(journal.Get("tried"), "h1", storedStart.Add(3*time.Second))
	journal.EndAttempt(journal.Get("tried"), true)
	journal.StartAttempt(journal.Get("tried"), "h2", storedStart.Add(4*time.Second))
	journal.EndAttempt(journal.Get("tried"), false)
	journal.StartAttempt(journal.Get("owing"), "h2", storedStart.Add(5*time.Second))
	journal.EndAttempt(journal.Get("owing"), false)
	journal.RecordPendingNotification(journal.Get("owing"), Notification{ID: "owing", Status: "deferred", RetryAfterMS: 1500})
	journal.Complete(journal.Get("ended"))
	journal.RecordHealth("h2", HealthRecord{Ejected: true, ChangedAt: storedStart.Add(6 * time.Second)})
	journal.StartAttempt(journal.Get("called"), "h2", storedStart.Add(7*time.Second))
	commit(t, journal)
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
}

// writeStoredSnapshot writes the segment of storedLog, and opens it again: this compacts it. It then accepts one more
// message. Only one endpoint has a health record, since the order of several in a snapshot is unspecified.
func writeStoredSnapshot(t *testing.T, dir string, power bool) {
	t.Helper()
	writeStoredLog(t, dir, power)
	journal, _ := openStored(t, dir, storedMachine(10*time.Second), power)
	journal.Accept(&Entry{ID: "later", Class: "audit", Body: []byte("later")})
	commit(t, journal)
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
}

// writeStoredAfterPowerLoss writes a directory as a power loss may leave it: the compacted segment, a newer segment that
// ends within its snapshot, and a part of a segment under its temporary name.
func writeStoredAfterPowerLoss(t *testing.T, dir string) {
	t.Helper()
	writeStoredSnapshot(t, dir, true)
	newer := t.TempDir()
	copyDir(t, dir, newer)
	journal, _ := openStored(t, newer, storedMachine(20*time.Second), true)
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	whole := fileBytes(t, filepath.Join(newer, "segment-3"))
	putFile(t, filepath.Join(dir, "segment-3"), whole[:len(whole)/2])
	putFile(t, filepath.Join(dir, "segment-4.new"), whole[:len(whole)/4])
}

// storedCases lists the directories in storedDir, each with the function that writes its content.
var storedCases = []struct {
	name  string
	write func(t *testing.T, dir string)
}{
	{storedLog, func(t *testing.T, dir string) { t.Helper(); writeStoredLog(t, dir, false) }},
	{storedSnapshot, func(t *testing.T, dir string) { t.Helper(); writeStoredSnapshot(t, dir, false) }},
	{storedAfterPowerLoss, writeStoredAfterPowerLoss},
	{storedFormat1, writeStoredFormat1},
}

// TestWritesStoredBytes guards against a rollback to commit 569f7cf that can't read newer files: the same operations at the
// same times must write the same bytes, in header, snapshot and each kind of record.
func TestWritesStoredBytes(t *testing.T) {
	for _, storedCase := range storedCases {
		t.Run(storedCase.name, func(t *testing.T) {
			stored, written := filepath.Join(storedDir, storedCase.name), t.TempDir()
			storedCase.write(t, written)
			if *updateStored {
				if err := os.MkdirAll(stored, 0o755); err != nil {
					t.Fatal(err)
				}
				copyDir(t, written, stored)
			}
			want, got := fileNames(t, stored), fileNames(t, written)
			if !slices.Equal(got, want) {
				t.Fatalf("wrote files %q, want %q", got, want)
			}
			for _, name := range want {
				got, want := fileBytes(t, filepath.Join(written, name)), fileBytes(t, filepath.Join(stored, name))
				checkBytes(t, name, got, want)
			}
		})
	}
}

// storedEntries describes the live entries that all stored segments contain.
const storedEntries = "message queued: class order, destination 7, key key-queued, accepted +1ms, expires +1m0s, " +
	`body "body\x00\xffqueued"
message called: class order, destination 8, key key-called, accepted +2ms, expires +1m0s, body "body\x00\xffcalled"
  attempt at h1, started +2s
  attempt at h2, started +7s
message tried: class order, destination 9, key key-tried, accepted +3ms, expires +1m0s, body "body\x00\xfftried"
  attempt at h1, started +3s, ended, not executed
  attempt at h2, started +4s, ended
message owing: class order, destination 10, key key-owing, accepted +4ms, expires +1m0s, body "body\x00\xffowing"
  attempt at h2, started +5s, ended
  pending notification owing: deferred, retry after 1500 ms
message bare: class , destination -1, key , accepted +1s, expires never, body ""
`

// Descriptions of the other content of the stored directories.
const (
	// storedList describes the legacy endpoint list, which all of them contain.
	storedList = "legacy list of 2 endpoints: {\"hosts\":[\"h1\",\"h2\"]}\n"
	// storedHealth describes the endpoint health, which all of them contain.
	storedHealth = "health of h2: ejected true, changed at +6s\n"
	// storedLaterEntry describes the message that was accepted after the compaction.
	storedLaterEntry = "message later: class audit, destination 0, key , accepted +10s, expires never, body \"later\"\n"
	// storedSameBoot is the end of the report of a complete directory that is opened in the boot that wrote it.
	storedSameBoot = " complete true, rebooted false, used wall clock false\n"
)

// TestReadsStoredSegments guards against an upgrade within the same boot that loses content of the stored segments, or that
// shifts its times.
func TestReadsStoredSegments(t *testing.T) {
	for _, segment := range []struct{ name, want string }{
		{storedLog, "format 2, relay relay-3, power false, records 19, last 19, torn 0," + storedSameBoot +
			storedEntries + storedList + storedHealth},
		{storedSnapshot, "format 2, relay relay-3, power false, records 9, last 28, torn 0," + storedSameBoot +
			storedEntries + storedLaterEntry + storedList + storedHealth},
	} {
		t.Run(segment.name, func(t *testing.T) {
			dir := t.TempDir()
			copyDir(t, filepath.Join(storedDir, segment.name), dir)
			journal, report := openStored(t, dir, storedMachine(30*time.Second), false)
			checkText(t, describeJournal(journal, report, storedStart), segment.want)
		})
	}
}

// TestReadsStoredTornLog guards against a torn record at the end of a stored segment that costs earlier records or adds
// uncertain attempts.
func TestReadsStoredTornLog(t *testing.T) {
	dir := t.TempDir()
	whole := fileBytes(t, filepath.Join(storedDir, storedLog, "segment-1"))
	putFile(t, filepath.Join(dir, "segment-1"), whole[:len(whole)-tornBytes])
	journal, report := openStored(t, dir, storedMachine(30*time.Second), false)
	want := "format 2, relay relay-3, power false, records 18, last 18, torn 33," + storedSameBoot +
		strings.Replace(storedEntries, "  attempt at h2, started +7s\n", "", 1) + storedList + storedHealth
	checkText(t, describeJournal(journal, report, storedStart), want)
}

// TestReadsStoredSegmentsAfterReboot guards against an upgrade with a reboot that reads the wrong segment or times. The
// machine opens the directories 20 s after storedWall: the newest complete segment must be replayed, with times converted by
// the wall clock. Under durability Process, the entries must get an uncertain attempt.
func TestReadsStoredSegmentsAfterReboot(t *testing.T) {
	const later = 20 * time.Second
	m := &fakeMachine{now: instant.Boot.Add(3 * time.Second), wall: storedWall + clock.Wall(later), boot: "another"}
	base := m.now.Add(-later)
	dir := t.TempDir()
	copyDir(t, filepath.Join(storedDir, storedAfterPowerLoss), dir)
	journal, report := openStored(t, dir, m, true)
	checkText(t, describeJournal(journal, report, base),
		"format 2, relay relay-3, power true, records 9, last 28, torn 0, complete false, rebooted true, used wall clock true\n"+
			"skipped segment-3\n"+storedEntries+storedLaterEntry+storedList+storedHealth)
	if left := fileNames(t, dir); !slices.Equal(left, []string{"segment-4"}) {
		t.Errorf("files %q remain, want only segment-4", left)
	}
	dir = t.TempDir()
	copyDir(t, filepath.Join(storedDir, storedSnapshot), dir)
	journal, _ = openStored(t, dir, m, false)
	uncertain := 0
	for _, entry := range journal.Entries() {
		if count := len(entry.Attempts); count > 0 && entry.Attempts[count-1].Uncertain {
			uncertain++
		}
	}
	if uncertain != 5 {
		t.Errorf("%d entries have an uncertain attempt, want the 5 without a pending notification", uncertain)
	}
}
