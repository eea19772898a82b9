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
	entries map[string]*Entry
	byRef   map[uint64]*Entry
	order   []*Entry // as taken; those that are over leave at the next compaction
	health  map[string]HealthRecord
	list    LegacyEndpointList
	live    int // bytes that the entries and the list need, with room for later records
	listLen int
}

func newState() *state {
	return &state{entries: map[string]*Entry{}, byRef: map[uint64]*Entry{}, health: map[string]HealthRecord{}}
}

// apply changes the state by one record.
func (s *state) apply(r *record) {
	switch r.op {
	case opTaken, opKept:
		e := r.entry
		e.ref = r.ref
		if old := s.entries[e.ID]; old != nil {
			s.over(old)
		}
		s.entries[e.ID], s.byRef[e.ref] = e, e
		s.order = append(s.order, e)
		s.live += need(e)
		return
	case opHealth:
		s.health[r.host] = HealthRecord{Ejected: r.flag, ChangedAt: r.at}
		return
	case opList:
		s.live -= s.listLen
		s.list, s.listLen = r.list, max(len(r.list.Text), r.list.Endpoints*memberRoom)
		s.live += s.listLen
		return
	}
	e := s.byRef[r.ref]
	if e == nil {
		return
	}
	switch r.op {
	case opBegun:
		e.Attempts = append(e.Attempts, Attempt{Host: r.host, StartedAt: r.at})
	case opEnded:
		if n := len(e.Attempts); n > 0 {
			e.Attempts[n-1].Ended, e.Attempts[n-1].NotExecuted = true, r.flag
		}
	case opOwed:
		e.PendingNotification = &Notification{ID: e.ID, Status: r.notice.Status, RetryAfterMS: r.notice.RetryAfterMS}
	case opOver:
		s.over(e)
	}
}

func (s *state) over(e *Entry) {
	delete(s.entries, e.ID)
	delete(s.byRef, e.ref)
	s.live -= need(e)
}

// all are the messages that are not over, in the order in which they were taken on.
func (s *state) all() []*Entry {
	return slices.DeleteFunc(slices.Clone(s.order), func(e *Entry) bool { return s.entries[e.ID] != e })
}

// doubt notes that an attempt of a message may be missing: one that may have run, as early as it can have been.
func doubt(e *Entry) {
	if e.PendingNotification == nil {
		e.Attempts = append(e.Attempts, Attempt{StartedAt: e.AcceptedAt, Uncertain: true})
	}
}

func (s *state) doubtAll() {
	for _, e := range s.entries {
		doubt(e)
	}
}

// missing takes in that records are missing, the last of which has a gist. All of them come after the snapshot, or
// are part of it.
func (s *state) missing(n uint64, gist uint32, inSnapshot bool) (what string) {
	if n == 0 {
		return ""
	}
	o := op(gist >> 24)
	if n > 1 && !inSnapshot {
		s.doubtAll()
	}
	for ref, e := range s.byRef {
		if uint32(ref)&0xffffff != gist&0xffffff {
			continue
		}
		switch o {
		case opBegun:
			if n == 1 {
				doubt(e)
			}
		case opOwed:
			e.PendingNotification = &Notification{ID: e.ID, Status: "undeliverable"}
		case opOver:
			s.over(e)
		}
	}
	return o.String()
}

// window reads a file piece by piece.
type window struct {
	from io.Reader
	size int64
	room []byte
	buf  []byte // the part of room that was read and not passed over
	pos  int64  // of buf[0] in the file
	err  error
}

// readSize is how much is read at once.
const readSize = 256 << 10

// have tells whether n bytes are there from the position on, and reads them if need be.
func (w *window) have(n int) bool {
	for len(w.buf) < n && w.err == nil {
		if w.pos+int64(len(w.buf)) >= w.size {
			return false
		}
		if cap(w.buf)-len(w.buf) < readSize {
			if len(w.room) < n+readSize {
				w.room = make([]byte, max(2*readSize, n+readSize))
			}
			w.buf = w.room[:copy(w.room, w.buf)]
		}
		got, err := w.from.Read(w.buf[len(w.buf):min(cap(w.buf), len(w.buf)+readSize)])
		w.buf = w.buf[:len(w.buf)+got]
		if err == io.EOF {
			w.size = w.pos + int64(len(w.buf))
		} else if err != nil {
			w.err = err
		}
	}
	return len(w.buf) >= n
}

func (w *window) skip(n int) {
	w.buf, w.pos = w.buf[n:], w.pos+int64(n)
}

// left is how many bytes follow.
func (w *window) left() int64 { return w.size - w.pos }

// framed gives the record at the position, if one is there whole and its checksum is right.
func (w *window) framed() ([]byte, bool) {
	if !w.have(recordHead) || binary.LittleEndian.Uint32(w.buf) != marker {
		return nil, false
	}
	n := binary.LittleEndian.Uint32(w.buf[4:])
	if n > maxRecord || int64(n)+recordHead > w.left() || !w.have(recordHead+int(n)) {
		return nil, false
	}
	b := w.buf[:recordHead+int(n)]
	return b, checksum(b) == binary.LittleEndian.Uint32(b[20:])
}

// unfinished tells whether what is at the position is the begin of a record whose rest was never written.
func (w *window) unfinished() bool {
	if !w.have(recordHead) {
		return true
	}
	n := binary.LittleEndian.Uint32(w.buf[4:])
	return binary.LittleEndian.Uint32(w.buf) == marker && n <= maxRecord && int64(n)+recordHead > w.left()
}

var markerBytes = binary.LittleEndian.AppendUint32(nil, marker)

// next moves on to the next good record with a sequence above one, and tells whether there is any.
func (w *window) next(above uint64) bool {
	for w.left() >= recordHead {
		if !w.have(readSize) && !w.have(recordHead) {
			return false
		}
		i := bytes.Index(w.buf[1:], markerBytes)
		if i < 0 {
			w.skip(max(1, len(w.buf)-len(markerBytes)))
			continue
		}
		w.skip(i + 1)
		if b, ok := w.framed(); ok && binary.LittleEndian.Uint64(b[8:]) > above {
			return true
		}
	}
	return false
}

// readHeader reads a segment's header.
func (w *window) readHeader(name string) (h header, err error) {
	bad := errors.New("the header can't be read")
	if !w.have(headerHead) || string(w.buf[:8]) != magic {
		return h, bad
	}
	h.format = binary.LittleEndian.Uint32(w.buf[8:])
	n := binary.LittleEndian.Uint32(w.buf[12:])
	if n > maxHeader || !w.have(headerHead+int(n)+4) {
		return h, bad
	}
	end := headerHead + int(n)
	if crc32.Checksum(w.buf[:end], castagnoli) != binary.LittleEndian.Uint32(w.buf[end:]) {
		return h, bad
	}
	if h.format > Format {
		return h, &NewerError{name, h.format}
	}
	in := input{b: w.buf[headerHead:end]}
	h.segment, h.first, h.power, h.boot, h.relay = in.num(), in.num(), in.flag(), in.text(), in.text()
	if in.bad {
		return h, bad
	}
	h.clocks = clock.Pair{At: instant.Time(in.signed()), Wall: clock.Wall(in.signed())}
	if in.bad { // of a program that wrote none
		h.clocks = clock.Pair{}
	}
	w.skip(end + 4)
	return h, nil
}

// readSegment replays a segment. ok tells whether its snapshot is whole.
func readSegment(from io.Reader, size int64, name string, boot string) (s *state, r *Report, ok bool, err error) {
	s, r = newState(), &Report{File: name, Bytes: size}
	w := &window{from: from, size: size}
	h, err := w.readHeader(name)
	if newer := new(NewerError); errors.As(err, &newer) {
		return nil, r, false, err
	}
	r.Format, r.Relay, r.SurvivesPowerLoss, r.Boot, r.segment, r.clocks = Format, h.relay, h.power, h.boot, h.segment, h.clocks
	clocks := h.clocks
	if clocks == (clock.Pair{}) {
		clocks = unknownPair
	}
	last := h.first - 1
	if err != nil {
		last = 0
	}
	r.Rebooted = h.boot != "" && boot != "" && h.boot != boot
	known := names{}
	var count uint64
	var sum uint32
	snapshot := true // its end is still to come
	headless := err != nil
	for w.left() > 0 && w.err == nil {
		b, good := w.framed()
		if good {
			good = binary.LittleEndian.Uint64(b[8:]) > last
		}
		if !good {
			at, torn := w.pos, w.unfinished()
			if !w.next(last) {
				rest := size - at
				// Where the machine went on, what was written is there: then only a write that was cut short
				// leaves an unfinished record, and what else can't be read was damaged later.
				if torn || r.Rebooted {
					r.Torn = rest
				} else {
					r.Damage = append(r.Damage, Damage{Offset: at, Length: rest, file: name, LastRecord: "the end"})
					s.doubtAll()
				}
				break
			}
			b, _ = w.framed()
			r.Damage = append(r.Damage, Damage{Offset: at, Length: w.pos - at, file: name})
		}
		seq := binary.LittleEndian.Uint64(b[8:])
		var rec record
		if err := rec.parse(b[recordHead:], known, clocks); err != nil { // its checksum is right: this program can't know it
			r.Damage = append(r.Damage, Damage{Offset: w.pos, Length: int64(len(b)), FirstSequence: seq, Missing: 1, LastRecord: err.Error(), file: name})
			s.doubtAll()
			last = seq
			w.skip(len(b))
			continue
		}
		if gap := seq - last - 1; gap > 0 && !(headless && count == 0) {
			inSnapshot := snapshot && (rec.op == opKept || rec.op == opHealth || rec.op == opList || rec.op == opSnapshot)
			if n := len(r.Damage); n == 0 || r.Damage[n-1].Offset+r.Damage[n-1].Length != w.pos {
				r.Damage = append(r.Damage, Damage{Offset: w.pos, file: name})
			}
			d := &r.Damage[len(r.Damage)-1]
			d.FirstSequence, d.Missing, d.LastRecord = last+1, gap, s.missing(gap, binary.LittleEndian.Uint32(b[16:]), inSnapshot)
		}
		if rec.op == opSnapshot {
			ok = rec.count == count && rec.sum == sum && !headless
			snapshot = false
		} else {
			s.apply(&rec)
		}
		count++
		sum = mix(sum, binary.LittleEndian.Uint32(b[20:]))
		last = seq
		r.Records++
		w.skip(len(b))
	}
	if w.err != nil {
		return nil, r, false, fmt.Errorf("%s: %w", name, w.err)
	}
	r.LastSequence = last
	if r.Rebooted && !h.power || headless {
		s.doubtAll() // nothing was synced, or nobody knows whether it was: any record may be missing
	}
	return s, r, ok, nil
}

// mix adds a checksum to the sum of a snapshot's checksums.
func mix(sum, next uint32) uint32 { return sum*31 + next }

// load finds the newest state in a folder, with its moments on this boot's clock.
func load(files FS, dir, boot string, clocks Clocks) (*state, *Report, error) {
	s, r, err := newest(files, dir, boot)
	if err != nil {
		return s, r, err
	}
	now := clocks.Now()
	known := r.clocks != (clock.Pair{})
	if known && boot != "" && r.Boot == boot && max(s.latest(), r.clocks.At) <= now {
		return s, r, nil
	}
	scale := r.clocks
	if !known {
		scale = unknownPair
	}
	uptime := time.Duration(0)
	if r.Rebooted {
		uptime = clocks.Uptime()
	}
	r.UsedWallClock = r.File != ""
	s.rebase(scale.InstantOf(clocks.Wall()), now, uptime)
	return s, r, nil
}

// newest reads the newest state in a folder, with its moments as they were written.
func newest(files FS, dir, boot string) (*state, *Report, error) {
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
		v1 = v1 || name == v1Name
	}
	slices.Sort(segments)
	slices.Reverse(segments)
	var fallback *state
	var with *Report
	var passed []string
	for _, n := range segments {
		s, r, ok, err := readFile(files, filepath.Join(dir, segmentFile(n)), boot)
		if err != nil {
			return nil, r, err
		}
		r.segment = n
		if r.SkippedSegments = passed; ok {
			if len(passed) > 0 && !(r.Rebooted && r.SurvivesPowerLoss) {
				s.doubtAll() // no power loss explains it: the newer segment was whole once
			}
			return s, r, nil
		}
		r.SkippedSegments = nil
		passed = append(passed, segmentFile(n))
		if fallback == nil {
			fallback, with = s, r
		}
	}
	if v1 {
		s, r, err := loadV1(files, dir)
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

func readFile(files FS, path, boot string) (*state, *Report, bool, error) {
	f, size, err := files.Open(path)
	if err != nil {
		return nil, nil, false, err
	}
	defer f.Close()
	return readSegment(f, size, filepath.Base(path), boot)
}

// loadV1 reads the form of before, which is one file. Records after an unreadable one are lost in it, attempts among
// them.
func loadV1(files FS, dir string) (*state, *Report, error) {
	f, size, err := files.Open(filepath.Join(dir, v1Name))
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
	s, r := newState(), &Report{File: v1Name, Format: 1, Bytes: size}
	rest, torn := s.replayV1(raw, r)
	if torn {
		r.Torn = int64(rest)
	} else if rest > 0 {
		r.Damage = append(r.Damage, Damage{Offset: size - int64(rest), Length: int64(rest), file: v1Name, LastRecord: "the end"})
		s.doubtAll()
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
