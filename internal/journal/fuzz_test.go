package journal

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"milletsail/internal/instant"
)

// sampleSegment returns a segment that contains every operation except opSnapshotEntry.
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
		tb.Fatalf("segment files %v (error %v), want exactly one", found, err)
	}
	raw, err := os.ReadFile(found[0])
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

// FuzzSegment guards against segments that make Open crash, return an unexpected error or reserve an absurd size: any bytes
// must yield a state, which can be read again after Open has written it to a new segment, or a *NewerError.
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
			t.Fatalf("a segment of %d bytes leads to a reservation of %d bytes", len(raw), size)
		}
		again, whole, err := Read(dir)
		if err != nil || len(again.Entries()) != len(j.Entries()) || !whole.Complete() {
			t.Fatalf("reading the rewritten segment: error %v; %d entries before, %d after; first report %+v",
				err, len(j.Entries()), len(again.Entries()), r)
		}
	})
}

// FuzzFormat1 guards against files of format 1 that crash the replay or lose entries when their state is written in format
// 1 and replayed again.
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
			t.Skip(err) // for example, an endpoint list that is not valid JSON
		}
		again := newState()
		if rest, _ := again.replayV1(back, &Report{}); rest > 0 || len(again.liveEntries()) != len(s.liveEntries()) {
			t.Fatalf("%d entries were replayed, %d after a rewrite in format 1, with %d bytes unreadable",
				len(s.liveEntries()), len(again.liveEntries()), rest)
		}
	})
}

// FuzzPayload guards against payloads that crash the decoder, or that decode to a record whose encoding does not decode to
// the same record.
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
			t.Fatalf("payload %q is re-encoded as %q, and that as %q (error %v)",
				payload, first, again.appendPayload(nil, wallClockOnly), err)
		}
	})
}
