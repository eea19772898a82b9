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

// Format 1, the storage format of older programs, is a single file "journal" of records. It is read for upgrades and
// written for rollbacks. Its integers are big-endian, and lengths are in bytes.
//
//	record: length of the JSON 4 | length of the body 4 | CRC-32C 4 | JSON | body

const (
	// bodyLengthOffsetV1 is the offset of the body's length in a record, in bytes.
	bodyLengthOffsetV1 = 4
	// checksumOffsetV1 is the offset of the checksum in a record, in bytes.
	checksumOffsetV1 = 8
	// recordHeaderSizeV1 is the length of the part of a record that precedes its JSON, in bytes.
	recordHeaderSizeV1 = 12
)

// The names of operations, as format 1 stores them.
const (
	opAcceptedV1            = "taken"
	opAttemptStartedV1      = "begun"
	opAttemptEndedV1        = "ended"
	opNotificationPendingV1 = "owed"
	opCompletedV1           = "over"
	opHealthV1              = "health"
	opLegacyListV1          = "list"
)

// recordV1 is the JSON part of a record of format 1. Which fields are set depends on the operation.
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
	Hosts        int             `json:"hosts,omitempty"` // number of endpoints in List
}

// healthV1 is the health of an endpoint in format 1. At is the time of the last change of Ejected.
type healthV1 struct {
	Ejected bool      `json:"sick,omitempty"`
	At      time.Time `json:"at,omitzero"`
}

// entryV1 is an accepted request in format 1. Its body is stored after the JSON. Format 1 has no time of acceptance.
type entryV1 struct {
	ID      string    `json:"id"`
	Class   string    `json:"class,omitempty"`
	Dest    int       `json:"dest,omitempty"`
	Key     string    `json:"key,omitempty"`
	Expires time.Time `json:"expires,omitzero"`
}

// replayV1 applies the records of a file of format 1. It stops at the first record that can't be read, and returns the
// number of bytes from there to the end of the file and whether they are a torn record.
func (s *state) replayV1(raw []byte, report *Report) (unread int, torn bool) {
	for len(raw) > 0 {
		stored, body, length, err := decodeV1(raw)
		if err != nil {
			return len(raw), errors.Is(err, errTornRecord)
		}
		report.LastSequence++
		report.Records++
		if r, ok := stored.toRecord(s, report.LastSequence); ok {
			if r.entry != nil {
				r.entry.Body = body
			}
			s.apply(&r)
		}
		raw = raw[length:]
	}
	return 0, false
}

// toRecord converts a record of format 1 to one of the current format, without the body. It reports false if the record is
// incomplete, refers to an unknown entry or has an unknown operation.
func (v *recordV1) toRecord(s *state, sequence uint64) (r record, ok bool) {
	switch {
	case v.Op == opAcceptedV1 && v.Entry != nil:
		e := v.Entry
		entry := &Entry{ID: e.ID, Class: e.Class, Dest: e.Dest, Key: e.Key, ExpiresAt: instantV1(e.Expires)}
		return record{op: opAccepted, entrySeq: sequence, entry: entry}, true
	case v.Op == opHealthV1 && v.Health != nil:
		return record{op: opHealth, host: v.Host, ejected: v.Health.Ejected, at: instantV1(v.Health.At)}, true
	case v.Op == opLegacyListV1 && v.List != nil:
		return record{op: opLegacyList, legacyList: LegacyEndpointList{v.List, v.Hosts}}, true
	}
	e := s.entries[v.ID]
	if e == nil {
		return record{}, false
	}
	switch {
	case v.Op == opAttemptStartedV1:
		return record{op: opAttemptStarted, entrySeq: e.seq, host: v.Host, at: instantV1(v.At)}, true
	case v.Op == opAttemptEndedV1:
		return record{op: opAttemptEnded, entrySeq: e.seq, notExecuted: v.NotExecuted}, true
	case v.Op == opNotificationPendingV1 && v.Notification != nil:
		return record{op: opNotificationPending, entrySeq: e.seq, notification: *v.Notification}, true
	case v.Op == opCompletedV1:
		return record{op: opCompleted, entrySeq: e.seq}, true
	}
	return record{}, false
}

var (
	// errTornRecord reports that the file ends within a record.
	errTornRecord = errors.New("torn record")
	// errRecordLength reports that the lengths of a record's JSON and body together exceed maxPayloadSize.
	errRecordLength = errors.New("record too long")
	// errRecordChecksum reports that a record's checksum does not match its content.
	errRecordChecksum = errors.New("record checksum mismatch")
)

// decodeV1 decodes the first record of raw. It returns its JSON part, its body and the length of the whole record in bytes.
func decodeV1(raw []byte) (r recordV1, body []byte, length int, err error) {
	if len(raw) < recordHeaderSizeV1 {
		return r, nil, 0, errTornRecord
	}
	jsonLength := uint64(binary.BigEndian.Uint32(raw))
	bodyLength := uint64(binary.BigEndian.Uint32(raw[bodyLengthOffsetV1:]))
	if jsonLength+bodyLength > maxPayloadSize {
		return r, nil, 0, errRecordLength
	}
	length = recordHeaderSizeV1 + int(jsonLength+bodyLength)
	if length > len(raw) {
		return r, nil, 0, errTornRecord
	}
	if checksumV1(raw[:length]) != binary.BigEndian.Uint32(raw[checksumOffsetV1:]) {
		return r, nil, 0, errRecordChecksum
	}
	bodyOffset := recordHeaderSizeV1 + int(jsonLength)
	if err = json.Unmarshal(raw[recordHeaderSizeV1:bodyOffset], &r); err != nil {
		return r, nil, 0, fmt.Errorf("JSON of the record: %w", err)
	}
	return r, slices.Clone(raw[bodyOffset:length]), length, nil
}

// appendV1 appends a record of format 1 with its body to b.
func appendV1(b []byte, r recordV1, body []byte) ([]byte, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return b, err
	}
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = append(b, 0, 0, 0, 0) // checksum, set below
	b = append(b, text...)
	b = append(b, body...)
	binary.BigEndian.PutUint32(b[start+checksumOffsetV1:], checksumV1(b[start:]))
	return b, nil
}

// checksumV1 returns the CRC-32C of a record of format 1 without its checksum field.
func checksumV1(r []byte) uint32 {
	return crc32.Update(crc32.Checksum(r[:checksumOffsetV1], castagnoli), castagnoli, r[recordHeaderSizeV1:])
}

// instantV1 converts a time of format 1, which stores wall-clock times without clock readings. The state has to be rebased
// afterwards.
func instantV1(t time.Time) instant.Time {
	if t.IsZero() {
		return 0
	}
	return wallClockOnly.InstantOf(clampWall(t.UnixNano()))
}

// encodeV1 encodes a state in format 1.
func (s *state) encodeV1() (b []byte, err error) {
	clocks := clock.ReadPair()
	add := func(r recordV1, body []byte) {
		var failed error
		b, failed = appendV1(b, r, body)
		err = errors.Join(err, failed)
	}
	for _, entry := range s.liveEntries() {
		accepted := &entryV1{entry.ID, entry.Class, entry.Dest, entry.Key, wallTime(clocks, entry.ExpiresAt)}
		add(recordV1{Op: opAcceptedV1, Entry: accepted}, entry.Body)
		for _, attempt := range entry.Attempts {
			add(recordV1{Op: opAttemptStartedV1, ID: entry.ID, Host: attempt.Host, At: wallTime(clocks, attempt.StartedAt)}, nil)
			if attempt.Ended {
				add(recordV1{Op: opAttemptEndedV1, ID: entry.ID, NotExecuted: attempt.NotExecuted}, nil)
			}
		}
		if entry.PendingNotification != nil {
			add(recordV1{Op: opNotificationPendingV1, ID: entry.ID, Notification: entry.PendingNotification}, nil)
		}
	}
	if s.legacyList.Text != nil {
		add(recordV1{Op: opLegacyListV1, List: s.legacyList.Text, Hosts: s.legacyList.Endpoints}, nil)
	}
	for host, health := range s.health {
		add(recordV1{Op: opHealthV1, Host: host, Health: &healthV1{health.Ejected, wallTime(clocks, health.ChangedAt)}}, nil)
	}
	return b, err
}
