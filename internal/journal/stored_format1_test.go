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

// A journal of format 1 gives all that it tells, carried over by the wall clock.
func TestReadsStoredFormat1(t *testing.T) {
	dir := t.TempDir()
	copyDir(t, filepath.Join(storedDir, storedFormat1), dir)
	const later = 20 * time.Second
	m := &fakeMachine{now: instant.Boot.Add(3 * time.Second), wall: storedWall + clock.Wall(later), boot: "another"}
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
	checkText(t, describeJournal(journal, report, m.now.Add(-later)), want)
}

// timeInText is a time within the JSON of a record of format 1.
var timeInText = regexp.MustCompile(`"\d{4}-\d\d-\d\dT[^"]*"`)

// A directory that goes back to format 1 has the bytes of that form, as Convert writes them for a rollback. It reads
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
	checkText(t, describeFramesV1(t, fileBytes(t, filepath.Join(dir, "journal")), pair.Wall.Time()), want)
}

// describeFramesV1 tells the frames of a file: a head of three big-endian numbers (the lengths of the JSON and of
// the body, and the CRC-32C of all else), JSON with its times masked, and body.
func describeFramesV1(t *testing.T, text []byte, start time.Time) string {
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
		if sum := binary.BigEndian.Uint32(text[8:]); sum != bitwiseCRC32C(covered) {
			t.Errorf("checksum %08x, want %08x", sum, bitwiseCRC32C(covered))
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

// bitwiseCRC32C reckons a CRC-32C bit by bit, by the standard's reversed polynomial and not by the journal's own table.
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
