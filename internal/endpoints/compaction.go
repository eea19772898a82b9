package endpoints

import (
	"errors"
	"io"
	"path/filepath"

	"milletsail/internal/journal"
)

// compaction is a snapshot in the making. The table goes on changing meanwhile, and the changes go to the log of the
// same number: the snapshot together with all of that log is the table, whatever of a change the snapshot has seen.
type compaction struct {
	number   uint64
	file     journal.File
	size     int64
	checksum uint32
	nextSlot int   // the next place of the table
	entries  int64 // entries written
	recovery bool  // makes up for what could not be written before it
	buffer   []byte
	done     chan error // set once all is written: gives one value when the snapshot is in its place
}

// CompactStep does a bounded part of a compaction, or begins one if it is due. It tells whether there is more to do now. Every
// change of the table must have been appended.
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

// compactionDue tells whether a snapshot should be made.
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

// compactionThreshold is the length of the logs beside a snapshot from which a compaction is due: early enough that the next
// snapshot and the logs meanwhile fit into the budget, as far as that can be had.
func (s *Store) compactionThreshold(snapshot int64) int64 {
	room := s.budget - 2*snapshot
	return min(max(minLogBytes, snapshot/logShare), max(room/2, s.budget/budgetShare))
}

// startCompaction begins a snapshot and the log that goes with it.
func (s *Store) startCompaction() {
	repair := s.failure != nil
	next := header{kind: kindLog}
	if !repair {
		// The logs so far are continued as long as the snapshot is not in its place.
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

// publishSnapshot has a complete snapshot synced and put in its place.
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

// finishCompaction ends a compaction whose snapshot is in its place, or failed to get there.
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

// failCompaction gives up a snapshot. The logs go on, except where the snapshot was to repair them.
func (s *Store) failCompaction(err error) {
	repair := s.compaction.recovery
	s.abortCompaction()
	if repair {
		_ = s.failWrite(err)
	}
	s.retryAt = s.now().Add(retryInterval)
}

// abortCompaction removes a snapshot in the making.
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
	_ = s.files.Remove(s.snapshotPath(c)) // where the folder could not be synced
}

// snapshotPath is where a snapshot goes once it is complete and synced.
func (s *Store) snapshotPath(c *compaction) string {
	return filepath.Join(s.dir, fileName(snapshotPrefix, c.number))
}

func (s *Store) unfinishedSnapshotPath(c *compaction) string {
	return s.snapshotPath(c) + unfinishedSuffix
}
