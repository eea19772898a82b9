package journal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// Report is what was found in a folder.
type Report struct {
	File              string   `json:"file,omitempty"` // that the state was read from; empty for none
	Format            uint32   `json:"format"`
	Relay             string   `json:"relay,omitempty"`
	SurvivesPowerLoss bool     `json:"power"` // written to outlast a power loss
	Boot              string   `json:"boot,omitempty"`
	Bytes             int64    `json:"bytes"`
	Records           int      `json:"records"`
	LastSequence      uint64   `json:"last"`             // sequence of the last record
	Torn              int64    `json:"torn,omitempty"`   // bytes of an unfinished record at the end, dropped
	Damage            []Damage `json:"damage,omitempty"` // ranges that can't be read
	Rebooted          bool     `json:"rebooted,omitempty"`
	Partial           bool     `json:"partial,omitempty"` // its snapshot is not whole, and there is no older one
	SkippedSegments   []string `json:"passed,omitempty"`  // segments whose snapshot is not whole, passed over for an older one
	UsedWallClock     bool     `json:"by_wall,omitempty"` // its moments were carried over by the wall clock: another boot's, or a program's that kept no clocks
	segment           uint64
	clocks            clock.Pair // of the segment; zero for none
}

// Damage is a range of a file that can't be read, with good records behind it or not.
type Damage struct {
	Offset        int64  `json:"offset"`
	Length        int64  `json:"length"`
	FirstSequence uint64 `json:"first,omitempty"` // sequence of the first record that is missing
	Missing       uint64 `json:"missing"`         // records, as far as the next good one tells
	LastRecord    string `json:"what,omitempty"`  // what the last of them said
	file          string
}

// Complete tells whether nothing but an unfinished record at the end was lost.
func (r *Report) Complete() bool {
	return len(r.Damage) == 0 && len(r.SkippedSegments) == 0 && !r.Partial
}

// state is what a journal holds, in memory.
type state struct {
	entries  map[string]*Entry
	bySeq    map[uint64]*Entry
	order    []*Entry // as taken; those that are over leave at the next compaction
	health   map[string]HealthRecord
	list     LegacyEndpointList
	liveSize int // bytes that the entries and the list need, with room for later records
	listSize int
}

func newState() *state {
	return &state{entries: map[string]*Entry{}, bySeq: map[uint64]*Entry{}, health: map[string]HealthRecord{}}
}

// apply changes the state by one record.
func (s *state) apply(r *record) {
	switch r.op {
	case opAccepted, opSnapshotEntry:
		e := r.entry
		e.seq = r.entrySeq
		if old := s.entries[e.ID]; old != nil {
			s.remove(old)
		}
		s.entries[e.ID], s.bySeq[e.seq] = e, e
		s.order = append(s.order, e)
		s.liveSize += requiredSize(e)
		return
	case opHealth:
		s.health[r.host] = HealthRecord{Ejected: r.flag, ChangedAt: r.at}
		return
	case opLegacyList:
		s.liveSize -= s.listSize
		s.list, s.listSize = r.list, max(len(r.list.Text), r.list.Endpoints*endpointReserve)
		s.liveSize += s.listSize
		return
	}
	e := s.bySeq[r.entrySeq]
	if e == nil {
		return
	}
	switch r.op {
	case opAttemptStarted:
		e.Attempts = append(e.Attempts, Attempt{Host: r.host, StartedAt: r.at})
	case opAttemptEnded:
		if n := len(e.Attempts); n > 0 {
			e.Attempts[n-1].Ended, e.Attempts[n-1].NotExecuted = true, r.flag
		}
	case opNotificationPending:
		e.PendingNotification = &Notification{ID: e.ID, Status: r.notification.Status, RetryAfterMS: r.notification.RetryAfterMS}
	case opCompleted:
		s.remove(e)
	}
}

func (s *state) remove(e *Entry) {
	delete(s.entries, e.ID)
	delete(s.bySeq, e.seq)
	s.liveSize -= requiredSize(e)
}

// liveEntries are the messages that are not over, in the order in which they were taken on.
func (s *state) liveEntries() []*Entry {
	return slices.DeleteFunc(slices.Clone(s.order), func(e *Entry) bool { return s.entries[e.ID] != e })
}

// addUncertainAttempt notes that an attempt of a message may be missing: one that may have run, as early as it can have been.
func addUncertainAttempt(e *Entry) {
	if e.PendingNotification == nil {
		e.Attempts = append(e.Attempts, Attempt{StartedAt: e.AcceptedAt, Uncertain: true})
	}
}

func (s *state) addUncertainAttempts() {
	for _, e := range s.entries {
		addUncertainAttempt(e)
	}
}

// inferMissing takes in that records are missing, the last of which has a gist. All of them come after the snapshot, or
// are part of it.
func (s *state) inferMissing(n uint64, gist uint32, inSnapshot bool) (what string) {
	if n == 0 {
		return ""
	}
	o := op(gist >> 24)
	if n > 1 && !inSnapshot {
		s.addUncertainAttempts()
	}
	for ref, e := range s.bySeq {
		if uint32(ref)&0xffffff != gist&0xffffff {
			continue
		}
		switch o {
		case opAttemptStarted:
			if n == 1 {
				addUncertainAttempt(e)
			}
		case opNotificationPending:
			e.PendingNotification = &Notification{ID: e.ID, Status: "undeliverable"}
		case opCompleted:
			s.remove(e)
		}
	}
	return o.String()
}

// scanner reads a file piece by piece.
type scanner struct {
	source  io.Reader
	size    int64
	storage []byte
	buf     []byte // the part of room that was read and not passed over
	offset  int64  // of buf[0] in the file
	err     error
}

// readSize is how much is read at once.
const readSize = 256 << 10

// fill tells whether n bytes are there from the position on, and reads them if need be.
func (w *scanner) fill(n int) bool {
	for len(w.buf) < n && w.err == nil {
		if w.offset+int64(len(w.buf)) >= w.size {
			return false
		}
		if cap(w.buf)-len(w.buf) < readSize {
			if len(w.storage) < n+readSize {
				w.storage = make([]byte, max(2*readSize, n+readSize))
			}
			w.buf = w.storage[:copy(w.storage, w.buf)]
		}
		got, err := w.source.Read(w.buf[len(w.buf):min(cap(w.buf), len(w.buf)+readSize)])
		w.buf = w.buf[:len(w.buf)+got]
		if err == io.EOF {
			w.size = w.offset + int64(len(w.buf))
		} else if err != nil {
			w.err = err
		}
	}
	return len(w.buf) >= n
}

func (w *scanner) advance(n int) {
	w.buf, w.offset = w.buf[n:], w.offset+int64(n)
}

// remaining is how many bytes follow.
func (w *scanner) remaining() int64 { return w.size - w.offset }

// frame gives the record at the position, if one is there whole and its checksum is right.
func (w *scanner) frame() ([]byte, bool) {
	if !w.fill(recordHeaderSize) || binary.LittleEndian.Uint32(w.buf) != recordMarker {
		return nil, false
	}
	n := binary.LittleEndian.Uint32(w.buf[4:])
	if n > maxPayloadSize || int64(n)+recordHeaderSize > w.remaining() || !w.fill(recordHeaderSize+int(n)) {
		return nil, false
	}
	b := w.buf[:recordHeaderSize+int(n)]
	return b, frameChecksum(b) == binary.LittleEndian.Uint32(b[20:])
}

// atTornRecord tells whether what is at the position is the begin of a record whose rest was never written.
func (w *scanner) atTornRecord() bool {
	if !w.fill(recordHeaderSize) {
		return true
	}
	n := binary.LittleEndian.Uint32(w.buf[4:])
	return binary.LittleEndian.Uint32(w.buf) == recordMarker && n <= maxPayloadSize && int64(n)+recordHeaderSize > w.remaining()
}

var markerBytes = binary.LittleEndian.AppendUint32(nil, recordMarker)

// resync moves on to the next good record with a sequence above one, and tells whether there is any.
func (w *scanner) resync(above uint64) bool {
	for w.remaining() >= recordHeaderSize {
		if !w.fill(readSize) && !w.fill(recordHeaderSize) {
			return false
		}
		i := bytes.Index(w.buf[1:], markerBytes)
		if i < 0 {
			w.advance(max(1, len(w.buf)-len(markerBytes)))
			continue
		}
		w.advance(i + 1)
		if b, ok := w.frame(); ok && binary.LittleEndian.Uint64(b[8:]) > above {
			return true
		}
	}
	return false
}

// readHeader reads a segment's header.
func (w *scanner) readHeader(name string) (h header, err error) {
	bad := errors.New("the header can't be read")
	if !w.fill(segmentHeaderSize) || string(w.buf[:8]) != magic {
		return h, bad
	}
	h.format = binary.LittleEndian.Uint32(w.buf[8:])
	n := binary.LittleEndian.Uint32(w.buf[12:])
	if n > maxSegmentHeaderSize || !w.fill(segmentHeaderSize+int(n)+4) {
		return h, bad
	}
	end := segmentHeaderSize + int(n)
	if crc32.Checksum(w.buf[:end], castagnoli) != binary.LittleEndian.Uint32(w.buf[end:]) {
		return h, bad
	}
	if h.format > Format {
		return h, &NewerError{name, h.format}
	}
	in := payloadReader{rest: w.buf[segmentHeaderSize:end]}
	h.segment, h.firstSequence, h.survivesPowerLoss, h.boot, h.relay = in.uvarint(), in.uvarint(), in.boolean(), in.str(), in.str()
	if in.malformed {
		return h, bad
	}
	h.clocks = clock.Pair{At: instant.Time(in.varint()), Wall: clock.Wall(in.varint())}
	if in.malformed { // of a program that wrote none
		h.clocks = clock.Pair{}
	}
	w.advance(end + 4)
	return h, nil
}

// readSegment replays a segment. ok tells whether its snapshot is whole.
func readSegment(from io.Reader, size int64, name string, boot string) (s *state, r *Report, ok bool, err error) {
	s, r = newState(), &Report{File: name, Bytes: size}
	w := &scanner{source: from, size: size}
	h, err := w.readHeader(name)
	if newer := new(NewerError); errors.As(err, &newer) {
		return nil, r, false, err
	}
	r.Format, r.Relay, r.SurvivesPowerLoss, r.Boot, r.segment, r.clocks = Format, h.relay, h.survivesPowerLoss, h.boot, h.segment, h.clocks
	clocks := h.clocks
	if clocks == (clock.Pair{}) {
		clocks = wallClockOnly
	}
	last := h.firstSequence - 1
	if err != nil {
		last = 0
	}
	r.Rebooted = h.boot != "" && boot != "" && h.boot != boot
	known := interner{}
	var count uint64
	var sum uint32
	snapshot := true // its end is still to come
	headless := err != nil
	for w.remaining() > 0 && w.err == nil {
		b, good := w.frame()
		if good {
			good = binary.LittleEndian.Uint64(b[8:]) > last
		}
		if !good {
			at, torn := w.offset, w.atTornRecord()
			if !w.resync(last) {
				rest := size - at
				// Where the machine went on, what was written is there: then only a write that was cut short
				// leaves an unfinished record, and what else can't be read was damaged later.
				if torn || r.Rebooted {
					r.Torn = rest
				} else {
					r.Damage = append(r.Damage, Damage{Offset: at, Length: rest, file: name, LastRecord: "the end"})
					s.addUncertainAttempts()
				}
				break
			}
			b, _ = w.frame()
			r.Damage = append(r.Damage, Damage{Offset: at, Length: w.offset - at, file: name})
		}
		seq := binary.LittleEndian.Uint64(b[8:])
		var rec record
		if err := rec.decodePayload(b[recordHeaderSize:], known, clocks); err != nil { // its checksum is right: this program can't know it
			r.Damage = append(r.Damage, Damage{Offset: w.offset, Length: int64(len(b)), FirstSequence: seq, Missing: 1, LastRecord: err.Error(), file: name})
			s.addUncertainAttempts()
			last = seq
			w.advance(len(b))
			continue
		}
		if gap := seq - last - 1; gap > 0 && !(headless && count == 0) {
			inSnapshot := snapshot && (rec.op == opSnapshotEntry || rec.op == opHealth || rec.op == opLegacyList || rec.op == opSnapshotEnd)
			if n := len(r.Damage); n == 0 || r.Damage[n-1].Offset+r.Damage[n-1].Length != w.offset {
				r.Damage = append(r.Damage, Damage{Offset: w.offset, file: name})
			}
			d := &r.Damage[len(r.Damage)-1]
			d.FirstSequence, d.Missing, d.LastRecord = last+1, gap, s.inferMissing(gap, binary.LittleEndian.Uint32(b[16:]), inSnapshot)
		}
		if rec.op == opSnapshotEnd {
			ok = rec.snapshotRecords == count && rec.snapshotChecksum == sum && !headless
			snapshot = false
		} else {
			s.apply(&rec)
		}
		count++
		sum = addChecksum(sum, binary.LittleEndian.Uint32(b[20:]))
		last = seq
		r.Records++
		w.advance(len(b))
	}
	if w.err != nil {
		return nil, r, false, fmt.Errorf("%s: %w", name, w.err)
	}
	r.LastSequence = last
	if r.Rebooted && !h.survivesPowerLoss || headless {
		s.addUncertainAttempts() // nothing was synced, or nobody knows whether it was: any record may be missing
	}
	return s, r, ok, nil
}

// addChecksum adds a checksum to the sum of a snapshot's checksums.
func addChecksum(sum, next uint32) uint32 { return sum*31 + next }

// loadState finds the newest state in a folder, with its moments on this boot's clock.
func loadState(files FS, dir, boot string, clocks Clocks) (*state, *Report, error) {
	s, r, err := readNewest(files, dir, boot)
	if err != nil {
		return s, r, err
	}
	now := clocks.Now()
	known := r.clocks != (clock.Pair{})
	if known && boot != "" && r.Boot == boot && max(s.latestInstant(), r.clocks.At) <= now {
		return s, r, nil
	}
	scale := r.clocks
	if !known {
		scale = wallClockOnly
	}
	uptime := time.Duration(0)
	if r.Rebooted {
		uptime = clocks.Uptime()
	}
	r.UsedWallClock = r.File != ""
	s.rebase(scale.InstantOf(clocks.Wall()), now, uptime)
	return s, r, nil
}

// readNewest reads the newest state in a folder, with its moments as they were written.
func readNewest(files FS, dir, boot string) (*state, *Report, error) {
	found, err := files.List(dir)
	if err != nil {
		return nil, nil, err
	}
	var segments []uint64
	v1 := false
	for _, name := range found {
		if n, ok := segmentNumber(name); ok {
			segments = append(segments, n)
		}
		v1 = v1 || name == formatV1File
	}
	slices.Sort(segments)
	slices.Reverse(segments)
	var fallback *state
	var with *Report
	var passed []string
	for _, n := range segments {
		s, r, ok, err := readSegmentFile(files, filepath.Join(dir, segmentFileName(n)), boot)
		if err != nil {
			return nil, r, err
		}
		r.segment = n
		if r.SkippedSegments = passed; ok {
			if len(passed) > 0 && !(r.Rebooted && r.SurvivesPowerLoss) {
				s.addUncertainAttempts() // no power loss explains it: the newer segment was whole once
			}
			return s, r, nil
		}
		r.SkippedSegments = nil
		passed = append(passed, segmentFileName(n))
		if fallback == nil {
			fallback, with = s, r
		}
	}
	if v1 {
		s, r, err := readV1File(files, dir)
		if err == nil {
			r.SkippedSegments = passed
			if len(segments) > 0 {
				r.segment = segments[0]
			}
		}
		return s, r, err
	}
	if fallback == nil {
		return newState(), &Report{Format: Format}, nil
	}
	with.Partial = true
	return fallback, with, nil
}

func readSegmentFile(files FS, path, boot string) (*state, *Report, bool, error) {
	f, size, err := files.Open(path)
	if err != nil {
		return nil, nil, false, err
	}
	defer f.Close()
	return readSegment(f, size, filepath.Base(path), boot)
}

// readV1File reads the form of before, which is one file. Records after an unreadable one are lost in it, attempts among
// them.
func readV1File(files FS, dir string) (*state, *Report, error) {
	f, size, err := files.Open(filepath.Join(dir, formatV1File))
	if errors.Is(err, fs.ErrNotExist) {
		return newState(), &Report{Format: Format}, nil
	}
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	raw, err := io.ReadAll(f)
	if err != nil {
		return nil, nil, err
	}
	s, r := newState(), &Report{File: formatV1File, Format: 1, Bytes: size}
	rest, torn := s.replayV1(raw, r)
	if torn {
		r.Torn = int64(rest)
	} else if rest > 0 {
		r.Damage = append(r.Damage, Damage{Offset: size - int64(rest), Length: int64(rest), file: formatV1File, LastRecord: "the end"})
		s.addUncertainAttempts()
	}
	return s, r, nil
}

// readRange reads a part of a file.
func readRange(f io.Reader, offset, length int64) ([]byte, error) {
	if _, err := io.CopyN(io.Discard, f, offset); err != nil {
		return nil, err
	}
	part := make([]byte, length)
	_, err := io.ReadFull(f, part)
	return part, err
}
