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
	number uint64
	file   journal.File
	size   int64
	sum    uint32
	from   int   // the next place of the table
	count  int64 // entries written
	repair bool  // makes up for what could not be written before it
	text   []byte
	done   chan error // set once all is written: gives one value when the snapshot is in its place
}

// CompactStep does a bounded part of a compaction, or begins one if it is due. It tells whether there is more to do now. Every
// change of the table must have been appended.
func (s *Store) CompactStep(t *Table) (more bool) {
	c := s.compaction
	switch {
	case s.disabled != nil:
	case c == nil && s.due():
		s.begin()
	case c == nil:
	case c.done == nil:
		s.advance(t)
	default:
		select {
		case err := <-c.done:
			s.finish(err)
		default:
			return false
		}
	}
	return s.compaction != nil
}

// due tells whether a snapshot should be made.
func (s *Store) due() bool {
	if s.now().Before(s.retryAt) {
		return false
	}
	if s.failure != nil {
		return true
	}
	var snapshot, logBytes int64
	logs := 0
	for _, f := range s.files {
		if f.kind == kindSnapshot {
			snapshot += f.size
			continue
		}
		logs++
		logBytes += f.size
	}
	return logBytes >= s.longLog(snapshot) || logs > maxLogs
}

// longLog is the length of the logs beside a snapshot from which a compaction is due: early enough that the next
// snapshot and the logs meanwhile fit into the budget, as far as that can be had.
func (s *Store) longLog(snapshot int64) int64 {
	room := s.budget - 2*snapshot
	return min(max(minLogBytes, snapshot/logShare), max(room/2, s.budget/budgetShare))
}

// begin begins a snapshot and the log that goes with it.
func (s *Store) begin() {
	repair := s.failure != nil
	next := header{kind: kindLog}
	if !repair {
		// The logs so far are continued as long as the snapshot is not in its place.
		if s.prepareLog() != nil || s.flush() != nil {
			return
		}
		next.previous = s.nextLog.number
		next.sum = s.sum
	}
	_ = s.closeLog()
	s.highest++
	next.number = s.highest
	s.nextLog = next
	s.stored = s.seq
	s.compaction = &compaction{number: next.number, repair: repair}
	s.beginSnapshot()
}

func (s *Store) beginSnapshot() {
	c := s.compaction
	file, err := s.fsys.Create(s.newPath(c))
	if err != nil {
		s.snapshotFailed(err)
		return
	}
	c.file = file
	h := header{kind: kindSnapshot, number: c.number, seq: s.seq}
	c.text = h.encode()
	c.sum = headerSum(c.text)
}

// advance writes the next entries of the snapshot.
func (s *Store) advance(t *Table) {
	c := s.compaction
	entries, next, done := t.All(c.from, CompactionStepEntries)
	for e := range entries {
		c.text = appendPut(c.text, &c.sum, e)
		c.count++
	}
	c.from = next
	if done {
		c.text = appendNumber(c.text, &c.sum, opEnd, c.count)
	}
	if s.reserve(len(c.text)) != nil {
		return
	}
	n, err := c.file.Write(c.text)
	c.size += int64(n)
	if err == nil && n < len(c.text) {
		err = io.ErrShortWrite
	}
	c.text = c.text[:0]
	if err != nil {
		s.snapshotFailed(err)
		return
	}
	if done {
		s.place(c)
	}
}

// place has a complete snapshot synced and put in its place.
func (s *Store) place(c *compaction) {
	c.done = make(chan error, 1)
	fsys, dir, from, to := s.fsys, s.dir, s.newPath(c), s.placePath(c)
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

// finish ends a compaction whose snapshot is in its place, or failed to get there.
func (s *Store) finish(err error) {
	c := s.compaction
	if err != nil {
		s.snapshotFailed(err)
		return
	}
	s.compaction = nil
	snapshot := storedFile{name: fileName(snapshotPrefix, c.number), kind: kindSnapshot, number: c.number, size: c.size}
	s.files = append([]storedFile{snapshot}, s.files...)
	s.removeBefore(c.number)
	if c.repair {
		s.failure = nil
	}
}

// snapshotFailed gives up a snapshot. The logs go on, except where the snapshot was to repair them.
func (s *Store) snapshotFailed(err error) {
	repair := s.compaction.repair
	s.abandon()
	if repair {
		_ = s.fail(err)
	}
	s.retryAt = s.now().Add(retryAfter)
}

// abandon removes a snapshot in the making.
func (s *Store) abandon() {
	c := s.compaction
	if c == nil {
		return
	}
	s.compaction = nil
	if c.done == nil && c.file != nil {
		_ = c.file.Close()
	}
	_ = s.fsys.Remove(s.newPath(c))
	_ = s.fsys.Remove(s.placePath(c)) // where the folder could not be synced
}

// placePath is where a snapshot goes once it is complete and synced.
func (s *Store) placePath(c *compaction) string {
	return filepath.Join(s.dir, fileName(snapshotPrefix, c.number))
}

func (s *Store) newPath(c *compaction) string {
	return s.placePath(c) + newSuffix
}
