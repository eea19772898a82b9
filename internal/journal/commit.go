package journal

import (
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"time"

	"milletsail/internal/instant"
)

// recoveryInterval is the least time between two attempts to begin a segment after a failed one: each writes all live
// entries.
const recoveryInterval = 250 * time.Millisecond

// Reserve reports whether an entry may be accepted, and reserves space for it until the next Commit. It requires room
// for all live entries twice, since compaction needs the old and the new segment at the same time.
func (j *Journal) Reserve(e *Entry) bool {
	if j.writeError != nil || 2*(j.liveSize+j.reserved+requiredSize(e)) > j.sizeLimit {
		return false
	}
	j.reserved += requiredSize(e)
	return true
}

// Accept records that a request was accepted.
func (j *Journal) Accept(e *Entry) {
	if e.AcceptedAt.IsZero() {
		e.AcceptedAt = j.options.Clocks.Now()
	}
	j.appendRecord(record{op: opAccepted, entrySeq: j.lastSequence + 1, entry: e})
	j.uncommitted = append(j.uncommitted, e)
}

// StartAttempt records that an attempt starts. It must be committed before the first byte of the attempt is sent.
func (j *Journal) StartAttempt(e *Entry, host string, at instant.Time) {
	j.appendRecord(record{op: opAttemptStarted, entrySeq: e.seq, host: host, at: at})
}

// RevokeAttempt removes the last attempt of an entry, whose start the last Commit failed to write: no call may follow. The next
// segment is written without it.
func (j *Journal) RevokeAttempt(e *Entry) {
	e.Attempts = e.Attempts[:len(e.Attempts)-1]
	j.RequireSnapshot()
}

// RequireSnapshot makes the next Commit begin a new segment. It has to be called after a change to an entry for which no record
// was written, since a process that replays the segment would not know of it.
func (j *Journal) RequireSnapshot() { j.snapshotRequired = true }

// EndAttempt records the result of the entry's last attempt.
func (j *Journal) EndAttempt(e *Entry, notExecuted bool) {
	j.appendRecord(record{op: opAttemptEnded, entrySeq: e.seq, notExecuted: notExecuted})
}

// RecordPendingNotification records that a request ended undelivered, and that the platform has not yet acknowledged the
// notification of it.
func (j *Journal) RecordPendingNotification(e *Entry, n Notification) {
	j.appendRecord(record{op: opNotificationPending, entrySeq: e.seq, notification: n})
}

// Complete records that a request is finished, with no attempt or notification outstanding, and removes its entry.
func (j *Journal) Complete(e *Entry) { j.appendRecord(record{op: opCompleted, entrySeq: e.seq}) }

// RecordHealth records the health of an endpoint, so that the next process can restore it.
func (j *Journal) RecordHealth(host string, h HealthRecord) {
	j.appendRecord(record{op: opHealth, host: host, ejected: h.Ejected, at: h.ChangedAt})
}

// DropHealth removes the health of an endpoint that has left the endpoint list. No record is written for it: the next
// segment omits the health.
func (j *Journal) DropHealth(host string) { delete(j.health, host) }

// RecordLegacyList records an endpoint list in the way that older programs did. Only tests call it, to write the
// directories of such programs.
func (j *Journal) RecordLegacyList(l LegacyEndpointList) {
	j.appendRecord(record{op: opLegacyList, legacyList: l})
}

// DropLegacyList removes the legacy endpoint list, and begins a segment without it. The caller must have stored the list
// elsewhere before.
func (j *Journal) DropLegacyList() {
	if j.legacyList.Text == nil {
		return
	}
	j.liveSize -= j.legacyListSize
	j.legacyList, j.legacyListSize = LegacyEndpointList{}, 0
	if j.writeError != nil {
		return // Commit recovers with a new segment, which omits the list
	}
	if err := j.compact(); err != nil {
		j.markUnwritable(err)
	}
}

// appendRecord applies a record to the state and buffers it for the next Commit.
func (j *Journal) appendRecord(r record) {
	j.apply(&r)
	j.lastSequence++
	if j.writeError == nil { // otherwise the next segment's snapshot contains it
		j.buffered, _ = appendFramed(j.buffered, &r, j.lastSequence, j.previousDigest, j.clocks)
	}
	j.previousDigest = r.digest()
}

// Commit writes the buffered records and makes them durable. After an error the caller must not act on any record since
// the last successful Commit. A later Commit then recovers by beginning a new segment from memory: the first one at
// once, the following ones at most every recoveryInterval.
func (j *Journal) Commit() error {
	j.reserved = 0
	defer func() {
		j.buffered = j.buffered[:0]
		j.uncommitted = j.uncommitted[:0]
	}()
	if len(j.buffered) == 0 && j.writeError == nil && !j.snapshotRequired {
		return nil
	}
	if j.writeError != nil && j.options.Clocks.Now().Sub(j.lastRecoveryAttempt) < recoveryInterval {
		return fmt.Errorf("journal: %w", j.writeError)
	}
	err := j.writeOrCompact()
	if err != nil {
		if !errors.Is(err, ErrClosed) {
			j.markUnwritable(err)
		}
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// writeOrCompact appends the buffered records to the segment, or replaces the segment if it can't be written, would
// leave no room for its compaction, has outgrown its live entries, or differs from memory (see RequireSnapshot).
func (j *Journal) writeOrCompact() error {
	size := j.segmentSize + len(j.buffered)
	full := size+j.liveSize > j.sizeLimit
	outgrown := size > 2*j.liveSize+compactionSlack
	switch {
	case j.writeError != nil || j.snapshotRequired || full || outgrown:
		return j.compact()
	case j.file == nil:
		return ErrClosed
	}
	return j.writeBuffered()
}

// writeBuffered appends the buffered records to the segment.
func (j *Journal) writeBuffered() error {
	if err := writeAll(j.file, j.buffered); err != nil {
		if truncateErr := j.file.Truncate(int64(j.segmentSize)); truncateErr != nil {
			slog.Warn("journal: a partial write could not be truncated", "segment", j.segment, "error", truncateErr)
		}
		return err
	}
	if j.options.SurvivesPowerLoss {
		if err := j.file.Sync(); err != nil {
			j.revokeUncommitted(j.file)
			return err
		}
	}
	j.segmentSize += len(j.buffered)
	return nil
}

// revokeUncommitted appends records to f, the file of a segment whose last write is not durable, that complete the
// entries of that write. Their clients get an error, so a process that finds them in the segment after a kill must not
// deliver them.
func (j *Journal) revokeUncommitted(f File) {
	var buffer []byte
	for _, e := range j.uncommitted {
		j.lastSequence++
		completed := record{op: opCompleted, entrySeq: e.seq}
		buffer, _ = appendFramed(buffer, &completed, j.lastSequence, j.previousDigest, j.clocks)
		j.previousDigest = completed.digest()
	}
	if len(buffer) == 0 {
		return
	}
	if err := writeAll(f, buffer); err != nil {
		slog.Warn("journal: rejected entries may remain in a segment", "entries", len(j.uncommitted), "error", err)
	}
}

// Retry reports whether the journal can be written. After a failed write it first tries to recover by beginning a new
// segment, at most as often as Commit does.
func (j *Journal) Retry() bool { return j.writeError == nil || j.Commit() == nil }

// markUnwritable closes the segment after a failed write.
func (j *Journal) markUnwritable(err error) {
	if j.writeError == nil {
		slog.Error("journal: write failed, accepting nothing until it recovers", "error", err)
		j.lastRecoveryAttempt = 0 // the fault may be confined to this file, so the first recovery is not delayed
	} else {
		j.lastRecoveryAttempt = j.options.Clocks.Now()
	}
	j.writeError = err
	j.closeSegment()
}

// closeSegment closes the current segment. The file stays until the next segment is durable.
func (j *Journal) closeSegment() {
	if j.file == nil {
		return
	}
	_ = j.file.Close() // the committed records have been written, and synced under durability Power
	j.file = nil
	j.obsolete = append(j.obsolete, filepath.Join(j.dir, segmentFileName(j.segment)))
}

// ShortWriteError reports that a file accepted only a part of a write and returned no error.
type ShortWriteError struct {
	Written, Length int // bytes
}

func (e *ShortWriteError) Error() string {
	return fmt.Sprintf("short write: %d of %d bytes written", e.Written, e.Length)
}

// writeAll writes b to f. It returns a *ShortWriteError if f accepts only a part of b without an error.
func writeAll(f File, b []byte) error {
	n, err := f.Write(b)
	if err == nil && n < len(b) {
		err = &ShortWriteError{Written: n, Length: len(b)}
	}
	return err
}
