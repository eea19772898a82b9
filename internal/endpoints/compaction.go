package endpoints

import (
	"errors"
	"io"
	"path/filepath"

	"milletsail/internal/journal"
)

// compaction is the state of a snapshot that is being written. The table may change between the steps; those changes are
// appended to the log with the same number. Replaying the snapshot and then the whole log restores the table, whichever of the
// changes the snapshot contains, because puts and deletes are idempotent.
type compaction struct {
	number   uint64
	file     journal.File
	size     int64
	checksum uint32     // checksum of the last encoded record, or of the header
	nextSlot int        // next table slot to write
	entries  int64      // number of entries encoded so far
	recovery bool       // the snapshot replaces a log whose write failed; its publication clears Store.failure
	buffer   []byte     // encoded bytes that are not written yet
	done     chan error // receives the result of publishSnapshot; nil until all entries are written
}

// CompactStep performs a bounded part of a compaction, or starts one if it is due. It reports whether the caller should call it
// again for the current compaction; it returns false while the snapshot is being synced. The caller must have passed all
// changes of the table to Append.
func (s *Store) CompactStep(t *Table) (more bool) {
	c := s.compaction
	switch {
	case s.disabled != nil:
	case c == nil && s.compactionDue():
		s.startCompaction()
	case c == nil:
	case c.done == nil:
		s.writeSnapshotEntries(t)
	default:
		select {
		case err := <-c.done:
			s.finishCompaction(err)
		default:
			return false
		}
	}
	return s.compaction != nil
}

// Compacting reports whether a compaction is in progress, which includes the sync of its snapshot.
func (s *Store) Compacting() bool { return s.compaction != nil }

// compactionDue reports whether a compaction should start: to recover from a failed write, or because the logs are too large or
// too many.
func (s *Store) compactionDue() bool {
	if s.now().Before(s.retryAt) {
		return false
	}
	if s.failure != nil {
		return true
	}
	var snapshot, logBytes int64
	logs := 0
	for _, f := range s.stored {
		if f.kind == kindSnapshot {
			snapshot += f.size
			continue
		}
		logs++
		logBytes += f.size
	}
	return logBytes >= s.compactionThreshold(snapshot) || logs > maxLogs
}

// compactionThreshold returns the total size of the logs, in bytes, at which a compaction is due, given the size of the current
// snapshot. It is reached early enough that, where possible, the next snapshot and the logs written during the compaction still
// fit into the disk budget.
func (s *Store) compactionThreshold(snapshot int64) int64 {
	headroom := s.budget - 2*snapshot
	return min(max(minLogBytes, snapshot/logSizeDivisor), max(headroom/2, s.budget/budgetDivisor))
}

// startCompaction starts a snapshot and switches to a new log with the same number.
func (s *Store) startCompaction() {
	isRecovery := s.failure != nil
	next := header{kind: kindLog}
	if !isRecovery {
		// Until the snapshot is published, a replay uses the previous snapshot and all logs, so the new log continues the old one.
		if s.prepareLog() != nil || s.flush() != nil {
			return
		}
		next.previous = s.nextLog.number
		next.sum = s.checksum
	}
	_ = s.closeLog()
	s.highestNumber++
	next.number = s.highestNumber
	s.nextLog = next
	s.storedSequence = s.sequence
	s.compaction = &compaction{number: next.number, recovery: isRecovery}
	s.createSnapshot()
}

// createSnapshot creates the snapshot file under its temporary name and encodes its header.
func (s *Store) createSnapshot() {
	c := s.compaction
	file, err := s.files.Create(s.unfinishedSnapshotPath(c))
	if err != nil {
		s.failCompaction(err)
		return
	}
	c.file = file
	h := header{kind: kindSnapshot, number: c.number, seq: s.sequence}
	c.buffer = h.encode()
	c.checksum = headerSum(c.buffer)
}

// writeSnapshotEntries writes the entries of the next CompactionStepEntries table slots to the snapshot, and starts its
// publication after the last one.
func (s *Store) writeSnapshotEntries(t *Table) {
	c := s.compaction
	entries, next, done := t.All(c.nextSlot, CompactionStepEntries)
	for e := range entries {
		c.buffer = appendPut(c.buffer, &c.checksum, e)
		c.entries++
	}
	c.nextSlot = next
	if done {
		c.buffer = appendNumber(c.buffer, &c.checksum, opEnd, c.entries)
	}
	if s.reserve(len(c.buffer)) != nil {
		return
	}
	n, err := c.file.Write(c.buffer)
	c.size += int64(n)
	if err == nil && n < len(c.buffer) {
		err = io.ErrShortWrite
	}
	c.buffer = c.buffer[:0]
	if err != nil {
		s.failCompaction(err)
		return
	}
	if done {
		s.publishSnapshot(c)
	}
}

// publishSnapshot syncs a complete snapshot and renames it to its final name. It does so in the background, which sends the
// result to c.done.
func (s *Store) publishSnapshot(c *compaction) {
	c.done = make(chan error, 1)
	fsys, dir, from, to := s.files, s.dir, s.unfinishedSnapshotPath(c), s.snapshotPath(c)
	s.background(func() {
		if err := errors.Join(c.file.Sync(), c.file.Close()); err != nil {
			c.done <- err
			return
		}
		if err := fsys.Rename(from, to); err != nil {
			c.done <- err
			return
		}
		c.done <- fsys.SyncDir(dir)
	})
}

// finishCompaction ends a compaction. err is the result of publishing its snapshot; if it is nil, the files that the snapshot
// replaces are removed.
func (s *Store) finishCompaction(err error) {
	c := s.compaction
	if err != nil {
		s.failCompaction(err)
		return
	}
	s.compaction = nil
	snapshot := storedFile{name: fileName(snapshotPrefix, c.number), kind: kindSnapshot, number: c.number, size: c.size}
	s.stored = append([]storedFile{snapshot}, s.stored...)
	s.removeReplaced(c.number)
	if c.recovery {
		s.failure = nil
	}
}

// failCompaction aborts a compaction after an error and delays the next one by retryInterval. The store keeps appending to the
// current log, unless the compaction was a recovery: then nothing is persisted until another recovery succeeds.
func (s *Store) failCompaction(err error) {
	isRecovery := s.compaction.recovery
	s.abortCompaction()
	if isRecovery {
		_ = s.recordWriteFailure(err)
	}
	s.retryAt = s.now().Add(retryInterval)
}

// abortCompaction discards the compaction in progress, if there is one, and removes its snapshot file.
func (s *Store) abortCompaction() {
	c := s.compaction
	if c == nil {
		return
	}
	s.compaction = nil
	if c.done == nil && c.file != nil {
		_ = c.file.Close()
	}
	_ = s.files.Remove(s.unfinishedSnapshotPath(c))
	_ = s.files.Remove(s.snapshotPath(c)) // exists if the rename succeeded and syncing the directory failed
}

// snapshotPath returns the path of a compaction's snapshot after its publication.
func (s *Store) snapshotPath(c *compaction) string {
	return filepath.Join(s.dir, fileName(snapshotPrefix, c.number))
}

// unfinishedSnapshotPath returns the path of a compaction's snapshot before its publication.
func (s *Store) unfinishedSnapshotPath(c *compaction) string {
	return s.snapshotPath(c) + unfinishedSuffix
}
