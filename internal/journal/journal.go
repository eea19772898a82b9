// Package journal keeps what a relay has taken on in files that outlast its process.
//
// It promises, for whatever Commit has returned without an error:
//   - Durability Process: it outlasts the end of the process in any way, SIGKILL included. After a power loss, which
//     shows by the machine's start, records may be missing: every message then counts as one that may have run.
//   - Durability Power: it outlasts a power loss as well. A sync that failed is never tried again on the same file:
//     what is live goes to a new one, and until that is durable nothing may be taken on.
//
// A start never fails for what the files hold, but for a newer form or another relay's folder. An unfinished record
// at the end is dropped. Damage before good records is set aside, the records behind it are used, and a message whose
// attempts may be missing has one more that may have run, so that it is repeated only as its class permits.
package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"path/filepath"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

const (
	// diskShare of the folder's limit is used: the rest is for whole blocks and for what else lies there.
	diskShare = 0.9
	// attemptsRoom is set aside for the later records of each message when it is taken on.
	attemptsRoom = 2048
	// memberRoom is set aside for each host of the list.
	memberRoom = 256
	// slackSize is how far a segment may outgrow twice what is live before the next one is begun.
	slackSize = 256 << 10
	// damagedShare of the limit is for ranges that were set aside.
	damagedShare = 1.0 / 16
	// tryAgain is the least time between tries to begin a segment after one that failed: each writes all that is live.
	tryAgain = 250 * time.Millisecond
	// readTries bounds how often a folder is read anew whose segments change meanwhile.
	readTries = 10
)

// Entry is a message that was taken on and has not come to its end.
type Entry struct {
	ID                  string
	Class               string
	Dest                int
	Key                 string
	ExpiresAt           instant.Time
	AcceptedAt          instant.Time // set by Take where it is zero
	Body                []byte
	Attempts            []Attempt
	PendingNotification *Notification // its end, until the platform has it

	ref uint64
}

// Attempt is one call made for a message.
type Attempt struct {
	Host        string
	StartedAt   instant.Time
	Ended       bool
	NotExecuted bool // proved never to have run
	Uncertain   bool // no record of it was read, but one may have been lost: Host is empty, Begun the earliest it can have been
}

// Notification tells the platform that a message ended undelivered.
type Notification struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	RetryAfterMS int64  `json:"again_ms,omitempty"`
}

// LegacyEndpointList is a list of hosts in its owner's own form, as programs of before kept it here.
type LegacyEndpointList struct {
	Text      []byte
	Endpoints int // that it names
}

// HealthRecord is what is remembered of a host's outage.
type HealthRecord struct {
	Ejected   bool
	ChangedAt instant.Time
}

// Options are what a journal is opened with.
type Options struct {
	DiskMB            float64 // limit of the folder, in 10^6 bytes
	Relay             string  // whose folder it is; empty for any
	SurvivesPowerLoss bool    // durability: Power; else Process
	Files             FS      // nil for Disk
	Boot              string  // tells one start of the machine from another; empty for the system's own
	Clocks            Clocks  // SystemClocks where Now is nil
}

// Journal is the journal of a running relay. It is not safe for concurrent use.
type Journal struct {
	*state
	o        Options
	dir      string
	limit    int // bytes of the old and the new segment together
	file     File
	segment  uint64
	size     int // of the segment
	seq      uint64
	before   uint32 // gist of the last record
	reserved int    // for messages that may be taken on before the next Commit
	pending  []byte
	fresh    []*Entry   // taken on since the last Commit
	old      []string   // files to remove once the next segment is durable
	broken   error      // why the segment can't be written on
	clocks   clock.Pair // of the segment
	tried    instant.Time
	snapshot []byte // room that is used again
}

// Open replays the journal in a folder and begins a new segment. Where that can't be written, the journal is broken,
// as after a failed Commit, but what it holds is there.
func Open(dir string, o Options) (*Journal, *Report, error) {
	if o.Files == nil {
		o.Files = Disk
	}
	if o.Clocks.Now == nil {
		o.Clocks = SystemClocks
		if o.Boot != "" { // a stand-in's boot began whenever it says
			o.Clocks.Uptime = func() time.Duration { return 0 }
		}
	}
	if o.Boot == "" {
		o.Boot = clock.BootID()
	}
	s, r, err := load(o.Files, dir, o.Boot, o.Clocks)
	if err != nil {
		return nil, r, fmt.Errorf("journal: %w", err)
	}
	if o.Relay != "" && r.Relay != "" && o.Relay != r.Relay {
		return nil, r, fmt.Errorf("journal: the folder %s is relay %s's, and this is %s", dir, r.Relay, o.Relay)
	}
	j := &Journal{state: s, o: o, dir: dir, limit: int(diskShare * o.DiskMB * 1e6), segment: r.segment, seq: r.LastSequence}
	if err := j.clear(); err != nil {
		return nil, r, fmt.Errorf("journal: %w", err)
	}
	j.setAside(r)
	if err := j.begin(); err != nil {
		j.fail(err)
	}
	return j, r, nil
}

// Read gives what the journal in a folder holds, and changes nothing there. What it gives can't be written to.
func Read(dir string) (*Journal, *Report, error) {
	var s *state
	var r *Report
	var err error
	for range readTries { // a relay that runs may take a segment away just then
		if s, r, err = load(Disk, dir, clock.BootID(), SystemClocks); !errors.Is(err, fs.ErrNotExist) {
			break
		}
	}
	if err != nil {
		return nil, r, fmt.Errorf("journal: %w", err)
	}
	return &Journal{state: s, o: Options{Files: Disk, Clocks: SystemClocks}, dir: dir, broken: errors.New("opened to be read")}, r, nil
}

// Close closes the segment. What was not committed is lost.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	err := j.file.Close()
	j.file = nil
	return err
}

// Entries are the messages taken on and not over, in the order in which they were taken on.
func (j *Journal) Entries() []*Entry { return j.all() }

// Get gives a message that is not over, or nil.
func (j *Journal) Get(id string) *Entry { return j.entries[id] }

// Health is what is remembered of hosts.
func (j *Journal) Health() map[string]HealthRecord { return j.health }

// LegacyList is the list of hosts that a program of before kept here; without a text for none.
func (j *Journal) LegacyList() LegacyEndpointList { return j.list }

// DropLegacyList forgets that list, since its owner keeps it elsewhere, and begins a segment without it.
func (j *Journal) DropLegacyList() {
	if j.list.Text == nil {
		return
	}
	j.live -= j.listLen
	j.list, j.listLen = LegacyEndpointList{}, 0
	if j.broken != nil {
		return // the next segment begins without it
	}
	if err := j.begin(); err != nil {
		j.fail(err)
	}
}

// WriteError tells why nothing can be written, or gives nil.
func (j *Journal) WriteError() error { return j.broken }

// Reserve tells whether a message may be taken on, and keeps room for it until the next Commit: all that is
// live must fit twice, or no new segment could be begun.
func (j *Journal) Reserve(e *Entry) bool {
	if j.broken != nil || 2*(j.live+j.reserved+need(e)) > j.limit {
		return false
	}
	j.reserved += need(e)
	return true
}

// need is the room that an entry takes up, with its later records.
func need(e *Entry) int { return len(e.Body) + 4*len(e.ID) + len(e.Key) + attemptsRoom }

// Accept notes a message taken on.
func (j *Journal) Accept(e *Entry) {
	if e.AcceptedAt.IsZero() {
		e.AcceptedAt = j.o.Clocks.Now()
	}
	j.note(record{op: opTaken, ref: j.seq + 1, entry: e})
	j.fresh = append(j.fresh, e)
}

// StartAttempt notes an attempt; it must be committed before the attempt's first byte goes out.
func (j *Journal) StartAttempt(e *Entry, host string, at instant.Time) {
	j.note(record{op: opBegun, ref: e.ref, host: host, at: at})
}

// EndAttempt notes the outcome of a message's last attempt.
func (j *Journal) EndAttempt(e *Entry, unrun bool) {
	j.note(record{op: opEnded, ref: e.ref, flag: unrun})
}

// RecordPendingNotification notes that a message ends by a notice.
func (j *Journal) RecordPendingNotification(e *Entry, n Notification) {
	j.note(record{op: opOwed, ref: e.ref, notice: n})
}

// Complete notes that nothing more is owed for a message.
func (j *Journal) Complete(e *Entry) { j.note(record{op: opOver, ref: e.ref}) }

// RecordHealth notes what a later process has to know of a host's outage.
func (j *Journal) RecordHealth(host string, h HealthRecord) {
	j.note(record{op: opHealth, host: host, flag: h.Ejected, at: h.ChangedAt})
}

// DropHealth drops what is remembered of a host that is gone; the files forget with the next segment.
func (j *Journal) DropHealth(host string) { delete(j.health, host) }

// RecordLegacyList notes a list of hosts as programs of before did, for tests and for folders that go back to one.
func (j *Journal) RecordLegacyList(l LegacyEndpointList) { j.note(record{op: opList, list: l}) }

// note applies a record and buffers it.
func (j *Journal) note(r record) {
	j.apply(&r)
	j.seq++
	if j.broken == nil { // else the next segment begins with all that is live
		j.pending, _ = frame(j.pending, &r, j.seq, j.before, j.clocks)
	}
	j.before = r.gist()
}

// Commit writes what was noted, and makes it durable. After an error nothing that needs a record may go on; a later
// Commit begins a new segment from what is in memory, at once the first time, and then from time to time.
func (j *Journal) Commit() error {
	j.reserved = 0
	defer func() { j.fresh = j.fresh[:0] }()
	n := len(j.pending)
	if n == 0 && j.broken == nil {
		return nil
	}
	if j.broken != nil && j.o.Clocks.Now().Sub(j.tried) < tryAgain {
		j.pending = j.pending[:0]
		return fmt.Errorf("journal: %w", j.broken)
	}
	var err error
	switch full := j.size+n+j.live > j.limit; {
	case j.broken != nil || full || j.size+n > 2*j.live+slackSize:
		err = j.begin()
	case j.file == nil:
		err = errClosed
	default:
		err = j.append(n)
	}
	j.pending = j.pending[:0]
	if err != nil && err != errClosed {
		j.fail(err)
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// append writes what was noted to the segment.
func (j *Journal) append(n int) error {
	if err := writeAll(j.file, j.pending); err != nil {
		if cut := j.file.Truncate(int64(j.size)); cut != nil {
			slog.Warn("journal: what was written in part stays", "err", cut)
		}
		return err
	}
	if j.o.SurvivesPowerLoss {
		if err := j.file.Sync(); err != nil {
			j.undo(j.file)
			return err
		}
	}
	j.size += n
	return nil
}

// undo takes back the messages that were taken on by a write which is not durable: nobody is told that they were, and a
// process that finds them in the segment after a kill must not deliver them.
func (j *Journal) undo(f File) {
	var b []byte
	for _, e := range j.fresh {
		j.seq++
		r := record{op: opOver, ref: e.ref}
		b, _ = frame(b, &r, j.seq, j.before, j.clocks)
		j.before = r.gist()
	}
	if len(b) == 0 {
		return
	}
	if err := writeAll(f, b); err != nil {
		slog.Warn("journal: messages that were not taken on may stay in a segment", "messages", len(j.fresh), "err", err)
	}
}

// Retry begins a new segment where the last one can't be written on, if it is time for that; it tells whether the
// journal can be written to.
func (j *Journal) Retry() bool { return j.broken == nil || j.Commit() == nil }

// fail gives a segment up.
func (j *Journal) fail(err error) {
	if j.broken == nil {
		slog.Error("journal: nothing is taken on until it can be written", "err", err)
		j.tried = 0 // the reason may be gone with a new file
	} else {
		j.tried = j.o.Clocks.Now()
	}
	j.broken = err
	j.leave()
}

// leave gives up the present segment, which stays until the next one is durable.
func (j *Journal) leave() {
	if j.file != nil {
		_ = j.file.Close()
		j.file = nil
		j.old = append(j.old, filepath.Join(j.dir, segmentFile(j.segment)))
	}
}

var errClosed = errors.New("closed")

// writeAll writes b; a short write is an error.
func writeAll(f File, b []byte) error {
	n, err := f.Write(b)
	if err == nil && n < len(b) {
		err = fmt.Errorf("%d of %d bytes written", n, len(b))
	}
	return err
}
