package journal

import (
	"encoding/binary"
	"errors"
	"fmt"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// maxInterned is the largest number of strings that an interner stores.
const maxInterned = 4096

// errMalformedPayload reports that a payload with a valid checksum can't be decoded.
var errMalformedPayload = errors.New("malformed payload")

// payloadWriter encodes the fields of a payload.
type payloadWriter struct {
	buf    []byte
	clocks clock.Pair // clock readings in the segment's header, by which times are converted
}

func (w *payloadWriter) uvarint(v uint64) { w.buf = binary.AppendUvarint(w.buf, v) }

func (w *payloadWriter) varint(v int64) { w.buf = binary.AppendVarint(w.buf, v) }

func (w *payloadWriter) boolean(v bool) {
	if v {
		w.buf = append(w.buf, 1)
	} else {
		w.buf = append(w.buf, 0)
	}
}

func (w *payloadWriter) str(v string) {
	w.uvarint(uint64(len(v)))
	w.buf = append(w.buf, v...)
}

// instant writes t as a wall-clock time in nanoseconds since 1970, converted by the segment's clock readings. The zero Time
// is written as 0.
func (w *payloadWriter) instant(t instant.Time) { w.varint(int64(w.clocks.WallOf(t))) }

// payloadReader decodes the fields of a payload. Once malformed is set, the values that it returns are meaningless.
type payloadReader struct {
	unread    []byte     // the bytes that are not decoded yet
	malformed bool       // a field could not be decoded
	clocks    clock.Pair // clock readings in the segment's header, by which times are converted
}

func (r *payloadReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.unread)
	if n <= 0 {
		r.malformed, r.unread = true, nil
		return 0
	}
	r.unread = r.unread[n:]
	return v
}

func (r *payloadReader) varint() int64 {
	v, n := binary.Varint(r.unread)
	if n <= 0 {
		r.malformed, r.unread = true, nil
		return 0
	}
	r.unread = r.unread[n:]
	return v
}

func (r *payloadReader) boolean() bool {
	if len(r.unread) == 0 {
		r.malformed = true
		return false
	}
	v := r.unread[0]
	r.unread = r.unread[1:]
	r.malformed = r.malformed || v > 1
	return v == 1
}

func (r *payloadReader) bytes() []byte {
	n := r.uvarint()
	if n > uint64(len(r.unread)) {
		r.malformed, r.unread = true, nil
		return nil
	}
	v := r.unread[:n]
	r.unread = r.unread[n:]
	return v
}

func (r *payloadReader) str() string { return string(r.bytes()) }

func (r *payloadReader) instant() instant.Time { return r.clocks.InstantOf(clampWall(r.varint())) }

// remainder returns a copy of the bytes that are not decoded yet, and consumes them.
func (r *payloadReader) remainder() []byte {
	v := append([]byte(nil), r.unread...)
	r.unread = nil
	return v
}

// interner stores one copy of each string that occurs in many records, such as the names of endpoints and classes.
type interner map[string]string

func (n interner) intern(b []byte) string {
	if s, ok := n[string(b)]; ok {
		return s
	}
	s := string(b)
	if len(n) < maxInterned {
		n[s] = s
	}
	return s
}

// appendPayload appends the payload of a record to b, with times converted by the segment's clock readings.
func (r *record) appendPayload(b []byte, clocks clock.Pair) []byte {
	payload := payloadWriter{append(b, byte(r.op)), clocks}
	switch r.op {
	case opAccepted, opSnapshotEntry:
		r.appendEntry(&payload)
	case opAttemptStarted:
		payload.uvarint(r.entrySeq)
		payload.instant(r.at)
		payload.str(r.host)
	case opAttemptEnded:
		payload.uvarint(r.entrySeq)
		payload.boolean(r.notExecuted)
	case opNotificationPending:
		payload.uvarint(r.entrySeq)
		payload.str(r.notification.Status)
		payload.varint(r.notification.RetryAfterMS)
	case opCompleted:
		payload.uvarint(r.entrySeq)
	case opHealth:
		payload.str(r.host)
		payload.boolean(r.ejected)
		payload.instant(r.at)
	case opLegacyList:
		payload.uvarint(uint64(r.legacyList.Endpoints))
		payload.buf = append(payload.buf, r.legacyList.Text...)
	case opSnapshotEnd:
		payload.uvarint(r.snapshotRecords)
		payload.uvarint(uint64(r.snapshotChecksum))
	}
	return payload.buf
}

// appendEntry writes the entry of the record. A snapshot includes the entry's attempts and pending notification; the record
// of a newly accepted entry does not, since it has none.
func (r *record) appendEntry(payload *payloadWriter) {
	entry := r.entry
	payload.uvarint(r.entrySeq)
	payload.instant(entry.ExpiresAt)
	payload.instant(entry.AcceptedAt)
	payload.varint(int64(entry.Dest))
	payload.str(entry.Class)
	payload.str(entry.ID)
	payload.str(entry.Key)
	if r.op == opSnapshotEntry {
		payload.uvarint(uint64(len(entry.Attempts)))
		for _, attempt := range entry.Attempts {
			payload.str(attempt.Host)
			payload.instant(attempt.StartedAt)
			payload.boolean(attempt.Ended)
			payload.boolean(attempt.NotExecuted)
			payload.boolean(attempt.Uncertain)
		}
		payload.boolean(entry.PendingNotification != nil)
		if entry.PendingNotification != nil {
			payload.str(entry.PendingNotification.Status)
			payload.varint(entry.PendingNotification.RetryAfterMS)
		}
	}
	payload.buf = append(payload.buf, entry.Body...)
}

// decodePayload decodes a payload of a segment whose header holds the given clock readings. The record shares no memory
// with the payload.
func (r *record) decodePayload(payload []byte, shared interner, clocks clock.Pair) error {
	if len(payload) == 0 {
		return errMalformedPayload
	}
	in := payloadReader{unread: payload[1:], clocks: clocks}
	*r = record{op: op(payload[0])}
	switch r.op {
	case opAccepted, opSnapshotEntry:
		r.decodeEntry(&in, shared)
	case opAttemptStarted:
		r.entrySeq, r.at, r.host = in.uvarint(), in.instant(), shared.intern(in.bytes())
	case opAttemptEnded:
		r.entrySeq, r.notExecuted = in.uvarint(), in.boolean()
	case opNotificationPending:
		r.entrySeq = in.uvarint()
		r.notification.Status, r.notification.RetryAfterMS = shared.intern(in.bytes()), in.varint()
	case opCompleted:
		r.entrySeq = in.uvarint()
	case opHealth:
		r.host, r.ejected, r.at = shared.intern(in.bytes()), in.boolean(), in.instant()
	case opLegacyList:
		r.legacyList.Endpoints = int(min(in.uvarint(), maxPayloadSize))
		r.legacyList.Text = in.remainder()
	case opSnapshotEnd:
		r.snapshotRecords, r.snapshotChecksum = in.uvarint(), uint32(in.uvarint())
	default:
		return fmt.Errorf("%w: %v", errMalformedPayload, r.op)
	}
	if in.malformed || len(in.unread) > 0 {
		return errMalformedPayload
	}
	return nil
}

// decodeEntry reads what appendEntry wrote.
func (r *record) decodeEntry(in *payloadReader, shared interner) {
	entry := &Entry{}
	r.entry, r.entrySeq = entry, in.uvarint()
	entry.ExpiresAt, entry.AcceptedAt = in.instant(), in.instant()
	entry.Dest = int(in.varint())
	entry.Class, entry.ID, entry.Key = shared.intern(in.bytes()), in.str(), in.str()
	if r.op == opSnapshotEntry {
		attempts := in.uvarint()
		if attempts > uint64(len(in.unread)) { // an attempt takes at least one byte, so this count is wrong
			in.malformed = true
			return
		}
		for range attempts {
			entry.Attempts = append(entry.Attempts, Attempt{Host: shared.intern(in.bytes()), StartedAt: in.instant(), Ended: in.boolean(),
				NotExecuted: in.boolean(), Uncertain: in.boolean()})
		}
		if in.boolean() {
			entry.PendingNotification = &Notification{ID: entry.ID, Status: shared.intern(in.bytes()), RetryAfterMS: in.varint()}
		}
	}
	entry.Body = in.remainder()
}
