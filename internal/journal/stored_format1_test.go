package journal

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// writeStoredFormat1 writes a journal of format 1, record by record, as the programs that used this format did. Its times are
// wall-clock times without readings of the monotonic clock.
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

// TestReadsStoredFormat1 guards against an upgrade that loses content of a stored journal of format 1, or that converts its
// times by anything but the wall clock.
func TestReadsStoredFormat1(t *testing.T) {
	dir := t.TempDir()
	copyDir(t, filepath.Join(storedDir, storedFormat1), dir)
	const later = 20 * time.Second
	m := &fakeMachine{now: instant.Boot.Add(3 * time.Second), wall: storedWall + clock.Wall(later), boot: "another"}
	journal, report := openStored(t, dir, m, false)
	want := `format 1, relay , power false, records 16, last 16, torn 0, complete true, rebooted false, used wall clock true
message queued: class order, destination 7, key key-queued, accepted never, expires +1m0s, body "body\x00\xffqueued"
message called: class order, destination 8, key key-called, accepted never, expires +1m0s, body "body\x00\xffcalled"
  attempt at h1, started +2s
message tried: class order, destination 9, key key-tried, accepted never, expires +1m0s, body "body\x00\xfftried"
  attempt at h1, started +3s, ended, not executed
  attempt at h2, started +4s, ended
message owing: class order, destination 10, key key-owing, accepted never, expires +1m0s, body "body\x00\xffowing"
  pending notification owing: deferred, retry after 1500 ms
message bare: class , destination 0, key , accepted never, expires never, body ""
legacy list of 2 endpoints: {"hosts":["h1","h2"]}
health of h1: ejected false, changed at never
health of h2: ejected true, changed at +6s
`
	checkText(t, describeJournal(journal, report, m.now.Add(-later)), want)
}

// timeInText matches a quoted time in the JSON of a record of format 1.
var timeInText = regexp.MustCompile(`"\d{4}-\d\d-\d\dT[^"]*"`)

// TestWritesFormat1 guards against a Convert to format 1 whose file older programs can't read after a rollback. Convert uses
// the machine's clocks, so each time is replaced by its offset from the start of the test, in whole seconds. The test parses
// the records by itself to check their lengths and checksums.
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
	checkText(t, describeFramesV1(t, fileBytes(t, filepath.Join(dir, "journal")), pair.Wall.Time()), want)
}

// describeFramesV1 returns the records of a file of format 1 as text, one a line: the JSON, with times replaced by offsets
// from start, and the body. Each record has a header of three big-endian integers: the length of the JSON, the length of the
// body, and the CRC-32C of all other bytes.
func describeFramesV1(t *testing.T, text []byte, start time.Time) string {
	t.Helper()
	var out strings.Builder
	for len(text) > 0 {
		if len(text) < 12 {
			t.Fatalf("%d bytes remain, want a record header of 12", len(text))
		}
		record, body := int(binary.BigEndian.Uint32(text)), int(binary.BigEndian.Uint32(text[4:]))
		if len(text) < 12+record+body {
			t.Fatalf("%d bytes remain of a record of %d", len(text), 12+record+body)
		}
		covered := append(bytes.Clone(text[:8]), text[12:12+record+body]...)
		if sum := binary.BigEndian.Uint32(text[8:]); sum != bitwiseCRC32C(covered) {
			t.Errorf("record has checksum %08x, want %08x", sum, bitwiseCRC32C(covered))
		}
		masked := timeInText.ReplaceAllStringFunc(string(text[12:12+record]), func(quoted string) string {
			at, err := time.Parse(time.RFC3339Nano, strings.Trim(quoted, `"`))
			if err != nil {
				t.Fatal(err)
			}
			return fmt.Sprintf(`"%s"`, formatSigned(at.Sub(start).Round(time.Second)))
		})
		fmt.Fprintf(&out, "%s + %q\n", masked, text[12+record:12+record+body])
		text = text[12+record+body:]
	}
	return out.String()
}

// bitwiseCRC32C computes a CRC-32C bit by bit, by the reversed polynomial of the standard. It is independent of the table
// that the journal uses.
func bitwiseCRC32C(text []byte) uint32 {
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
