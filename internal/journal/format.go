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
	// marker begins each record.
	marker uint32 = 0xa55e_c0de
	// recordHead and headerHead are the bytes before a record's payload and before a segment header's variable part.
	recordHead = 24
	headerHead = 16
	// maxRecord bounds a payload: a body of 64 KiB and names, or a long list of hosts.
	maxRecord = 16 << 20
	// maxHeader bounds the rest of a header.
	maxHeader = 4096

	segmentName = "segment-"
	newSuffix   = ".new"
	damagedName = "damaged-"
	v1Name      = "journal"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// op is what a record says.
type op byte

// The operations. Those of a message name it by its number, the sequence of the record that took it on.
const (
	opTaken    op = iota + 1 // a message is taken on
	opBegun                  // an attempt begins
	opEnded                  // the last attempt has ended
	opOwed                   // it ends by a notice
	opOver                   // nothing more is owed for it
	opHealth                 // what is remembered of a host
	opList                   // the list as last told
	opKept                   // of a snapshot: a message with all that is known of it
	opSnapshot               // closes a snapshot
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
	op     op
	ref    uint64 // number of the message
	entry  *Entry // taken, kept
	host   string
	at     instant.Time
	flag   bool // ended: unrun; health: sick
	notice Notification
	list   LegacyEndpointList
	count  uint64 // snapshot: records in it
	sum    uint32 // snapshot: of their checksums
}

// header begins a segment.
type header struct {
	format  uint32
	segment uint64
	first   uint64 // sequence of the first record
	power   bool   // durability
	boot    string
	relay   string
	clocks  clock.Pair // when the segment was begun; zero in one of a program that wrote none
}

// fields is a payload as it is written.
type fields struct {
	b      []byte
	clocks clock.Pair // of the segment
}

func (f *fields) num(v uint64) { f.b = binary.AppendUvarint(f.b, v) }

func (f *fields) signed(v int64) { f.b = binary.AppendVarint(f.b, v) }

func (f *fields) flag(v bool) {
	if v {
		f.b = append(f.b, 1)
	} else {
		f.b = append(f.b, 0)
	}
}

func (f *fields) text(v string) {
	f.num(uint64(len(v)))
	f.b = append(f.b, v...)
}

// time writes a moment on the segment's scale, in nanoseconds since 1970; the zero Time is 0.
func (f *fields) time(t instant.Time) { f.signed(int64(f.clocks.WallOf(t))) }

// input is a payload as it is read. After an error its values mean nothing.
type input struct {
	b      []byte
	bad    bool
	clocks clock.Pair // of the segment
}

func (in *input) num() uint64 {
	v, n := binary.Uvarint(in.b)
	if n <= 0 {
		in.bad, in.b = true, nil
		return 0
	}
	in.b = in.b[n:]
	return v
}

func (in *input) signed() int64 {
	v, n := binary.Varint(in.b)
	if n <= 0 {
		in.bad, in.b = true, nil
		return 0
	}
	in.b = in.b[n:]
	return v
}

func (in *input) flag() bool {
	if len(in.b) == 0 {
		in.bad = true
		return false
	}
	v := in.b[0]
	in.b = in.b[1:]
	in.bad = in.bad || v > 1
	return v == 1
}

func (in *input) bytes() []byte {
	n := in.num()
	if n > uint64(len(in.b)) {
		in.bad, in.b = true, nil
		return nil
	}
	v := in.b[:n]
	in.b = in.b[n:]
	return v
}

func (in *input) text() string { return string(in.bytes()) }

func (in *input) time() instant.Time { return in.clocks.InstantOf(boundedWall(in.signed())) }

// names gives strings that come again and again one place in memory.
type names map[string]string

func (n names) of(b []byte) string {
	if s, ok := n[string(b)]; ok {
		return s
	}
	s := string(b)
	if len(n) < 4096 {
		n[s] = s
	}
	return s
}

// append adds the payload of a record to b, with times on a segment's scale.
func (r *record) append(b []byte, clocks clock.Pair) []byte {
	f := fields{append(b, byte(r.op)), clocks}
	switch r.op {
	case opTaken, opKept:
		e := r.entry
		f.num(r.ref)
		f.time(e.ExpiresAt)
		f.time(e.AcceptedAt)
		f.signed(int64(e.Dest))
		f.text(e.Class)
		f.text(e.ID)
		f.text(e.Key)
		if r.op == opKept {
			f.num(uint64(len(e.Attempts)))
			for _, a := range e.Attempts {
				f.text(a.Host)
				f.time(a.StartedAt)
				f.flag(a.Ended)
				f.flag(a.NotExecuted)
				f.flag(a.Uncertain)
			}
			f.flag(e.PendingNotification != nil)
			if e.PendingNotification != nil {
				f.text(e.PendingNotification.Status)
				f.signed(e.PendingNotification.RetryAfterMS)
			}
		}
		f.b = append(f.b, e.Body...)
	case opBegun:
		f.num(r.ref)
		f.time(r.at)
		f.text(r.host)
	case opEnded:
		f.num(r.ref)
		f.flag(r.flag)
	case opOwed:
		f.num(r.ref)
		f.text(r.notice.Status)
		f.signed(r.notice.RetryAfterMS)
	case opOver:
		f.num(r.ref)
	case opHealth:
		f.text(r.host)
		f.flag(r.flag)
		f.time(r.at)
	case opList:
		f.num(uint64(r.list.Endpoints))
		f.b = append(f.b, r.list.Text...)
	case opSnapshot:
		f.num(r.count)
		f.num(uint64(r.sum))
	}
	return f.b
}

var errPayload = errors.New("the payload makes no sense")

// parse reads a payload of a segment with such clocks. What it gives shares nothing with the bytes.
func (r *record) parse(payload []byte, known names, clocks clock.Pair) error {
	if len(payload) == 0 {
		return errPayload
	}
	in := input{b: payload[1:], clocks: clocks}
	*r = record{op: op(payload[0])}
	switch r.op {
	case opTaken, opKept:
		e := &Entry{}
		r.entry, r.ref = e, in.num()
		e.ExpiresAt, e.AcceptedAt = in.time(), in.time()
		e.Dest = int(in.signed())
		e.Class, e.ID, e.Key = known.of(in.bytes()), in.text(), in.text()
		if r.op == opKept {
			n := in.num()
			if n > uint64(len(in.b)) { // each takes a byte at least
				return errPayload
			}
			for range n {
				e.Attempts = append(e.Attempts, Attempt{Host: known.of(in.bytes()), StartedAt: in.time(), Ended: in.flag(), NotExecuted: in.flag(), Uncertain: in.flag()})
			}
			if in.flag() {
				e.PendingNotification = &Notification{ID: e.ID, Status: known.of(in.bytes()), RetryAfterMS: in.signed()}
			}
		}
		e.Body = append([]byte(nil), in.b...)
		in.b = nil
	case opBegun:
		r.ref, r.at, r.host = in.num(), in.time(), known.of(in.bytes())
	case opEnded:
		r.ref, r.flag = in.num(), in.flag()
	case opOwed:
		r.ref, r.notice.Status, r.notice.RetryAfterMS = in.num(), known.of(in.bytes()), in.signed()
	case opOver:
		r.ref = in.num()
	case opHealth:
		r.host, r.flag, r.at = known.of(in.bytes()), in.flag(), in.time()
	case opList:
		r.list.Endpoints = int(min(in.num(), maxRecord))
		r.list.Text = append([]byte(nil), in.b...)
		in.b = nil
	case opSnapshot:
		r.count, r.sum = in.num(), uint32(in.num())
	default:
		return fmt.Errorf("%w: %v", errPayload, r.op)
	}
	if in.bad || len(in.b) > 0 {
		return errPayload
	}
	return nil
}

// gist is what the next record tells of this one.
func (r *record) gist() uint32 { return uint32(r.op)<<24 | uint32(r.ref)&0xffffff }

// frame adds a record with its head to b, and gives its checksum as well.
func frame(b []byte, r *record, seq uint64, before uint32, clocks clock.Pair) ([]byte, uint32) {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, marker)
	b = append(b, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint64(b, seq)
	b = binary.LittleEndian.AppendUint32(b, before)
	b = append(b, 0, 0, 0, 0)
	b = r.append(b, clocks)
	binary.LittleEndian.PutUint32(b[start+4:], uint32(len(b)-start-recordHead))
	sum := checksum(b[start:])
	binary.LittleEndian.PutUint32(b[start+20:], sum)
	return b, sum
}

// checksum is that of a whole framed record.
func checksum(framed []byte) uint32 {
	return crc32.Update(crc32.Checksum(framed[:20], castagnoli), castagnoli, framed[recordHead:])
}

// encode gives a segment's header.
func (h header) encode() []byte {
	var f fields
	f.num(h.segment)
	f.num(h.first)
	f.flag(h.power)
	f.text(h.boot)
	f.text(h.relay)
	f.signed(int64(h.clocks.At))
	f.signed(int64(h.clocks.Wall))
	b := append([]byte(magic), 0, 0, 0, 0, 0, 0, 0, 0)
	binary.LittleEndian.PutUint32(b[8:], h.format)
	binary.LittleEndian.PutUint32(b[12:], uint32(len(f.b)))
	b = append(b, f.b...)
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
	rest, ok := strings.CutPrefix(name, segmentName)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(rest, 10, 64)
	return n, err == nil
}

func segmentFile(n uint64) string { return segmentName + strconv.FormatUint(n, 10) }
