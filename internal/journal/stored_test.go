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

// These tests pin the write-ahead log on disk. The files of storedDir were written by the code of commit 569f7cf
// and are never written anew by later code: what it has left on relays' disks has to stay readable (upgrade), and
// later code has to write the very same bytes (rollback). They compare bytes and meanings, so that renaming
// identifiers does not touch them.
//
// All clocks are fixed. Moments are told as spans from storedStart; those that are carried over from another boot
// are told from the moment of reading.

var updateStored = flag.Bool("update-stored", false, "write the stored files anew: at commit 569f7cf alone")

const (
	// storedDir holds the files of commit 569f7cf.
	storedDir = "testdata/569f7cf"
	// storedLog is the directory of a first segment: an empty snapshot, and a log with every operation.
	storedLog = "log"
	// storedSnapshot is the directory of that log's compaction: a segment with a snapshot, and one record behind it.
	storedSnapshot = "snapshot"
	// storedAfterPowerLoss is a directory after a power loss: a whole segment, a newer one whose snapshot is torn, one in the
	// making.
	storedAfterPowerLoss = "several"
	// storedFormat1 is the directory of a journal of format 1.
	storedFormat1 = "format1"
	// storedBoot is the identity of the boot in which the files were written.
	storedBoot = "569f7cf0-0000-4000-8000-000000000001"
	// storedRelay is the relay whose directories they are.
	storedRelay = "relay-3"
	// storedDiskMB is a limit of the directory that no test here comes near.
	storedDiskMB = 3
	// storedStart is when the first segment was begun, by the monotonic clock.
	storedStart = instant.Boot + instant.Time(1000*time.Second)
	// storedWall is the same moment by the wall clock: 2026-01-02 03:04:05 UTC.
	storedWall = clock.Wall(1767323045 * int64(time.Second))
	// tornBytes are cut off the log's end: a part of its last record.
	tornBytes = 5
)

// storedMachine is the machine that wrote the files, when its clocks had run on for a while.
func storedMachine(later time.Duration) *fakeMachine {
	return &fakeMachine{now: storedStart.Add(later), wall: storedWall + clock.Wall(later), boot: storedBoot}
}

// openStored opens a directory as the relay of the stored files does.
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

// writeStoredLog writes the log: a message in each state that one can be in, a list, and a host's health.
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

// writeStoredSnapshot writes that log and has it compacted by the next process, which then takes one message more.
// One host alone has a health: the order of several in a snapshot is left open.
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

// writeStoredAfterPowerLoss writes what a power loss can leave: the compacted segment, a copy of a newer one that ends
// within its snapshot, and one that never got its name.
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

// storedCases are the directories of storedDir, and what writes each.
var storedCases = []struct {
	name  string
	write func(t *testing.T, dir string)
}{
	{storedLog, func(t *testing.T, dir string) { t.Helper(); writeStoredLog(t, dir, false) }},
	{storedSnapshot, func(t *testing.T, dir string) { t.Helper(); writeStoredSnapshot(t, dir, false) }},
	{storedAfterPowerLoss, writeStoredAfterPowerLoss},
	{storedFormat1, writeStoredFormat1},
}

// The same operations at the same times give the same bytes as at commit 569f7cf, which can so read what later code
// writes: header, snapshot, and each operation of the log.
func TestWritesStoredBytes(t *testing.T) {
	for _, folder := range storedCases {
		t.Run(folder.name, func(t *testing.T) {
			stored, written := filepath.Join(storedDir, folder.name), t.TempDir()
			folder.write(t, written)
			if *updateStored {
				if err := os.MkdirAll(stored, 0o755); err != nil {
					t.Fatal(err)
				}
				copyDir(t, written, stored)
			}
			want, got := fileNames(t, stored), fileNames(t, written)
			if !slices.Equal(got, want) {
				t.Fatalf("files %q, want %q", got, want)
			}
			for _, name := range want {
				got, want := fileBytes(t, filepath.Join(written, name)), fileBytes(t, filepath.Join(stored, name))
				checkBytes(t, name, got, want)
			}
		})
	}
}

// storedEntries are the messages of the stored segments.
const storedEntries = "message queued: class order, destination 7, key key-queued, taken +1ms, expires +1m0s, " +
	`body "body\x00\xffqueued"
message called: class order, destination 8, key key-called, taken +2ms, expires +1m0s, body "body\x00\xffcalled"
  attempt at h1, begun +2s
  attempt at h2, begun +7s
message tried: class order, destination 9, key key-tried, taken +3ms, expires +1m0s, body "body\x00\xfftried"
  attempt at h1, begun +3s, ended, proved not to have run
  attempt at h2, begun +4s, ended
message owing: class order, destination 10, key key-owing, taken +4ms, expires +1m0s, body "body\x00\xffowing"
  attempt at h2, begun +5s, ended
  owes the notice owing: deferred, again after 1500 ms
message bare: class , destination -1, key , taken +1s, expires never, body ""
`

// What the stored directories hold beside these.
const (
	// storedList is the list that each of them holds.
	storedList = "list of 2 hosts: {\"hosts\":[\"h1\",\"h2\"]}\n"
	// storedHealth is the health that each of them holds.
	storedHealth = "health of h2: sick true, at +6s\n"
	// storedLaterEntry is the message that came behind the compaction.
	storedLaterEntry = "message later: class audit, destination 0, key , taken +10s, expires never, body \"later\"\n"
	// storedSameBoot is how a directory is found that is whole and of this boot.
	storedSameBoot = " whole true, rebooted false, by wall false\n"
)

// A process of the same boot reads of the stored segments all that was written, at the very moments.
func TestReadsStoredSegments(t *testing.T) {
	for _, folder := range []struct{ name, want string }{
		{storedLog, "format 2, relay relay-3, power false, records 19, last 19, torn 0," + storedSameBoot +
			storedEntries + storedList + storedHealth},
		{storedSnapshot, "format 2, relay relay-3, power false, records 9, last 28, torn 0," + storedSameBoot +
			storedEntries + storedLaterEntry + storedList + storedHealth},
	} {
		t.Run(folder.name, func(t *testing.T) {
			dir := t.TempDir()
			copyDir(t, filepath.Join(storedDir, folder.name), dir)
			journal, report := openStored(t, dir, storedMachine(30*time.Second), false)
			checkText(t, describeJournal(journal, report, storedStart), folder.want)
		})
	}
}

// A log that ends within its last record gives all that came before it, and nothing is uncertain.
func TestReadsStoredTornLog(t *testing.T) {
	dir := t.TempDir()
	whole := fileBytes(t, filepath.Join(storedDir, storedLog, "segment-1"))
	putFile(t, filepath.Join(dir, "segment-1"), whole[:len(whole)-tornBytes])
	journal, report := openStored(t, dir, storedMachine(30*time.Second), false)
	want := "format 2, relay relay-3, power false, records 18, last 18, torn 33," + storedSameBoot +
		strings.Replace(storedEntries, "  attempt at h2, begun +7s\n", "", 1) + storedList + storedHealth
	checkText(t, describeJournal(journal, report, storedStart), want)
}

// After another boot the newest segment whose snapshot is whole counts, with its moments carried over by the wall
// clock: 20 s after the first segment was begun, by its own scale. Where only the process was to be outlasted, all
// is uncertain.
func TestReadsStoredSegmentsAfterAnotherBoot(t *testing.T) {
	const later = 20 * time.Second
	m := &fakeMachine{now: instant.Boot.Add(3 * time.Second), wall: storedWall + clock.Wall(later), boot: "another"}
	base := m.now.Add(-later)
	dir := t.TempDir()
	copyDir(t, filepath.Join(storedDir, storedAfterPowerLoss), dir)
	journal, report := openStored(t, dir, m, true)
	checkText(t, describeJournal(journal, report, base),
		"format 2, relay relay-3, power true, records 9, last 28, torn 0, whole false, rebooted true, by wall true\n"+
			"passed over segment-3\n"+storedEntries+storedLaterEntry+storedList+storedHealth)
	if left := fileNames(t, dir); !slices.Equal(left, []string{"segment-4"}) {
		t.Errorf("files %q are left", left)
	}
	dir = t.TempDir()
	copyDir(t, filepath.Join(storedDir, storedSnapshot), dir)
	journal, _ = openStored(t, dir, m, false)
	doubts := 0
	for _, entry := range journal.Entries() {
		if count := len(entry.Attempts); count > 0 && entry.Attempts[count-1].Uncertain {
			doubts++
		}
	}
	if doubts != 5 {
		t.Errorf("%d messages are in doubt, want the 5 that owe no notice", doubts)
	}
}
