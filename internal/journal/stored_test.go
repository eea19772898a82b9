package journal

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
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
	// storedLog is the folder of a first segment: an empty snapshot, and a log with every operation.
	storedLog = "log"
	// storedSnapshot is the folder of that log's compaction: a segment with a snapshot, and one record behind it.
	storedSnapshot = "snapshot"
	// storedSeveral is a folder after a power loss: a whole segment, a newer one whose snapshot is torn, one in the
	// making.
	storedSeveral = "several"
	// storedFormat1 is the folder of a journal of format 1.
	storedFormat1 = "format1"
	// storedBoot is the identity of the boot in which the files were written.
	storedBoot = "569f7cf0-0000-4000-8000-000000000001"
	// storedRelay is the relay whose folders they are.
	storedRelay = "relay-3"
	// storedDiskMB is a limit of the folder that no test here comes near.
	storedDiskMB = 3
	// storedStart is when the first segment was begun, by the monotonic clock.
	storedStart = instant.Boot + instant.Time(1000*time.Second)
	// storedWall is the same moment by the wall clock: 2026-01-02 03:04:05 UTC.
	storedWall = clock.Wall(1767323045 * int64(time.Second))
	// tornBytes are cut off the log's end: a part of its last record.
	tornBytes = 5
)

// storedMachine is the machine that wrote the files, when its clocks had run on for a while.
func storedMachine(later time.Duration) *machine {
	return &machine{now: storedStart.Add(later), wall: storedWall + clock.Wall(later), boot: storedBoot}
}

// openStored opens a folder as the relay of the stored files does.
func openStored(t *testing.T, dir string, m *machine, power bool) (*Journal, *Report) {
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
		m.passes(time.Millisecond)
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

// writeStoredSeveral writes what a power loss can leave: the compacted segment, a copy of a newer one that ends
// within its snapshot, and one that never got its name.
func writeStoredSeveral(t *testing.T, dir string) {
	t.Helper()
	writeStoredSnapshot(t, dir, true)
	newer := t.TempDir()
	copyFolder(t, dir, newer)
	journal, _ := openStored(t, newer, storedMachine(20*time.Second), true)
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	whole := fileBytes(t, filepath.Join(newer, "segment-3"))
	putFile(t, filepath.Join(dir, "segment-3"), whole[:len(whole)/2])
	putFile(t, filepath.Join(dir, "segment-4.new"), whole[:len(whole)/4])
}

// writeStoredFormat1 writes a journal of format 1, record by record, as the programs did that wrote it. Its times
// are wall times alone.
func writeStoredFormat1(t *testing.T, dir string) {
	t.Helper()
	at := func(later time.Duration) time.Time { return (storedWall + clock.Wall(later)).Time().UTC() }
	expires := at(time.Minute)
	var text []byte
	add := func(r recordV1, body string) {
		var err error
		if text, err = appendV1(text, r, []byte(body)); err != nil {
			t.Fatal(err)
		}
	}
	add(recordV1{Op: "list", List: json.RawMessage(`{"hosts":["h1","h2"]}`), Hosts: 2}, "")
	for number, id := range []string{"queued", "called", "tried", "owing", "ended"} {
		entry := &entryV1{ID: id, Class: "order", Dest: 7 + number, Key: "key-" + id, Expires: expires}
		add(recordV1{Op: "taken", Entry: entry}, "body\x00\xff"+id)
	}
	add(recordV1{Op: "taken", Entry: &entryV1{ID: "bare"}}, "")
	add(recordV1{Op: "begun", ID: "called", Host: "h1", At: at(2 * time.Second)}, "")
	add(recordV1{Op: "begun", ID: "tried", Host: "h1", At: at(3 * time.Second)}, "")
	add(recordV1{Op: "ended", ID: "tried", NotExecuted: true}, "")
	add(recordV1{Op: "begun", ID: "tried", Host: "h2", At: at(4 * time.Second)}, "")
	add(recordV1{Op: "ended", ID: "tried"}, "")
	add(recordV1{Op: "owed", ID: "owing", Notification: &Notification{ID: "owing", Status: "deferred", RetryAfterMS: 1500}}, "")
	add(recordV1{Op: "over", ID: "ended"}, "")
	add(recordV1{Op: "health", Host: "h2", Health: &healthV1{Ejected: true, At: at(6 * time.Second)}}, "")
	add(recordV1{Op: "health", Host: "h1", Health: &healthV1{}}, "")
	putFile(t, filepath.Join(dir, "journal"), text)
}

// storedFolders are the folders of storedDir, and what writes each.
var storedFolders = []struct {
	name  string
	write func(t *testing.T, dir string)
}{
	{storedLog, func(t *testing.T, dir string) { writeStoredLog(t, dir, false) }},
	{storedSnapshot, func(t *testing.T, dir string) { writeStoredSnapshot(t, dir, false) }},
	{storedSeveral, writeStoredSeveral},
	{storedFormat1, writeStoredFormat1},
}

// The same operations at the same times give the same bytes as at commit 569f7cf, which can so read what later code
// writes: header, snapshot, and each operation of the log.
func TestWritesStoredBytes(t *testing.T) {
	for _, folder := range storedFolders {
		t.Run(folder.name, func(t *testing.T) {
			stored, written := filepath.Join(storedDir, folder.name), t.TempDir()
			folder.write(t, written)
			if *updateStored {
				if err := os.MkdirAll(stored, 0o755); err != nil {
					t.Fatal(err)
				}
				copyFolder(t, written, stored)
			}
			want, got := fileNames(t, stored), fileNames(t, written)
			if !slices.Equal(got, want) {
				t.Fatalf("files %q, want %q", got, want)
			}
			for _, name := range want {
				got, want := fileBytes(t, filepath.Join(written, name)), fileBytes(t, filepath.Join(stored, name))
				sameBytes(t, name, got, want)
			}
		})
	}
}

// sameBytes fails with the place of the first byte that differs.
func sameBytes(t *testing.T, name string, got, want []byte) {
	t.Helper()
	if bytes.Equal(got, want) {
		return
	}
	place := 0
	for place < min(len(got), len(want)) && got[place] == want[place] {
		place++
	}
	t.Errorf("%s: %d bytes, want %d; they differ from byte %d on:\n%x\n%x", name, len(got), len(want), place,
		got[place:min(len(got), place+32)], want[place:min(len(want), place+32)])
}

// logMessages are the messages of the stored segments.
const logMessages = "message queued: class order, destination 7, key key-queued, taken +1ms, expires +1m0s, " +
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

// What the stored folders hold beside these.
const (
	// storedList is the list that each of them holds.
	storedList = "list of 2 hosts: {\"hosts\":[\"h1\",\"h2\"]}\n"
	// storedHealth is the health that each of them holds.
	storedHealth = "health of h2: sick true, at +6s\n"
	// laterMessage is the message that came behind the compaction.
	laterMessage = "message later: class audit, destination 0, key , taken +10s, expires never, body \"later\"\n"
	// sameBoot is how a folder is found that is whole and of this boot.
	sameBoot = " whole true, rebooted false, by wall false\n"
)

// A process of the same boot reads of the stored segments all that was written, at the very moments.
func TestReadsStoredSegments(t *testing.T) {
	for _, folder := range []struct{ name, want string }{
		{storedLog, "format 2, relay relay-3, power false, records 19, last 19, torn 0," + sameBoot +
			logMessages + storedList + storedHealth},
		{storedSnapshot, "format 2, relay relay-3, power false, records 9, last 28, torn 0," + sameBoot +
			logMessages + laterMessage + storedList + storedHealth},
	} {
		t.Run(folder.name, func(t *testing.T) {
			dir := t.TempDir()
			copyFolder(t, filepath.Join(storedDir, folder.name), dir)
			journal, report := openStored(t, dir, storedMachine(30*time.Second), false)
			sameText(t, describe(journal, report, storedStart), folder.want)
		})
	}
}

// A log that ends within its last record gives all that came before it, and nothing is in doubt.
func TestReadsStoredTornLog(t *testing.T) {
	dir := t.TempDir()
	whole := fileBytes(t, filepath.Join(storedDir, storedLog, "segment-1"))
	putFile(t, filepath.Join(dir, "segment-1"), whole[:len(whole)-tornBytes])
	journal, report := openStored(t, dir, storedMachine(30*time.Second), false)
	want := "format 2, relay relay-3, power false, records 18, last 18, torn 33," + sameBoot +
		strings.Replace(logMessages, "  attempt at h2, begun +7s\n", "", 1) + storedList + storedHealth
	sameText(t, describe(journal, report, storedStart), want)
}

// After another boot the newest segment whose snapshot is whole counts, with its moments carried over by the wall
// clock: 20 s after the first segment was begun, by its own scale. Where only the process was to be outlasted, all
// is in doubt.
func TestReadsStoredSegmentsAfterAnotherBoot(t *testing.T) {
	const later = 20 * time.Second
	m := &machine{now: instant.Boot.Add(3 * time.Second), wall: storedWall + clock.Wall(later), boot: "another"}
	base := m.now.Add(-later)
	dir := t.TempDir()
	copyFolder(t, filepath.Join(storedDir, storedSeveral), dir)
	journal, report := openStored(t, dir, m, true)
	sameText(t, describe(journal, report, base),
		"format 2, relay relay-3, power true, records 9, last 28, torn 0, whole false, rebooted true, by wall true\n"+
			"passed over segment-3\n"+logMessages+laterMessage+storedList+storedHealth)
	if left := fileNames(t, dir); !slices.Equal(left, []string{"segment-4"}) {
		t.Errorf("files %q are left", left)
	}
	dir = t.TempDir()
	copyFolder(t, filepath.Join(storedDir, storedSnapshot), dir)
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

// A journal of format 1 gives all that it tells, carried over by the wall clock.
func TestReadsStoredFormat1(t *testing.T) {
	dir := t.TempDir()
	copyFolder(t, filepath.Join(storedDir, storedFormat1), dir)
	const later = 20 * time.Second
	m := &machine{now: instant.Boot.Add(3 * time.Second), wall: storedWall + clock.Wall(later), boot: "another"}
	journal, report := openStored(t, dir, m, false)
	want := `format 1, relay , power false, records 16, last 16, torn 0, whole true, rebooted false, by wall true
message queued: class order, destination 7, key key-queued, taken never, expires +1m0s, body "body\x00\xffqueued"
message called: class order, destination 8, key key-called, taken never, expires +1m0s, body "body\x00\xffcalled"
  attempt at h1, begun +2s
message tried: class order, destination 9, key key-tried, taken never, expires +1m0s, body "body\x00\xfftried"
  attempt at h1, begun +3s, ended, proved not to have run
  attempt at h2, begun +4s, ended
message owing: class order, destination 10, key key-owing, taken never, expires +1m0s, body "body\x00\xffowing"
  owes the notice owing: deferred, again after 1500 ms
message bare: class , destination 0, key , taken never, expires never, body ""
list of 2 hosts: {"hosts":["h1","h2"]}
health of h1: sick false, at never
health of h2: sick true, at +6s
`
	sameText(t, describe(journal, report, m.now.Add(-later)), want)
}

// timeInText is a time within the JSON of a record of format 1.
var timeInText = regexp.MustCompile(`"\d{4}-\d\d-\d\dT[^"]*"`)

// A folder that goes back to format 1 has the bytes of that form, as Convert writes them for a rollback. It reads
// the machine's clocks, so times are masked: each is told as its span, in whole seconds, from when the segment was
// begun. Lengths and checksums are checked by reading the frames by hand.
func TestWritesFormat1(t *testing.T) {
	dir := t.TempDir()
	pair := clock.ReadPair()
	start := pair.At
	journal, _, err := Open(dir, Options{DiskMB: storedDiskMB})
	if err != nil {
		t.Fatal(err)
	}
	journal.RecordLegacyList(LegacyEndpointList{Text: []byte(`{"hosts":["h1"]}`), Endpoints: 1})
	journal.Accept(&Entry{ID: "tried", Class: "order", Dest: 7, Key: "k", ExpiresAt: start.Add(time.Minute),
		Body: []byte("body\x00")})
	journal.StartAttempt(journal.Get("tried"), "h1", start.Add(-3*time.Second))
	journal.EndAttempt(journal.Get("tried"), true)
	journal.StartAttempt(journal.Get("tried"), "h2", start.Add(-2*time.Second))
	journal.EndAttempt(journal.Get("tried"), false)
	journal.StartAttempt(journal.Get("tried"), "h1", start.Add(-time.Second))
	journal.Accept(&Entry{ID: "owing", Body: []byte("b")})
	journal.RecordPendingNotification(journal.Get("owing"), Notification{ID: "owing", Status: "deferred", RetryAfterMS: 1500})
	journal.RecordHealth("h2", HealthRecord{Ejected: true, ChangedAt: start.Add(-4 * time.Second)})
	commit(t, journal)
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := Convert(dir, 1); err != nil {
		t.Fatal(err)
	}
	want := `{"op":"taken","entry":{"id":"tried","class":"order","dest":7,"key":"k","expires":"+1m0s"}} + "body\x00"
{"op":"begun","id":"tried","host":"h1","at":"-3s"} + ""
{"op":"ended","id":"tried","unrun":true} + ""
{"op":"begun","id":"tried","host":"h2","at":"-2s"} + ""
{"op":"ended","id":"tried"} + ""
{"op":"begun","id":"tried","host":"h1","at":"-1s"} + ""
{"op":"taken","entry":{"id":"owing"}} + "b"
{"op":"owed","id":"owing","notice":{"id":"owing","status":"deferred","again_ms":1500}} + ""
{"op":"list","list":{"hosts":["h1"]},"hosts":1} + ""
{"op":"health","host":"h2","health":{"sick":true,"at":"-4s"}} + ""
`
	sameText(t, framesOfFormat1(t, fileBytes(t, filepath.Join(dir, "journal")), pair.Wall.Time()), want)
}

// framesOfFormat1 tells the frames of a file: a head of three big-endian numbers (the lengths of the JSON and of
// the body, and the CRC-32C of all else), JSON with its times masked, and body.
func framesOfFormat1(t *testing.T, text []byte, start time.Time) string {
	t.Helper()
	var out strings.Builder
	for len(text) > 0 {
		if len(text) < 12 {
			t.Fatalf("%d bytes are left", len(text))
		}
		record, body := int(binary.BigEndian.Uint32(text)), int(binary.BigEndian.Uint32(text[4:]))
		if len(text) < 12+record+body {
			t.Fatalf("%d bytes are left of %d", len(text), 12+record+body)
		}
		covered := append(bytes.Clone(text[:8]), text[12:12+record+body]...)
		if sum := binary.BigEndian.Uint32(text[8:]); sum != crc32c(covered) {
			t.Errorf("checksum %08x, want %08x", sum, crc32c(covered))
		}
		masked := timeInText.ReplaceAllStringFunc(string(text[12:12+record]), func(quoted string) string {
			at, err := time.Parse(time.RFC3339Nano, strings.Trim(quoted, `"`))
			if err != nil {
				t.Fatal(err)
			}
			return fmt.Sprintf(`"%s"`, signedSpan(at.Sub(start).Round(time.Second)))
		})
		fmt.Fprintf(&out, "%s + %q\n", masked, text[12+record:12+record+body])
		text = text[12+record+body:]
	}
	return out.String()
}

// crc32c reckons a CRC-32C bit by bit, by the standard's reversed polynomial and not by the journal's own table.
func crc32c(text []byte) uint32 {
	const polynomial = 0x82f63b78
	sum := ^uint32(0)
	for _, next := range text {
		sum ^= uint32(next)
		for range 8 {
			sum = sum>>1 ^ polynomial*(sum&1)
		}
	}
	return ^sum
}

// describe tells all that a journal holds and how it was found, in words of this test's own.
func describe(journal *Journal, report *Report, base instant.Time) string {
	var out strings.Builder
	fmt.Fprintf(&out, "format %d, relay %s, power %t, records %d, last %d, torn %d,", report.Format, report.Relay,
		report.SurvivesPowerLoss, report.Records, report.LastSequence, report.Torn)
	fmt.Fprintf(&out, " whole %t, rebooted %t, by wall %t\n", report.Complete(), report.Rebooted, report.UsedWallClock)
	for _, name := range report.SkippedSegments {
		fmt.Fprintf(&out, "passed over %s\n", name)
	}
	for _, entry := range journal.Entries() {
		describeMessage(&out, entry, base)
	}
	if list := journal.LegacyList(); list.Text != nil {
		fmt.Fprintf(&out, "list of %d hosts: %s\n", list.Endpoints, list.Text)
	}
	health := journal.Health()
	for _, host := range slices.Sorted(maps.Keys(health)) {
		fmt.Fprintf(&out, "health of %s: sick %t, at %s\n", host, health[host].Ejected, spanFrom(base, health[host].ChangedAt))
	}
	return out.String()
}

// describeMessage tells one message.
func describeMessage(out *strings.Builder, entry *Entry, base instant.Time) {
	taken, expires := spanFrom(base, entry.AcceptedAt), spanFrom(base, entry.ExpiresAt)
	fmt.Fprintf(out, "message %s: class %s, destination %d, key %s, taken %s, expires %s, body %q\n",
		entry.ID, entry.Class, entry.Dest, entry.Key, taken, expires, entry.Body)
	for _, attempt := range entry.Attempts {
		fmt.Fprintf(out, "  attempt at %s, begun %s", attempt.Host, spanFrom(base, attempt.StartedAt))
		for _, mark := range []struct {
			set  bool
			name string
		}{{attempt.Ended, "ended"}, {attempt.NotExecuted, "proved not to have run"}, {attempt.Uncertain, "in doubt"}} {
			if mark.set {
				fmt.Fprintf(out, ", %s", mark.name)
			}
		}
		fmt.Fprintln(out)
	}
	if notice := entry.PendingNotification; notice != nil {
		fmt.Fprintf(out, "  owes the notice %s: %s, again after %d ms\n", notice.ID, notice.Status, notice.RetryAfterMS)
	}
}

// spanFrom tells a moment by its span from a base.
func spanFrom(base, at instant.Time) string {
	if at.IsZero() {
		return "never"
	}
	return signedSpan(at.Sub(base))
}

// signedSpan writes a span with its sign.
func signedSpan(span time.Duration) string {
	if span < 0 {
		return span.String()
	}
	return "+" + span.String()
}

// sameText fails with both texts where they differ.
func sameText(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}

// fileNames lists a folder.
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

// copyFolder copies the files of a folder into another.
func copyFolder(t *testing.T, from, to string) {
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
