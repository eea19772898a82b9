package endpoints

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"milletsail/internal/journal"
)

const (
	// CompactionStepEntries bounds the table slots that a CompactStep examines, and so the entries that it writes.
	CompactionStepEntries = 512
	// bufferSize is how much Append buffers before it writes, in bytes.
	bufferSize = 64 << 10
	// minLogBytes is the minimum size of the logs for a compaction.
	minLogBytes = 1 << 20
	// logShare divides the snapshot's size: the quotient is the size of the logs at which a compaction is due.
	logShare = 2
	// budgetShare divides the budget: the logs may reach the quotient even if the snapshot leaves less headroom.
	budgetShare = 16
	// maxLogs is the number of logs at which a compaction is due. Each start of a process adds one.
	maxLogs = 8
	// retryInterval is the delay between a failed write and the next attempt. The list has to be on disk again within 3 s
	// of the end of a fault.
	retryInterval = 2 * time.Second
)

// Store persists a table as a snapshot and logs of later changes. It belongs to the goroutine that owns the table. Only
// snapshots are synced, in a goroutine of their own: a killed process loses nothing committed, and after a power loss the
// table may be that of an earlier sequence.
//
// After a failed write nothing is persisted until CompactStep has written a new snapshot; the files stay as they were. A
// store whose budget is too small is disabled permanently.
type Store struct {
	dir        string
	budget     int64
	files      journal.FS
	now        func() time.Time
	background func(func()) // runs a function that blocks on the disk

	stored         []storedFile // snapshots and logs, the current log last
	log            journal.File // nil before its first record
	nextLog        header       // of the log to create, or of the current one
	highestNumber  uint64       // the highest number used
	checksum       uint32       // checksum of the last record in the log and the buffer
	buffer         []byte       // records that are not written yet
	sequence       int64        // of the table
	storedSequence int64        // last sequence committed to the log or the buffer

	compaction       *compaction // nil if none is in progress
	failure          error       // why nothing is persisted at present
	retryAt          time.Time
	disabled         error
	disabledReported bool // Commit has returned disabled
}

// Open opens the store in a directory, which is created if it does not exist, and returns the persisted table and sequence.
// Damaged files are skipped; if the rest is not a complete list, the table is empty or the sequence is 0, and a complete list
// has to be requested. An error is one of the file system: then nothing was changed, and a later Open may succeed.
func Open(dir string, budgetBytes int64) (*Store, *Table, int64, LoadReport, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, 0, LoadReport{}, err
	}
	return OpenFS(dir, budgetBytes, journal.Disk)
}

// Salvage is Open for a directory with files that can't be read at all: they count as damaged and are removed.
func Salvage(dir string, budgetBytes int64) (*Store, *Table, int64, LoadReport, error) {
	return SalvageFS(dir, budgetBytes, journal.Disk)
}

// SalvageFS is Salvage for a given file system.
func SalvageFS(dir string, budgetBytes int64, fsys journal.FS) (*Store, *Table, int64, LoadReport, error) {
	return openReplay(&replay{dir: dir, fsys: fsys, table: NewTable(), salvage: true}, budgetBytes)
}

// OpenFS is Open for a given file system.
func OpenFS(dir string, budgetBytes int64, fsys journal.FS) (*Store, *Table, int64, LoadReport, error) {
	return openReplay(&replay{dir: dir, fsys: fsys, table: NewTable()}, budgetBytes)
}

// openReplay replays a directory and opens its store.
func openReplay(r *replay, budgetBytes int64) (*Store, *Table, int64, LoadReport, error) {
	if err := r.run(); err != nil {
		return nil, nil, 0, LoadReport{}, err
	}
	if err := r.removeUnused(); err != nil {
		r.report.Damage = append(r.report.Damage, err)
	}
	s := &Store{dir: r.dir, budget: budgetBytes, files: r.fsys, now: time.Now, background: func(f func()) { go f() },
		stored: r.used, nextLog: r.nextLog(), sequence: r.sequence, storedSequence: r.sequence}
	s.highestNumber = max(r.highestNumber(), s.nextLog.number)
	return s, r.table, r.sequence, r.report, nil
}

// Append records changes of the table: entries put, then hosts deleted. They may be buffered until Commit.
func (s *Store) Append(puts []Entry, deletes []string) {
	if !s.writable() || len(puts)+len(deletes) == 0 || s.prepareLog() != nil {
		return
	}
	for _, e := range puts {
		s.buffer = appendPut(s.buffer, &s.checksum, e)
		if s.flushIfFull() != nil {
			return
		}
	}
	for _, host := range deletes {
		s.buffer = appendDelete(s.buffer, &s.checksum, host)
		if s.flushIfFull() != nil {
			return
		}
	}
}

// Commit records that the table contains all changes up to a sequence, and writes the buffered records. A sequence of 0 says
// that a complete list has to be requested. After a nil error a later process finds this sequence or a later one, unless the
// store is disabled. The error that disables the store is returned once.
func (s *Store) Commit(seq int64) error {
	s.sequence = seq
	s.commit(seq)
	if s.disabled == nil {
		return s.failure // until a snapshot has replaced the log
	}
	if s.disabledReported {
		return nil
	}
	s.disabledReported = true
	return s.disabled
}

// commit writes the buffered records and the sequence. It leaves an error in failure or disabled.
func (s *Store) commit(seq int64) {
	if !s.writable() {
		return
	}
	if seq != s.storedSequence {
		if s.prepareLog() != nil {
			return
		}
		s.buffer = appendNumber(s.buffer, &s.checksum, opCommit, seq)
		s.storedSequence = seq
	}
	_ = s.flush()
}

// Disabled reports whether the store is disabled permanently, and why: the reason wraps a *BudgetError.
func (s *Store) Disabled() (reason error, disabled bool) { return s.disabled, s.disabled != nil }

// Failure returns why nothing is persisted at present, while the store keeps retrying; nil if it does persist.
func (s *Store) Failure() error { return s.failure }

// Bytes returns the size of all files of the store.
func (s *Store) Bytes() int64 {
	var total int64
	for _, f := range s.stored {
		total += f.size
	}
	if s.compaction != nil {
		total += s.compaction.size
	}
	return total
}

// Close writes the buffered records and closes the files. It waits for a complete snapshot to be published, and aborts an
// incomplete one.
func (s *Store) Close() error {
	err := s.flush()
	if c := s.compaction; c != nil && c.done != nil {
		s.finishCompaction(<-c.done)
	}
	s.abortCompaction()
	return errors.Join(err, s.closeLog())
}

// writable reports whether changes can be persisted at present.
func (s *Store) writable() bool {
	return s.disabled == nil && (s.failure == nil || s.compaction != nil && s.compaction.recovery)
}

// flushIfFull writes the buffer once it has reached its size.
func (s *Store) flushIfFull() error {
	if len(s.buffer) < bufferSize {
		return nil
	}
	return s.flush()
}

// flush writes the buffer to the log.
func (s *Store) flush() error {
	if len(s.buffer) == 0 {
		return nil
	}
	text := s.buffer
	s.buffer = s.buffer[:0]
	if err := s.writeLog(text); err != nil {
		return err
	}
	if cap(s.buffer) > 2*bufferSize {
		s.buffer = nil
	}
	return nil
}

// prepareLog creates the log if it does not exist yet.
func (s *Store) prepareLog() error {
	if s.log != nil {
		return nil
	}
	name := fileName(logPrefix, s.nextLog.number)
	log, err := s.files.Create(filepath.Join(s.dir, name))
	if err != nil {
		return s.failWrite(err)
	}
	s.log = log
	s.stored = append(s.stored, storedFile{name: name, kind: kindLog, number: s.nextLog.number})
	text := s.nextLog.encode()
	s.checksum = headerSum(text)
	return s.writeLog(text)
}

// writeLog writes complete records to the log.
func (s *Store) writeLog(text []byte) error {
	if err := s.reserve(len(text)); err != nil {
		return err
	}
	if s.log == nil {
		return s.failure
	}
	n, err := s.log.Write(text)
	s.stored[len(s.stored)-1].size += int64(n)
	if err == nil && n < len(text) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return s.failWrite(err)
	}
	return nil
}

// reserve returns an error, and disables the store, if its budget does not allow some more bytes. It first waits for a
// complete snapshot to replace older files.
func (s *Store) reserve(size int) error {
	if s.disabled != nil {
		return s.disabled
	}
	needed := s.Bytes() + int64(size)
	if needed <= s.budget {
		return nil
	}
	if c := s.compaction; c != nil && c.done != nil {
		s.finishCompaction(<-c.done)
		return s.reserve(size)
	}
	s.disable(&BudgetError{Budget: s.budget, Needed: needed})
	return s.disabled
}

// failWrite records a failed write: the log can't be continued, and a new snapshot has to replace it.
func (s *Store) failWrite(err error) error {
	s.failure = err
	s.retryAt = s.now().Add(retryInterval)
	s.buffer = nil
	_ = s.closeLog()
	if c := s.compaction; c != nil && c.done == nil {
		s.abortCompaction()
	} else if c != nil {
		c.recovery = false // the snapshot is complete, but the log that continues it is not
	}
	return err
}

// disable disables the store permanently and removes its files.
func (s *Store) disable(reason error) {
	s.abortCompaction()
	failures := []error{reason, s.closeLog()}
	for _, f := range s.stored {
		failures = append(failures, s.files.Remove(filepath.Join(s.dir, f.name)))
	}
	s.stored = nil
	s.buffer = nil
	s.failure = nil
	s.disabled = errors.Join(failures...)
}

// closeLog closes the log, if there is one.
func (s *Store) closeLog() error {
	if s.log == nil {
		return nil
	}
	log := s.log
	s.log = nil
	return log.Close()
}

// removeReplaced removes the files that a snapshot has replaced. Files that can't be removed are tried again after the next
// snapshot.
func (s *Store) removeReplaced(number uint64) {
	s.stored = slices.DeleteFunc(s.stored, func(f storedFile) bool {
		return f.number < number && s.files.Remove(filepath.Join(s.dir, f.name)) == nil
	})
}
