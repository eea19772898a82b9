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
	// CompactionStepEntries is the most places of the table that a Step looks at, and so the most entries that it writes.
	CompactionStepEntries = 512
	// bufferSize is how much Append keeps in memory before it writes.
	bufferSize = 64 << 10
	// minLogBytes is the least length of the logs that is worth a compaction.
	minLogBytes = 1 << 20
	// logShare is the part of the snapshot's length, as a divisor, that the logs may have before a compaction.
	logShare = 2
	// budgetShare is the part of the budget, as a divisor, that the logs may have whatever the snapshot leaves.
	budgetShare = 16
	// maxLogs is the number of logs, one for each start, before a compaction.
	maxLogs = 8
	// retryInterval is how long a store waits after a failure before it tries to write again: what it keeps has to be on disk
	// again within 3 s of the trouble's end.
	retryInterval = 2 * time.Second
)

// Store keeps a table on disk: a snapshot, and logs of the changes since. It belongs to the table's owner. Nothing but a
// new snapshot is synced, in a goroutine of its own: a process that is killed loses nothing committed, and after a power
// loss the table may be that of an earlier sequence.
//
// After a failed write the store keeps nothing until Step has made a new snapshot; what is on disk stays as it was. Where
// the budget is too small it is disabled for good.
type Store struct {
	dir        string
	budget     int64
	files      journal.FS
	now        func() time.Time
	background func(func()) // runs what waits for the disk

	stored         []storedFile // snapshots and logs, the current log last
	log            journal.File // nil before its first record
	nextLog        header       // of the log to create, or of the current one
	highestNumber  uint64       // the highest number used
	checksum       uint32       // checksum at the end of the log and the buffer
	buffer         []byte       // records not written yet
	sequence       int64        // of the table
	storedSequence int64        // the last sequence in the log or the buffer

	compaction       *compaction // nil while there is none
	failure          error       // why nothing is kept at present
	retryAt          time.Time
	disabled         error
	disabledReported bool // Commit has given disabled
}

// Open opens the store in a folder, which is made if need be, and gives the table and the sequence that it held. What is
// damaged is left out; where the rest is not a whole list the table is empty, or the sequence is 0, and the whole list
// has to be asked for. The error is of the file system: nothing is changed then, and a later Open may find all that is there.
func Open(dir string, budgetBytes int64) (*Store, *Table, int64, LoadReport, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, 0, LoadReport{}, err
	}
	return OpenFS(dir, budgetBytes, journal.Disk)
}

// Salvage is Open for a folder with files that can't be read at all: these count as damaged, and go.
func Salvage(dir string, budgetBytes int64) (*Store, *Table, int64, LoadReport, error) {
	return SalvageFS(dir, budgetBytes, journal.Disk)
}

// SalvageFS is Salvage in another file system.
func SalvageFS(dir string, budgetBytes int64, fsys journal.FS) (*Store, *Table, int64, LoadReport, error) {
	return openReplay(&replay{dir: dir, fsys: fsys, table: NewTable(), salvage: true}, budgetBytes)
}

// OpenFS is Open in another file system.
func OpenFS(dir string, budgetBytes int64, fsys journal.FS) (*Store, *Table, int64, LoadReport, error) {
	return openReplay(&replay{dir: dir, fsys: fsys, table: NewTable()}, budgetBytes)
}

// openReplay reads a folder and opens its store.
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

// Append records changes that were made to the table: entries put, then hosts deleted. They need not be on disk before
// Commit.
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

// Commit records that the table has all entries up to a sequence, and writes what was appended. A sequence of 0 says that
// the whole list has to be asked for. Without an error a process that starts later finds the sequence, or a later one,
// unless the store is disabled. An error that disables it is given once.
func (s *Store) Commit(seq int64) error {
	s.sequence = seq
	s.commit(seq)
	if s.disabled == nil {
		return s.failure // until a snapshot has made up for what was not written
	}
	if s.disabledReported {
		return nil
	}
	s.disabledReported = true
	return s.disabled
}

// commit writes what a commit takes; a failure stays in failure or disabled.
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

// Disabled tells whether the store has given up, and why: a *BudgetError.
func (s *Store) Disabled() (reason error, disabled bool) { return s.disabled, s.disabled != nil }

// Failure is why nothing is kept at present, though the store tries again; nil if all is well.
func (s *Store) Failure() error { return s.failure }

// Bytes is the size of all files of the store.
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

// Close writes what was appended and closes the files. It waits for a snapshot that is complete, and gives up one that
// is not.
func (s *Store) Close() error {
	err := s.flush()
	if c := s.compaction; c != nil && c.done != nil {
		s.finishCompaction(<-c.done)
	}
	s.abortCompaction()
	return errors.Join(err, s.closeLog())
}

// writable tells whether changes can be kept at present.
func (s *Store) writable() bool {
	return s.disabled == nil && (s.failure == nil || s.compaction != nil && s.compaction.recovery)
}

// flushIfFull writes the buffer once it is long.
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

// prepareLog creates the log if there is none yet.
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

// writeLog writes whole records to the log.
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

// reserve disables the store if it has no room for some more bytes, even without the files that a complete snapshot
// replaces.
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

// failWrite records that a write failed: the log can't be continued.
func (s *Store) failWrite(err error) error {
	s.failure = err
	s.retryAt = s.now().Add(retryInterval)
	s.buffer = nil
	_ = s.closeLog()
	if c := s.compaction; c != nil && c.done == nil {
		s.abortCompaction()
	} else if c != nil {
		c.recovery = false // it is whole, but what comes behind it is not
	}
	return err
}

// disable gives up for good and removes all files.
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

func (s *Store) closeLog() error {
	if s.log == nil {
		return nil
	}
	log := s.log
	s.log = nil
	return log.Close()
}

// removeReplaced removes the files that a snapshot has replaced. One that can't be removed is tried again after the next.
func (s *Store) removeReplaced(number uint64) {
	s.stored = slices.DeleteFunc(s.stored, func(f storedFile) bool {
		return f.number < number && s.files.Remove(filepath.Join(s.dir, f.name)) == nil
	})
}
