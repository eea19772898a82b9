package endpoints

import (
	"errors"
	"io"
	"path/filepath"

	"milletsail/internal/journal"
)

// compaction is a snapshot that is being written. The table changes meanwhile, and the changes go to the log of the same
// number. Replaying the snapshot and then all of that log gives the table, whichever of the changes the snapshot contains:
// puts and deletes are idempotent.
type compaction struct {
	number   uint64
	file     journal.File
	size     int64
	checksum uint32
	nextSlot int   // next slot of the table to write
	entries  int64 // entries written
	recovery bool  // it recovers from a failed write
	buffer   []byte
	done     chan error // receives the result of publishing; nil before all entries are written
}

// CompactStep does a bounded part of a compaction, or begins one if it is due. It reports whether another step can be done
// now. All changes of the table must have been appended.
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

// compactionDue reports whether a compaction should begin.
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

// compactionThreshold is the size of the logs, beside a snapshot of the given size, from which a compaction is due: early
// enough for the next snapshot and the logs written meanwhile to fit into the budget, as far as possible.
func (s *Store) compactionThreshold(snapshot int64) int64 {
	headroom := s.budget - 2*snapshot
	return min(max(minLogBytes, snapshot/logShare), max(headroom/2, s.budget/budgetShare))
}

// startCompaction begins a snapshot and the log that continues it.
func (s *Store) startCompaction() {
	repair := s.failure != nil
	next := header{kind: kindLog}
	if !repair {
		// Until the snapshot is published, a replay uses the previous one and all logs: the new log continues them.
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
	s.compaction = &compaction{number: next.number, recovery: repair}
	s.createSnapshot()
}

// createSnapshot creates the unfinished snapshot file.
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

// writeSnapshotEntries writes the next entries of the snapshot.
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

// publishSnapshot syncs a complete snapshot and renames it to its final name, in a goroutine that ends by sending the result
// to c.done.
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

// finishCompaction ends a compaction after its snapshot was published, or failed to be.
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

// failCompaction aborts a compaction after an error. The logs are continued, unless the compaction was a recovery.
func (s *Store) failCompaction(err error) {
	repair := s.compaction.recovery
	s.abortCompaction()
	if repair {
		_ = s.failWrite(err)
	}
	s.retryAt = s.now().Add(retryInterval)
}

// abortCompaction removes an unfinished snapshot.
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
	_ = s.files.Remove(s.snapshotPath(c)) // it has its name if the directory could not be synced
}

// snapshotPath is the path of a compaction's snapshot once it is published.
func (s *Store) snapshotPath(c *compaction) string {
	return filepath.Join(s.dir, fileName(snapshotPrefix, c.number))
}

// unfinishedSnapshotPath is its path before that.
func (s *Store) unfinishedSnapshotPath(c *compaction) string {
	return s.snapshotPath(c) + unfinishedSuffix
}
