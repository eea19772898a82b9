package journal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// The form of before, format 1: one file "journal" of records with a head (lengths of the JSON and of the body, and
// their checksum, big-endian), JSON and body. It is read to be carried over, and written to go back.

const recordHeaderSizeV1 = 12

type recordV1 struct {
	Op           string          `json:"op"`
	Entry        *entryV1        `json:"entry,omitempty"`
	ID           string          `json:"id,omitempty"`
	Host         string          `json:"host,omitempty"`
	At           time.Time       `json:"at,omitzero"`
	NotExecuted  bool            `json:"unrun,omitempty"`
	Notification *Notification   `json:"notice,omitempty"`
	Health       *healthV1       `json:"health,omitempty"`
	List         json.RawMessage `json:"list,omitempty"`
	Hosts        int             `json:"hosts,omitempty"`
}

type healthV1 struct {
	Ejected bool      `json:"sick,omitempty"`
	At      time.Time `json:"at,omitzero"`
}

type entryV1 struct {
	ID      string    `json:"id"`
	Class   string    `json:"class,omitempty"`
	Dest    int       `json:"dest,omitempty"`
	Key     string    `json:"key,omitempty"`
	Expires time.Time `json:"expires,omitzero"`
}

// replayV1 applies the records of a file, and returns how many bytes at its end can't be read, and whether they are
// the begin of a record that was never finished.
func (s *state) replayV1(raw []byte, report *Report) (rest int, torn bool) {
	for len(raw) > 0 {
		v, body, n, err := decodeV1(raw)
		if err != nil {
			return len(raw), errors.Is(err, errTornRecord)
		}
		report.LastSequence++
		report.Records++
		if r := v.toRecord(s, report.LastSequence); r.op != 0 {
			if r.entry != nil {
				r.entry.Body = body
			}
			s.apply(&r)
		}
		raw = raw[n:]
	}
	return 0, false
}

// toRecord gives a record in today's terms.
func (v *recordV1) toRecord(s *state, seq uint64) (r record) {
	switch {
	case v.Op == "taken" && v.Entry != nil:
		e := v.Entry
		return record{op: opAccepted, entrySeq: seq, entry: &Entry{ID: e.ID, Class: e.Class, Dest: e.Dest, Key: e.Key, ExpiresAt: instantV1(e.Expires)}}
	case v.Op == "health" && v.Health != nil:
		return record{op: opHealth, host: v.Host, flag: v.Health.Ejected, at: instantV1(v.Health.At)}
	case v.Op == "list" && v.List != nil:
		return record{op: opLegacyList, list: LegacyEndpointList{v.List, v.Hosts}}
	}
	e := s.entries[v.ID]
	if e == nil {
		return r
	}
	r.entrySeq = e.seq
	switch {
	case v.Op == "begun":
		r.op, r.host, r.at = opAttemptStarted, v.Host, instantV1(v.At)
	case v.Op == "ended":
		r.op, r.flag = opAttemptEnded, v.NotExecuted
	case v.Op == "owed" && v.Notification != nil:
		r.op, r.notification = opNotificationPending, *v.Notification
	case v.Op == "over":
		r.op = opCompleted
	}
	return r
}

var errTornRecord = errors.New("torn record")

// decodeV1 reads the first record of raw and returns its length.
func decodeV1(raw []byte) (r recordV1, body []byte, n int, err error) {
	if len(raw) < recordHeaderSizeV1 {
		return r, nil, 0, errTornRecord
	}
	text, rest := uint64(binary.BigEndian.Uint32(raw)), uint64(binary.BigEndian.Uint32(raw[4:]))
	if text+rest > maxPayloadSize {
		return r, nil, 0, errors.New("bad lengths")
	}
	if n = recordHeaderSizeV1 + int(text+rest); n > len(raw) {
		return r, nil, 0, errTornRecord
	}
	sum := crc32.Update(crc32.Checksum(raw[:8], castagnoli), castagnoli, raw[recordHeaderSizeV1:n])
	if sum != binary.BigEndian.Uint32(raw[8:]) {
		return r, nil, 0, errors.New("bad checksum")
	}
	if err = json.Unmarshal(raw[recordHeaderSizeV1:recordHeaderSizeV1+int(text)], &r); err != nil {
		return r, nil, 0, fmt.Errorf("record: %w", err)
	}
	return r, slices.Clone(raw[recordHeaderSizeV1+int(text) : n]), n, nil
}

// appendV1 adds a record to b.
func appendV1(b []byte, r recordV1, body []byte) ([]byte, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return b, err
	}
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = append(b, 0, 0, 0, 0)
	b = append(append(b, text...), body...)
	sum := crc32.Update(crc32.Checksum(b[start:start+8], castagnoli), castagnoli, b[start+recordHeaderSizeV1:])
	binary.BigEndian.PutUint32(b[start+8:], sum)
	return b, nil
}

// instantV1 reads a time of that form, which knows the wall clock alone: rebase has to follow.
func instantV1(t time.Time) instant.Time {
	if t.IsZero() {
		return 0
	}
	return wallClockOnly.InstantOf(clampWall(t.UnixNano()))
}

// encodeV1 gives a state in the form of before.
func (s *state) encodeV1() (b []byte, err error) {
	clocks := clock.ReadPair()
	add := func(r recordV1, body []byte) {
		var failed error
		b, failed = appendV1(b, r, body)
		err = errors.Join(err, failed)
	}
	for _, e := range s.liveEntries() {
		add(recordV1{Op: "taken", Entry: &entryV1{e.ID, e.Class, e.Dest, e.Key, wallTime(clocks, e.ExpiresAt)}}, e.Body)
		for _, a := range e.Attempts {
			add(recordV1{Op: "begun", ID: e.ID, Host: a.Host, At: wallTime(clocks, a.StartedAt)}, nil)
			if a.Ended {
				add(recordV1{Op: "ended", ID: e.ID, NotExecuted: a.NotExecuted}, nil)
			}
		}
		if e.PendingNotification != nil {
			add(recordV1{Op: "owed", ID: e.ID, Notification: e.PendingNotification}, nil)
		}
	}
	if s.list.Text != nil {
		add(recordV1{Op: "list", List: s.list.Text, Hosts: s.list.Endpoints}, nil)
	}
	for host, h := range s.health {
		add(recordV1{Op: "health", Host: host, Health: &healthV1{h.Ejected, wallTime(clocks, h.ChangedAt)}}, nil)
	}
	return b, err
}
