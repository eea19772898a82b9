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
	// usableShare of the folder's limit is used: the rest is for whole blocks and for what else lies there.
	usableShare = 0.9
	// laterRecordsReserve is set aside for the later records of each message when it is taken on.
	laterRecordsReserve = 2048
	// endpointReserve is set aside for each host of the list.
	endpointReserve = 256
	// compactionSlack is how far a segment may outgrow twice what is live before the next one is begun.
	compactionSlack = 256 << 10
	// quarantineShare of the limit is for ranges that were set aside.
	quarantineShare = 1.0 / 16
	// recoveryInterval is the least time between tries to begin a segment after one that failed: each writes all that is live.
	recoveryInterval = 250 * time.Millisecond
	// maxReadAttempts bounds how often a folder is read anew whose segments change meanwhile.
	maxReadAttempts = 10
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

	seq uint64
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
	options             Options
	dir                 string
	sizeLimit           int // bytes of the old and the new segment together
	file                File
	segment             uint64
	segmentSize         int // of the segment
	lastSequence        uint64
	previousDigest      uint32 // gist of the last record
	reserved            int    // for messages that may be taken on before the next Commit
	buffered            []byte
	uncommitted         []*Entry   // taken on since the last Commit
	obsolete            []string   // files to remove once the next segment is durable
	writeError          error      // why the segment can't be written on
	clocks              clock.Pair // of the segment
	lastRecoveryAttempt instant.Time
	snapshotBuffer      []byte // room that is used again
}

// Open replays the journal in a folder and begins a new segment. Where that can't be written, the journal is broken,
// as after a failed Commit, but what it holds is there.
func Open(dir string, options Options) (*Journal, *Report, error) {
	if options.Files == nil {
		options.Files = Disk
	}
	if options.Clocks.Now == nil {
		options.Clocks = SystemClocks
		if options.Boot != "" { // a stand-in's boot began whenever it says
			options.Clocks.Uptime = func() time.Duration { return 0 }
		}
	}
	if options.Boot == "" {
		options.Boot = clock.BootID()
	}
	s, r, err := loadState(options.Files, dir, options.Boot, options.Clocks)
	if err != nil {
		return nil, r, fmt.Errorf("journal: %w", err)
	}
	if options.Relay != "" && r.Relay != "" && options.Relay != r.Relay {
		return nil, r, fmt.Errorf("journal: the folder %s is relay %s's, and this is %s", dir, r.Relay, options.Relay)
	}
	j := &Journal{state: s, options: options, dir: dir, sizeLimit: int(usableShare * options.DiskMB * 1e6), segment: r.segment, lastSequence: r.LastSequence}
	if err := j.scanDir(); err != nil {
		return nil, r, fmt.Errorf("journal: %w", err)
	}
	j.quarantine(r)
	if err := j.compact(); err != nil {
		j.markUnwritable(err)
	}
	return j, r, nil
}

// Read gives what the journal in a folder holds, and changes nothing there. What it gives can't be written to.
func Read(dir string) (*Journal, *Report, error) {
	var s *state
	var r *Report
	var err error
	for range maxReadAttempts { // a relay that runs may take a segment away just then
		if s, r, err = loadState(Disk, dir, clock.BootID(), SystemClocks); !errors.Is(err, fs.ErrNotExist) {
			break
		}
	}
	if err != nil {
		return nil, r, fmt.Errorf("journal: %w", err)
	}
	return &Journal{state: s, options: Options{Files: Disk, Clocks: SystemClocks}, dir: dir, writeError: errors.New("opened to be read")}, r, nil
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
func (j *Journal) Entries() []*Entry { return j.liveEntries() }

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
	j.liveSize -= j.listSize
	j.list, j.listSize = LegacyEndpointList{}, 0
	if j.writeError != nil {
		return // the next segment begins without it
	}
	if err := j.compact(); err != nil {
		j.markUnwritable(err)
	}
}

// WriteError tells why nothing can be written, or gives nil.
func (j *Journal) WriteError() error { return j.writeError }

// Reserve tells whether a message may be taken on, and keeps room for it until the next Commit: all that is
// live must fit twice, or no new segment could be begun.
func (j *Journal) Reserve(e *Entry) bool {
	if j.writeError != nil || 2*(j.liveSize+j.reserved+requiredSize(e)) > j.sizeLimit {
		return false
	}
	j.reserved += requiredSize(e)
	return true
}

// requiredSize is the room that an entry takes up, with its later records.
func requiredSize(e *Entry) int { return len(e.Body) + 4*len(e.ID) + len(e.Key) + laterRecordsReserve }

// Accept notes a message taken on.
func (j *Journal) Accept(e *Entry) {
	if e.AcceptedAt.IsZero() {
		e.AcceptedAt = j.options.Clocks.Now()
	}
	j.appendRecord(record{op: opAccepted, entrySeq: j.lastSequence + 1, entry: e})
	j.uncommitted = append(j.uncommitted, e)
}

// StartAttempt notes an attempt; it must be committed before the attempt's first byte goes out.
func (j *Journal) StartAttempt(e *Entry, host string, at instant.Time) {
	j.appendRecord(record{op: opAttemptStarted, entrySeq: e.seq, host: host, at: at})
}

// EndAttempt notes the outcome of a message's last attempt.
func (j *Journal) EndAttempt(e *Entry, notExecuted bool) {
	j.appendRecord(record{op: opAttemptEnded, entrySeq: e.seq, flag: notExecuted})
}

// RecordPendingNotification notes that a message ends by a notice.
func (j *Journal) RecordPendingNotification(e *Entry, n Notification) {
	j.appendRecord(record{op: opNotificationPending, entrySeq: e.seq, notification: n})
}

// Complete notes that nothing more is owed for a message.
func (j *Journal) Complete(e *Entry) { j.appendRecord(record{op: opCompleted, entrySeq: e.seq}) }

// RecordHealth notes what a later process has to know of a host's outage.
func (j *Journal) RecordHealth(host string, h HealthRecord) {
	j.appendRecord(record{op: opHealth, host: host, flag: h.Ejected, at: h.ChangedAt})
}

// DropHealth drops what is remembered of a host that is gone; the files forget with the next segment.
func (j *Journal) DropHealth(host string) { delete(j.health, host) }

// RecordLegacyList notes a list of hosts as programs of before did, for tests and for folders that go back to one.
func (j *Journal) RecordLegacyList(l LegacyEndpointList) {
	j.appendRecord(record{op: opLegacyList, list: l})
}

// appendRecord applies a record and buffers it.
func (j *Journal) appendRecord(r record) {
	j.apply(&r)
	j.lastSequence++
	if j.writeError == nil { // else the next segment begins with all that is live
		j.buffered, _ = appendFramed(j.buffered, &r, j.lastSequence, j.previousDigest, j.clocks)
	}
	j.previousDigest = r.digest()
}

// Commit writes what was noted, and makes it durable. After an error nothing that needs a record may go on; a later
// Commit begins a new segment from what is in memory, at once the first time, and then from time to time.
func (j *Journal) Commit() error {
	j.reserved = 0
	defer func() { j.uncommitted = j.uncommitted[:0] }()
	n := len(j.buffered)
	if n == 0 && j.writeError == nil {
		return nil
	}
	if j.writeError != nil && j.options.Clocks.Now().Sub(j.lastRecoveryAttempt) < recoveryInterval {
		j.buffered = j.buffered[:0]
		return fmt.Errorf("journal: %w", j.writeError)
	}
	var err error
	switch full := j.segmentSize+n+j.liveSize > j.sizeLimit; {
	case j.writeError != nil || full || j.segmentSize+n > 2*j.liveSize+compactionSlack:
		err = j.compact()
	case j.file == nil:
		err = errClosed
	default:
		err = j.writeBuffered(n)
	}
	j.buffered = j.buffered[:0]
	if err != nil && err != errClosed {
		j.markUnwritable(err)
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// writeBuffered writes what was noted to the segment.
func (j *Journal) writeBuffered(n int) error {
	if err := writeAll(j.file, j.buffered); err != nil {
		if cut := j.file.Truncate(int64(j.segmentSize)); cut != nil {
			slog.Warn("journal: what was written in part stays", "err", cut)
		}
		return err
	}
	if j.options.SurvivesPowerLoss {
		if err := j.file.Sync(); err != nil {
			j.revokeUncommitted(j.file)
			return err
		}
	}
	j.segmentSize += n
	return nil
}

// revokeUncommitted takes back the messages that were taken on by a write which is not durable: nobody is told that they were, and a
// process that finds them in the segment after a kill must not deliver them.
func (j *Journal) revokeUncommitted(f File) {
	var b []byte
	for _, e := range j.uncommitted {
		j.lastSequence++
		r := record{op: opCompleted, entrySeq: e.seq}
		b, _ = appendFramed(b, &r, j.lastSequence, j.previousDigest, j.clocks)
		j.previousDigest = r.digest()
	}
	if len(b) == 0 {
		return
	}
	if err := writeAll(f, b); err != nil {
		slog.Warn("journal: messages that were not taken on may stay in a segment", "messages", len(j.uncommitted), "err", err)
	}
}

// Retry begins a new segment where the last one can't be written on, if it is time for that; it tells whether the
// journal can be written to.
func (j *Journal) Retry() bool { return j.writeError == nil || j.Commit() == nil }

// markUnwritable gives a segment up.
func (j *Journal) markUnwritable(err error) {
	if j.writeError == nil {
		slog.Error("journal: nothing is taken on until it can be written", "err", err)
		j.lastRecoveryAttempt = 0 // the reason may be gone with a new file
	} else {
		j.lastRecoveryAttempt = j.options.Clocks.Now()
	}
	j.writeError = err
	j.closeSegment()
}

// closeSegment gives up the present segment, which stays until the next one is durable.
func (j *Journal) closeSegment() {
	if j.file != nil {
		_ = j.file.Close()
		j.file = nil
		j.obsolete = append(j.obsolete, filepath.Join(j.dir, segmentFileName(j.segment)))
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
