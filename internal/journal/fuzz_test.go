package journal

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"milletsail/internal/instant"
)

// sampleSegment returns a segment with each operation.
func sampleSegment(tb testing.TB) []byte {
	tb.Helper()
	dir := tb.TempDir()
	j, _, err := Open(dir, Options{DiskMB: 3, Relay: "n1"})
	if err != nil {
		tb.Fatal(err)
	}
	for _, id := range []string{"a", "b", "c"} {
		e := &Entry{ID: id, Class: "order", Dest: 7, Key: "k", ExpiresAt: instant.Time(9e9), Body: []byte("body")}
		j.Accept(e)
		j.StartAttempt(e, "h1", instant.Time(5e9))
		j.EndAttempt(e, true)
	}
	j.RecordPendingNotification(j.Get("b"), Notification{ID: "b", Status: "deferred", RetryAfterMS: 30})
	j.Complete(j.Get("c"))
	j.RecordLegacyList(LegacyEndpointList{Text: []byte(`{"seq":3}`), Endpoints: 1})
	j.RecordHealth("h1", HealthRecord{Ejected: true, ChangedAt: instant.Time(5e9)})
	if err := j.Commit(); err != nil {
		tb.Fatal(err)
	}
	_ = j.Close()
	found, err := filepath.Glob(filepath.Join(dir, segmentPrefix+"*"))
	if err != nil || len(found) != 1 {
		tb.Fatalf("%v, %v", found, err)
	}
	raw, err := os.ReadFile(found[0])
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

// Any bytes give a state or an error, and what was read can be written and read again.
func FuzzSegment(f *testing.F) {
	raw := sampleSegment(f)
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Add(append(bytes.Clone(raw), raw...))
	f.Add(raw[100:])
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, raw []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, segmentFileName(3)), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		j, r, err := Open(dir, Options{DiskMB: 64})
		if err != nil {
			if newer := new(NewerError); !errors.As(err, &newer) {
				t.Fatal(err)
			}
			return
		}
		defer func() { _ = j.Close() }()
		largest := 200*len(raw) + (len(raw)/recordHeaderSize+1)*(laterRecordsReserve+endpointReserve*maxPayloadSize)
		if size := j.liveSize + len(j.entries); size > largest {
			t.Fatalf("%d bytes need room for %d", len(raw), size)
		}
		again, whole, err := Read(dir)
		if err != nil || len(again.Entries()) != len(j.Entries()) || !whole.Complete() {
			t.Fatalf("%v: %d messages, %d when read again, from %+v", err, len(j.Entries()), len(again.Entries()), r)
		}
	})
}

// So do any bytes in format 1, and they can be given back in it.
func FuzzFormat1(f *testing.F) {
	s, _, _, err := readSegment(bytes.NewReader(sampleSegment(f)), 1<<20, "x", "")
	if err != nil {
		f.Fatal(err)
	}
	raw, err := s.encodeV1()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(raw[:len(raw)-3])
	f.Add(raw[20:])
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := newState()
		s.replayV1(raw, &Report{})
		back, err := s.encodeV1()
		if err != nil {
			t.Skip(err) // a list that is no JSON, say
		}
		again := newState()
		if rest, _ := again.replayV1(back, &Report{}); rest > 0 || len(again.liveEntries()) != len(s.liveEntries()) {
			t.Fatalf("%d messages, %d when given back, %d bytes unread", len(s.liveEntries()), len(again.liveEntries()), rest)
		}
	})
}

// Any payload gives an error or a record that is written as it was read.
func FuzzPayload(f *testing.F) {
	w := &scanner{source: bytes.NewReader(sampleSegment(f)), size: 1 << 20}
	if _, err := w.readHeader("x"); err != nil {
		f.Fatal(err)
	}
	for b, ok := w.frame(); ok; b, ok = w.frame() {
		f.Add(bytes.Clone(b[recordHeaderSize:]))
		w.advance(len(b))
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		var r, again record
		if r.decodePayload(payload, interner{}, wallClockOnly) != nil {
			return
		}
		first := r.appendPayload(nil, wallClockOnly)
		err := again.decodePayload(first, interner{}, wallClockOnly)
		if err != nil || !bytes.Equal(again.appendPayload(nil, wallClockOnly), first) {
			t.Fatalf("%q is read as %q, and that as %q (%v)", payload, first, again.appendPayload(nil, wallClockOnly), err)
		}
	})
}
