package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// A segment is a file segment-N: a header, a snapshot of what was live when it was begun, closed by a record that
// counts and sums it up, and then the log, one record for each change. All numbers in heads are little-endian.
//
//	header:  magic 8 | format 4 | length of the rest 4 | rest: segment, first sequence, mode, boot, relay, clocks | CRC-32C 4
//	record:  marker 4 | length of the payload 4 | sequence 8 | gist of the record before 4 | CRC-32C 4 | payload
//
// The marker is there so that records after damage are found again; the sequence tells what is missing between; the
// gist (operation and the low 24 bits of the message's number) tells of a single missing record what it was.

// ReadableFormats are the forms on disk that this program reads.
var ReadableFormats = []int{formatV1, Format}

const (
	magic = "MSAILJNL"
	// Format is the newest version of the form on disk that this program reads, and the one that it writes.
	Format = 2
	// formatV1 is the form before, which v1.go reads.
	formatV1 = 1
	// recordMarker begins each record.
	recordMarker uint32 = 0xa55e_c0de
	// recordHeaderSize and segmentHeaderSize are the bytes before a record's payload and before a segment header's variable part.
	recordHeaderSize  = 24
	segmentHeaderSize = 16
	// maxPayloadSize bounds a payload: a body of 64 KiB and names, or a long list of hosts.
	maxPayloadSize = 16 << 20
	// maxSegmentHeaderSize bounds the rest of a header.
	maxSegmentHeaderSize = 4096

	segmentPrefix    = "segment-"
	unfinishedSuffix = ".new"
	quarantinePrefix = "damaged-"
	formatV1File     = "journal"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// op is what a record says.
type op byte

// The operations. Those of a message name it by its number, the sequence of the record that took it on.
const (
	opAccepted            op = iota + 1 // a message is taken on
	opAttemptStarted                    // an attempt begins
	opAttemptEnded                      // the last attempt has ended
	opNotificationPending               // it ends by a notice
	opCompleted                         // nothing more is owed for it
	opHealth                            // what is remembered of a host
	opLegacyList                        // the list as last told
	opSnapshotEntry                     // of a snapshot: a message with all that is known of it
	opSnapshotEnd                       // closes a snapshot
)

var opNames = [...]string{"", "taken", "begun", "ended", "owed", "over", "health", "list", "kept", "snapshot"}

func (o op) String() string {
	if int(o) < len(opNames) {
		return opNames[o]
	}
	return "operation " + strconv.Itoa(int(o))
}

// record is one change.
type record struct {
	op               op
	entrySeq         uint64 // number of the message
	entry            *Entry // taken, kept
	host             string
	at               instant.Time
	flag             bool // ended: unrun; health: sick
	notification     Notification
	list             LegacyEndpointList
	snapshotRecords  uint64 // snapshot: records in it
	snapshotChecksum uint32 // snapshot: of their checksums
}

// header begins a segment.
type header struct {
	format            uint32
	segment           uint64
	firstSequence     uint64 // sequence of the first record
	survivesPowerLoss bool   // durability
	boot              string
	relay             string
	clocks            clock.Pair // when the segment was begun; zero in one of a program that wrote none
}

// payloadWriter is a payload as it is written.
type payloadWriter struct {
	buf    []byte
	clocks clock.Pair // of the segment
}

func (f *payloadWriter) uvarint(v uint64) { f.buf = binary.AppendUvarint(f.buf, v) }

func (f *payloadWriter) varint(v int64) { f.buf = binary.AppendVarint(f.buf, v) }

func (f *payloadWriter) boolean(v bool) {
	if v {
		f.buf = append(f.buf, 1)
	} else {
		f.buf = append(f.buf, 0)
	}
}

func (f *payloadWriter) str(v string) {
	f.uvarint(uint64(len(v)))
	f.buf = append(f.buf, v...)
}

// instant writes a moment on the segment's scale, in nanoseconds since 1970; the zero Time is 0.
func (f *payloadWriter) instant(t instant.Time) { f.varint(int64(f.clocks.WallOf(t))) }

// payloadReader is a payload as it is read. After an error its values mean nothing.
type payloadReader struct {
	rest      []byte
	malformed bool
	clocks    clock.Pair // of the segment
}

func (in *payloadReader) uvarint() uint64 {
	v, n := binary.Uvarint(in.rest)
	if n <= 0 {
		in.malformed, in.rest = true, nil
		return 0
	}
	in.rest = in.rest[n:]
	return v
}

func (in *payloadReader) varint() int64 {
	v, n := binary.Varint(in.rest)
	if n <= 0 {
		in.malformed, in.rest = true, nil
		return 0
	}
	in.rest = in.rest[n:]
	return v
}

func (in *payloadReader) boolean() bool {
	if len(in.rest) == 0 {
		in.malformed = true
		return false
	}
	v := in.rest[0]
	in.rest = in.rest[1:]
	in.malformed = in.malformed || v > 1
	return v == 1
}

func (in *payloadReader) bytes() []byte {
	n := in.uvarint()
	if n > uint64(len(in.rest)) {
		in.malformed, in.rest = true, nil
		return nil
	}
	v := in.rest[:n]
	in.rest = in.rest[n:]
	return v
}

func (in *payloadReader) str() string { return string(in.bytes()) }

func (in *payloadReader) instant() instant.Time { return in.clocks.InstantOf(clampWall(in.varint())) }

// interner gives strings that come again and again one place in memory.
type interner map[string]string

func (n interner) intern(b []byte) string {
	if s, ok := n[string(b)]; ok {
		return s
	}
	s := string(b)
	if len(n) < 4096 {
		n[s] = s
	}
	return s
}

// appendPayload adds the payload of a record to b, with times on a segment's scale.
func (r *record) appendPayload(b []byte, clocks clock.Pair) []byte {
	f := payloadWriter{append(b, byte(r.op)), clocks}
	switch r.op {
	case opAccepted, opSnapshotEntry:
		e := r.entry
		f.uvarint(r.entrySeq)
		f.instant(e.ExpiresAt)
		f.instant(e.AcceptedAt)
		f.varint(int64(e.Dest))
		f.str(e.Class)
		f.str(e.ID)
		f.str(e.Key)
		if r.op == opSnapshotEntry {
			f.uvarint(uint64(len(e.Attempts)))
			for _, a := range e.Attempts {
				f.str(a.Host)
				f.instant(a.StartedAt)
				f.boolean(a.Ended)
				f.boolean(a.NotExecuted)
				f.boolean(a.Uncertain)
			}
			f.boolean(e.PendingNotification != nil)
			if e.PendingNotification != nil {
				f.str(e.PendingNotification.Status)
				f.varint(e.PendingNotification.RetryAfterMS)
			}
		}
		f.buf = append(f.buf, e.Body...)
	case opAttemptStarted:
		f.uvarint(r.entrySeq)
		f.instant(r.at)
		f.str(r.host)
	case opAttemptEnded:
		f.uvarint(r.entrySeq)
		f.boolean(r.flag)
	case opNotificationPending:
		f.uvarint(r.entrySeq)
		f.str(r.notification.Status)
		f.varint(r.notification.RetryAfterMS)
	case opCompleted:
		f.uvarint(r.entrySeq)
	case opHealth:
		f.str(r.host)
		f.boolean(r.flag)
		f.instant(r.at)
	case opLegacyList:
		f.uvarint(uint64(r.list.Endpoints))
		f.buf = append(f.buf, r.list.Text...)
	case opSnapshotEnd:
		f.uvarint(r.snapshotRecords)
		f.uvarint(uint64(r.snapshotChecksum))
	}
	return f.buf
}

var errMalformedPayload = errors.New("the payload makes no sense")

// decodePayload reads a payload of a segment with such clocks. What it gives shares nothing with the bytes.
func (r *record) decodePayload(payload []byte, known interner, clocks clock.Pair) error {
	if len(payload) == 0 {
		return errMalformedPayload
	}
	in := payloadReader{rest: payload[1:], clocks: clocks}
	*r = record{op: op(payload[0])}
	switch r.op {
	case opAccepted, opSnapshotEntry:
		e := &Entry{}
		r.entry, r.entrySeq = e, in.uvarint()
		e.ExpiresAt, e.AcceptedAt = in.instant(), in.instant()
		e.Dest = int(in.varint())
		e.Class, e.ID, e.Key = known.intern(in.bytes()), in.str(), in.str()
		if r.op == opSnapshotEntry {
			n := in.uvarint()
			if n > uint64(len(in.rest)) { // each takes a byte at least
				return errMalformedPayload
			}
			for range n {
				e.Attempts = append(e.Attempts, Attempt{Host: known.intern(in.bytes()), StartedAt: in.instant(), Ended: in.boolean(), NotExecuted: in.boolean(), Uncertain: in.boolean()})
			}
			if in.boolean() {
				e.PendingNotification = &Notification{ID: e.ID, Status: known.intern(in.bytes()), RetryAfterMS: in.varint()}
			}
		}
		e.Body = append([]byte(nil), in.rest...)
		in.rest = nil
	case opAttemptStarted:
		r.entrySeq, r.at, r.host = in.uvarint(), in.instant(), known.intern(in.bytes())
	case opAttemptEnded:
		r.entrySeq, r.flag = in.uvarint(), in.boolean()
	case opNotificationPending:
		r.entrySeq, r.notification.Status, r.notification.RetryAfterMS = in.uvarint(), known.intern(in.bytes()), in.varint()
	case opCompleted:
		r.entrySeq = in.uvarint()
	case opHealth:
		r.host, r.flag, r.at = known.intern(in.bytes()), in.boolean(), in.instant()
	case opLegacyList:
		r.list.Endpoints = int(min(in.uvarint(), maxPayloadSize))
		r.list.Text = append([]byte(nil), in.rest...)
		in.rest = nil
	case opSnapshotEnd:
		r.snapshotRecords, r.snapshotChecksum = in.uvarint(), uint32(in.uvarint())
	default:
		return fmt.Errorf("%w: %v", errMalformedPayload, r.op)
	}
	if in.malformed || len(in.rest) > 0 {
		return errMalformedPayload
	}
	return nil
}

// digest is what the next record tells of this one.
func (r *record) digest() uint32 { return uint32(r.op)<<24 | uint32(r.entrySeq)&0xffffff }

// appendFramed adds a record with its head to b, and gives its checksum as well.
func appendFramed(b []byte, r *record, seq uint64, before uint32, clocks clock.Pair) ([]byte, uint32) {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, recordMarker)
	b = append(b, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint64(b, seq)
	b = binary.LittleEndian.AppendUint32(b, before)
	b = append(b, 0, 0, 0, 0)
	b = r.appendPayload(b, clocks)
	binary.LittleEndian.PutUint32(b[start+4:], uint32(len(b)-start-recordHeaderSize))
	sum := frameChecksum(b[start:])
	binary.LittleEndian.PutUint32(b[start+20:], sum)
	return b, sum
}

// frameChecksum is that of a whole framed record.
func frameChecksum(framed []byte) uint32 {
	return crc32.Update(crc32.Checksum(framed[:20], castagnoli), castagnoli, framed[recordHeaderSize:])
}

// encode gives a segment's header.
func (h header) encode() []byte {
	var f payloadWriter
	f.uvarint(h.segment)
	f.uvarint(h.firstSequence)
	f.boolean(h.survivesPowerLoss)
	f.str(h.boot)
	f.str(h.relay)
	f.varint(int64(h.clocks.At))
	f.varint(int64(h.clocks.Wall))
	b := append([]byte(magic), 0, 0, 0, 0, 0, 0, 0, 0)
	binary.LittleEndian.PutUint32(b[8:], h.format)
	binary.LittleEndian.PutUint32(b[12:], uint32(len(f.buf)))
	b = append(b, f.buf...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// NewerError says that a folder was written by a newer program than this one.
type NewerError struct {
	File   string
	Format uint32
}

func (e *NewerError) Error() string {
	return fmt.Sprintf("%s has format %d, and this program knows formats up to %d: start the newer program, or have it convert the folder", e.File, e.Format, Format)
}

// segmentNumber reads the number from a segment's name.
func segmentNumber(name string) (uint64, bool) {
	rest, ok := strings.CutPrefix(name, segmentPrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(rest, 10, 64)
	return n, err == nil
}

func segmentFileName(n uint64) string { return segmentPrefix + strconv.FormatUint(n, 10) }
