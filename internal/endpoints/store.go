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
	// CompactionStepEntries is the maximum number of table slots that one CompactStep examines, and thus of entries it writes.
	CompactionStepEntries = 512
	// bufferSize is the amount of buffered records at which Append writes them to the log, in bytes.
	bufferSize = 64 << 10
	// minLogBytes is the total size of the logs below which their size triggers no compaction, in bytes, unless the budget
	// requires one earlier.
	minLogBytes = 1 << 20
	// logSizeDivisor sets the size of the logs at which a compaction is due: the size of the snapshot divided by this number.
	logSizeDivisor = 2
	// budgetDivisor sets the size that the logs may reach even if the snapshot leaves less headroom: the budget divided by this
	// number.
	budgetDivisor = 16
	// maxLogs is the number of logs above which a compaction is due. Each start of the process adds a log.
	maxLogs = 8
	// retryInterval is the delay between a failed write and the next attempt. It is below 3 s because the list has to be on disk
	// again within 3 s of the end of a fault.
	retryInterval = 2 * time.Second
)

// Store persists a table as a snapshot and logs of later changes. Only the goroutine that owns the table may use it. Only
// snapshots are synced to disk, in a goroutine of their own: if the process is killed, no committed change is lost; after a
// power loss, the restored table may be that of an earlier sequence.
//
// After a failed write nothing is persisted until CompactStep has written a new snapshot; until then the existing files are
// kept. A store whose budget is too small is disabled permanently and its files are removed.
type Store struct {
	dir        string
	budget     int64
	files      journal.FS
	now        func() time.Time
	background func(func()) // runs a function that waits for the disk; starts a goroutine except in tests

	stored         []storedFile // snapshots and logs on disk; the current log, if it exists, is last
	log            journal.File // the current log; nil until it is created for its first record
	nextLog        header       // header of the current log, or of the next log to create if log is nil
	highestNumber  uint64       // highest file number in use
	checksum       uint32       // checksum of the last record appended to the log or the buffer
	buffer         []byte       // records that are not written yet
	sequence       int64        // sequence of the table, as last passed to Commit
	storedSequence int64        // last sequence appended to the log or the buffer

	compaction       *compaction // the compaction in progress; nil if there is none
	failure          error       // write error because of which nothing is persisted at present; nil if changes are persisted
	retryAt          time.Time   // earliest time of the next compaction after a failure
	disabled         error       // reason why the store is disabled permanently; nil if it is not
	disabledReported bool        // Commit has returned disabled once
}

// Open opens the store in a directory, which it creates if necessary, and returns the persisted table and its sequence. Damaged
// files are skipped; if the remaining files do not form a complete list, the table is empty or the sequence is 0, and a complete
// list has to be requested. Open returns only errors of the file system; it has then changed no file, and a later Open may
// succeed.
func Open(dir string, budgetBytes int64) (*Store, *Table, int64, LoadReport, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, 0, LoadReport{}, err
	}
	return OpenFS(dir, budgetBytes, journal.Disk)
}

// Salvage is like Open, but treats files that the file system can't read as damaged and removes them instead of returning an
// error.
func Salvage(dir string, budgetBytes int64) (*Store, *Table, int64, LoadReport, error) {
	return SalvageFS(dir, budgetBytes, journal.Disk)
}

// SalvageFS is like Salvage, but uses the given file system and does not create the directory.
func SalvageFS(dir string, budgetBytes int64, fsys journal.FS) (*Store, *Table, int64, LoadReport, error) {
	return openReplay(&replay{dir: dir, fsys: fsys, table: NewTable(), salvage: true}, budgetBytes)
}

// OpenFS is like Open, but uses the given file system and does not create the directory.
func OpenFS(dir string, budgetBytes int64, fsys journal.FS) (*Store, *Table, int64, LoadReport, error) {
	return openReplay(&replay{dir: dir, fsys: fsys, table: NewTable()}, budgetBytes)
}

// openReplay runs a replay, removes unused files, and returns a store that continues the replayed files.
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

// Append logs changes that were made to the table: first the entries put, then the hosts deleted. The records may be buffered
// until Commit, which also returns an error that occurs here.
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

// Commit logs that the table contains all changes up to a sequence, and writes the buffered records. A sequence of 0 means that
// a complete list has to be requested. If Commit returns nil and the store is not disabled, a restarted process finds this
// sequence or a later one. The error that disables the store is returned only once.
func (s *Store) Commit(seq int64) error {
	s.sequence = seq
	s.commit(seq)
	if s.disabled == nil {
		return s.failure // set until a new snapshot has replaced the log whose write failed
	}
	if s.disabledReported {
		return nil
	}
	s.disabledReported = true
	return s.disabled
}

// commit writes the buffered records and the sequence to the log. It stores an error in failure or disabled.
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

// Disabled reports whether the store is disabled permanently. The reason then wraps a *BudgetError.
func (s *Store) Disabled() (reason error, disabled bool) { return s.disabled, s.disabled != nil }

// Failure returns the error because of which nothing is persisted at present while the store keeps retrying. It returns nil if
// there is no such error.
func (s *Store) Failure() error { return s.failure }

// Bytes returns the total size of the store's files, including a snapshot in progress.
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

// Close writes the buffered records and closes the files. It waits for the publication of a completely written snapshot, and
// discards a snapshot that is not completely written.
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

// flushIfFull writes the buffer to the log if it has reached bufferSize.
func (s *Store) flushIfFull() error {
	if len(s.buffer) < bufferSize {
		return nil
	}
	return s.flush()
}

// flush writes the buffer to the log, and frees a buffer that has grown beyond twice bufferSize.
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

// prepareLog creates the current log and writes its header, if the log does not exist yet.
func (s *Store) prepareLog() error {
	if s.log != nil {
		return nil
	}
	name := fileName(logPrefix, s.nextLog.number)
	log, err := s.files.Create(filepath.Join(s.dir, name))
	if err != nil {
		return s.recordWriteFailure(err)
	}
	s.log = log
	s.stored = append(s.stored, storedFile{name: name, kind: kindLog, number: s.nextLog.number})
	text := s.nextLog.encode()
	s.checksum = headerSum(text)
	return s.writeLog(text)
}

// writeLog writes a header or complete records to the current log.
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
		return s.recordWriteFailure(err)
	}
	return nil
}

// reserve checks that the budget allows size more bytes. If it does not, reserve waits for the publication of a completely
// written snapshot, which replaces older files; if the space is still insufficient, it disables the store and returns the error.
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

// recordWriteFailure sets failure after a failed write and closes the log. The log can't be continued; a new snapshot has to
// replace it.
func (s *Store) recordWriteFailure(err error) error {
	s.failure = err
	s.retryAt = s.now().Add(retryInterval)
	s.buffer = nil
	_ = s.closeLog()
	if c := s.compaction; c != nil && c.done == nil {
		s.abortCompaction()
	} else if c != nil {
		c.recovery = false // publishing the snapshot must not clear failure: the log that continues it lacks records
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

// removeReplaced removes the files that the snapshot with the given number replaces: those with lower numbers. Removal of a file
// that can't be removed is retried after the next snapshot.
func (s *Store) removeReplaced(number uint64) {
	s.stored = slices.DeleteFunc(s.stored, func(f storedFile) bool {
		return f.number < number && s.files.Remove(filepath.Join(s.dir, f.name)) == nil
	})
}
