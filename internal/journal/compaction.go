package journal

import (
	"errors"
	"io/fs"
	"log/slog"
	"path/filepath"
	"strings"

	"milletsail/internal/clock"
)

const (
	// compactionSlack is the size, in bytes, by which a segment may exceed twice the size of its live entries before it is
	// compacted. It keeps nearly empty journals from being compacted by each Commit.
	compactionSlack = 256 << 10
	// maxReusedBuffer is the largest capacity of a snapshot buffer that is kept for the next compaction, in bytes.
	maxReusedBuffer = 4 << 20
)

// scanDir removes unfinished segments that an earlier process left, and collects the segments to remove after the next
// compaction. It also sets the number that the next segment follows, and counts quarantined ranges against the size limit.
func (j *Journal) scanDir() error {
	names, err := j.options.Files.List(j.dir)
	if err != nil {
		return err
	}
	var quarantined []string
	var quarantinedSize int64
	for _, name := range names {
		path := filepath.Join(j.dir, name)
		number, isSegment := parseSegmentFileName(name)
		switch {
		case isUnfinished(name):
			if err := j.options.Files.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
				slog.Warn("journal: unfinished segment could not be removed", "file", name, "error", err)
			}
		case isSegment:
			j.segment = max(j.segment, number)
			j.obsolete = append(j.obsolete, path)
		case name == formatV1File:
			j.obsolete = append(j.obsolete, path)
		case strings.HasPrefix(name, quarantinePrefix):
			if f, size, err := j.options.Files.Open(path); err == nil {
				_ = f.Close() // the file was opened only to learn its size
				quarantined, quarantinedSize = append(quarantined, path), quarantinedSize+size
			}
		}
	}
	j.limitQuarantine(quarantined, quarantinedSize)
	return nil
}

// isUnfinished reports whether name is the temporary name of a segment or of a journal of format 1, which a process
// leaves if it ends before it renames the file.
func isUnfinished(name string) bool {
	return strings.HasSuffix(name, unfinishedSuffix) &&
		(strings.HasPrefix(name, segmentPrefix) || name == formatV1File+unfinishedSuffix)
}

// compact writes a new segment that begins with a snapshot of the live entries, and removes the older segments once the
// new one is durable.
func (j *Journal) compact() error {
	number := j.segment + 1
	path := filepath.Join(j.dir, segmentFileName(number))
	clocks := j.options.Clocks.readPair()
	content, lastSequence, lastDigest := j.encodeSnapshot(number, clocks)
	file, err := j.createSegment(path, content)
	if err != nil {
		return err
	}
	if j.options.SurvivesPowerLoss {
		if err := j.options.Files.SyncDir(j.dir); err != nil {
			// The rename may or may not survive a power loss, so nothing is appended to the new segment, and the previous one
			// stays until a later segment is durable.
			j.lastSequence, j.previousDigest, j.clocks = lastSequence, lastDigest, clocks
			j.revokeUncommitted(file)
			_ = file.Close() // SyncDir's error is returned instead
			j.closeSegment()
			j.segment = number
			j.obsolete = append(j.obsolete, path)
			return err
		}
	}
	j.closeSegment()
	if j.writeError != nil {
		slog.Warn("journal: writable again", "segment", number)
	}
	j.file, j.segment, j.segmentSize, j.clocks = file, number, len(content), clocks
	j.lastSequence, j.previousDigest = lastSequence, lastDigest
	j.writeError, j.snapshotRequired = nil, false
	j.removeObsolete()
	return nil
}

// createSegment writes a segment file under a temporary name, makes its content durable if the options ask for it, and
// gives it its final name.
func (j *Journal) createSegment(path string, content []byte) (File, error) {
	temporary := path + unfinishedSuffix
	file, err := j.options.Files.Create(temporary)
	if err != nil {
		return nil, err
	}
	err = writeAll(file, content)
	if err == nil && j.options.SurvivesPowerLoss {
		err = file.Sync()
	}
	if err == nil {
		err = j.options.Files.Rename(temporary, path)
	}
	if err != nil {
		_ = file.Close()                      // the error of the failed step is returned instead
		_ = j.options.Files.Remove(temporary) // if this fails, scanDir removes the file at the next start
		return nil, err
	}
	return file, nil
}

// removeObsolete removes the segments that the current one replaces. A segment that can't be removed is retried after the
// next compaction.
func (j *Journal) removeObsolete() {
	var remaining []string
	for _, path := range j.obsolete {
		if err := j.options.Files.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			slog.Warn("journal: obsolete segment could not be removed", "file", path, "error", err)
			remaining = append(remaining, path)
		}
	}
	j.obsolete = remaining
}

// encodeSnapshot returns the content of a new segment: its header and a snapshot of the live entries, the legacy list and
// the health records. It also returns the sequence and the digest of the snapshot's last record.
func (j *Journal) encodeSnapshot(number uint64, clocks clock.Pair) (content []byte, sequence uint64, digest uint32) {
	j.order = j.liveEntries()
	sequence = j.lastSequence
	head := header{
		format:            Format,
		segment:           number,
		firstSequence:     sequence + 1,
		survivesPowerLoss: j.options.SurvivesPowerLoss,
		boot:              j.options.Boot,
		relay:             j.options.Relay,
		clocks:            clocks,
	}
	content = append(j.snapshotBuffer[:0], head.encode()...)
	var records uint64
	var sum uint32
	add := func(r record) {
		var recordChecksum uint32
		sequence++
		content, recordChecksum = appendFramed(content, &r, sequence, digest, clocks)
		digest, sum = r.digest(), addChecksum(sum, recordChecksum)
		records++
	}
	for _, e := range j.order {
		add(record{op: opSnapshotEntry, entrySeq: e.seq, entry: e})
	}
	if j.legacyList.Text != nil {
		add(record{op: opLegacyList, legacyList: j.legacyList})
	}
	for host, health := range j.health {
		add(record{op: opHealth, host: host, ejected: health.Ejected, at: health.ChangedAt})
	}
	add(record{op: opSnapshotEnd, snapshotRecords: records, snapshotChecksum: sum})
	j.snapshotBuffer = content
	if cap(content) > maxReusedBuffer {
		j.snapshotBuffer = nil
	}
	return content, sequence, digest
}
