package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	"milletsail/internal/clock"
)

// This file begins segments, and keeps what can't be read of earlier ones.

// scanDir removes what a process left that ended while it began a segment, and notes the segments there are.
func (j *Journal) scanDir() error {
	found, err := j.options.Files.List(j.dir)
	if err != nil {
		return err
	}
	var damaged []string
	var size int64
	for _, name := range found {
		path := filepath.Join(j.dir, name)
		n, segment := segmentNumber(name)
		switch {
		case strings.HasSuffix(name, unfinishedSuffix) && (strings.HasPrefix(name, segmentPrefix) || name == formatV1File+unfinishedSuffix):
			if err := j.options.Files.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
				slog.Warn("journal: an unfinished segment stays", "file", name, "err", err)
			}
		case segment:
			j.segment = max(j.segment, n)
			j.obsolete = append(j.obsolete, path)
		case name == formatV1File:
			j.obsolete = append(j.obsolete, path)
		case strings.HasPrefix(name, quarantinePrefix):
			if f, n, err := j.options.Files.Open(path); err == nil {
				_ = f.Close()
				damaged, size = append(damaged, path), size+n
			}
		}
	}
	if float64(size) <= quarantineShare*float64(j.sizeLimit) {
		j.sizeLimit -= int(size)
		return nil
	}
	for _, path := range damaged {
		if err := j.options.Files.Remove(path); err != nil {
			slog.Warn("journal: a damaged range stays", "file", path, "err", err)
		}
	}
	return nil
}

// compact writes a new segment with what is live, and removes the ones before it once it is durable.
func (j *Journal) compact() error {
	next := j.segment + 1
	path := filepath.Join(j.dir, segmentFileName(next))
	clocks := j.options.Clocks.readPair()
	b, seq, before := j.encodeSnapshot(next, clocks)
	f, err := j.options.Files.Create(path + unfinishedSuffix)
	if err != nil {
		return err
	}
	if err = writeAll(f, b); err == nil && j.options.SurvivesPowerLoss {
		err = f.Sync()
	}
	if err == nil {
		err = j.options.Files.Rename(path+unfinishedSuffix, path)
	}
	if err != nil {
		_ = f.Close()
		_ = j.options.Files.Remove(path + unfinishedSuffix)
		return err
	}
	if j.options.SurvivesPowerLoss {
		if err = j.options.Files.SyncDir(j.dir); err != nil {
			// It may or may not outlast a power loss: the one before stays, and this one is not written on.
			j.lastSequence, j.previousDigest, j.clocks = seq, before, clocks
			j.revokeUncommitted(f)
			_ = f.Close()
			j.closeSegment()
			j.segment = next
			j.obsolete = append(j.obsolete, path)
			return err
		}
	}
	j.closeSegment()
	if j.writeError != nil {
		slog.Warn("journal: it can be written again", "segment", next)
	}
	j.file, j.segment, j.segmentSize, j.lastSequence, j.previousDigest, j.writeError, j.clocks = f, next, len(b), seq, before, nil, clocks
	var stay []string
	for _, path := range j.obsolete {
		if err := j.options.Files.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			slog.Warn("journal: an old segment stays", "file", path, "err", err)
			stay = append(stay, path)
		}
	}
	j.obsolete = stay
	return nil
}

// encodeSnapshot gives a segment that begins with what is live.
func (j *Journal) encodeSnapshot(number uint64, clocks clock.Pair) (b []byte, seq uint64, before uint32) {
	j.order = j.liveEntries()
	seq = j.lastSequence
	h := header{format: Format, segment: number, firstSequence: seq + 1, survivesPowerLoss: j.options.SurvivesPowerLoss, boot: j.options.Boot, relay: j.options.Relay, clocks: clocks}
	b = append(j.snapshotBuffer[:0], h.encode()...)
	var count uint64
	var sum uint32
	add := func(r record) {
		var one uint32
		seq++
		b, one = appendFramed(b, &r, seq, before, clocks)
		before, sum = r.digest(), addChecksum(sum, one)
		count++
	}
	for _, e := range j.order {
		add(record{op: opSnapshotEntry, entrySeq: e.seq, entry: e})
	}
	if j.list.Text != nil {
		add(record{op: opLegacyList, list: j.list})
	}
	for host, h := range j.health {
		add(record{op: opHealth, host: host, flag: h.Ejected, at: h.ChangedAt})
	}
	add(record{op: opSnapshotEnd, snapshotRecords: count, snapshotChecksum: sum})
	if j.snapshotBuffer = b; cap(b) > 4<<20 {
		j.snapshotBuffer = nil
	}
	return b, seq, before
}

// quarantine keeps the ranges that can't be read, as far as there is room for them, and says what is missing.
func (j *Journal) quarantine(r *Report) {
	for _, name := range r.SkippedSegments {
		slog.Warn("journal: a segment whose snapshot is not whole is passed over", "file", name)
	}
	room := int64(quarantineShare * float64(j.sizeLimit))
	for _, d := range r.Damage {
		kept := "no room"
		if d.Length > 0 && d.Length <= room {
			name := fmt.Sprintf("%s%s-%d", quarantinePrefix, d.file, d.Offset)
			if err := j.copyRange(filepath.Join(j.dir, name), filepath.Join(j.dir, d.file), d.Offset, d.Length); err != nil {
				slog.Warn("journal: a damaged range is not kept", "err", err)
			} else {
				kept = name
				room -= d.Length
				j.sizeLimit -= int(d.Length)
			}
		}
		slog.Warn("journal: damaged", "file", d.file, "offset", d.Offset, "bytes", d.Length, "first missing", d.FirstSequence, "records missing", d.Missing,
			"the last of them", d.LastRecord, "set aside", kept)
	}
	if r.Rebooted && !r.SurvivesPowerLoss {
		slog.Warn("journal: the machine has started anew, and the durability is process: every message may have run")
	}
}

// copyRange copies a range of a file to one of its own.
func (j *Journal) copyRange(to, from string, offset, length int64) error {
	f, _, err := j.options.Files.Open(from)
	if err != nil {
		return err
	}
	defer f.Close()
	part, err := readRange(f, offset, length)
	if err != nil {
		return err
	}
	out, err := j.options.Files.Create(to)
	if err != nil {
		return err
	}
	return errors.Join(writeAll(out, part), out.Close())
}
