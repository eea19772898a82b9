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

// clear removes what a process left that ended while it began a segment, and notes the segments there are.
func (j *Journal) clear() error {
	found, err := j.o.Files.List(j.dir)
	if err != nil {
		return err
	}
	var damaged []string
	var size int64
	for _, name := range found {
		path := filepath.Join(j.dir, name)
		n, segment := segmentNumber(name)
		switch {
		case strings.HasSuffix(name, newSuffix) && (strings.HasPrefix(name, segmentName) || name == v1Name+newSuffix):
			if err := j.o.Files.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
				slog.Warn("journal: an unfinished segment stays", "file", name, "err", err)
			}
		case segment:
			j.segment = max(j.segment, n)
			j.old = append(j.old, path)
		case name == v1Name:
			j.old = append(j.old, path)
		case strings.HasPrefix(name, damagedName):
			if f, n, err := j.o.Files.Open(path); err == nil {
				_ = f.Close()
				damaged, size = append(damaged, path), size+n
			}
		}
	}
	if float64(size) <= damagedShare*float64(j.limit) {
		j.limit -= int(size)
		return nil
	}
	for _, path := range damaged {
		if err := j.o.Files.Remove(path); err != nil {
			slog.Warn("journal: a damaged range stays", "file", path, "err", err)
		}
	}
	return nil
}

// begin writes a new segment with what is live, and removes the ones before it once it is durable.
func (j *Journal) begin() error {
	next := j.segment + 1
	path := filepath.Join(j.dir, segmentFile(next))
	clocks := j.o.Clocks.pair()
	b, seq, before := j.encode(next, clocks)
	f, err := j.o.Files.Create(path + newSuffix)
	if err != nil {
		return err
	}
	if err = writeAll(f, b); err == nil && j.o.SurvivesPowerLoss {
		err = f.Sync()
	}
	if err == nil {
		err = j.o.Files.Rename(path+newSuffix, path)
	}
	if err != nil {
		_ = f.Close()
		_ = j.o.Files.Remove(path + newSuffix)
		return err
	}
	if j.o.SurvivesPowerLoss {
		if err = j.o.Files.SyncDir(j.dir); err != nil {
			// It may or may not outlast a power loss: the one before stays, and this one is not written on.
			j.seq, j.before, j.clocks = seq, before, clocks
			j.undo(f)
			_ = f.Close()
			j.leave()
			j.segment = next
			j.old = append(j.old, path)
			return err
		}
	}
	j.leave()
	if j.broken != nil {
		slog.Warn("journal: it can be written again", "segment", next)
	}
	j.file, j.segment, j.size, j.seq, j.before, j.broken, j.clocks = f, next, len(b), seq, before, nil, clocks
	var stay []string
	for _, path := range j.old {
		if err := j.o.Files.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			slog.Warn("journal: an old segment stays", "file", path, "err", err)
			stay = append(stay, path)
		}
	}
	j.old = stay
	return nil
}

// encode gives a segment that begins with what is live.
func (j *Journal) encode(number uint64, clocks clock.Pair) (b []byte, seq uint64, before uint32) {
	j.order = j.all()
	seq = j.seq
	h := header{format: Format, segment: number, first: seq + 1, power: j.o.SurvivesPowerLoss, boot: j.o.Boot, relay: j.o.Relay, clocks: clocks}
	b = append(j.snapshot[:0], h.encode()...)
	var count uint64
	var sum uint32
	add := func(r record) {
		var one uint32
		seq++
		b, one = frame(b, &r, seq, before, clocks)
		before, sum = r.gist(), mix(sum, one)
		count++
	}
	for _, e := range j.order {
		add(record{op: opKept, ref: e.ref, entry: e})
	}
	if j.list.Text != nil {
		add(record{op: opList, list: j.list})
	}
	for host, h := range j.health {
		add(record{op: opHealth, host: host, flag: h.Ejected, at: h.ChangedAt})
	}
	add(record{op: opSnapshot, count: count, sum: sum})
	if j.snapshot = b; cap(b) > 4<<20 {
		j.snapshot = nil
	}
	return b, seq, before
}

// setAside keeps the ranges that can't be read, as far as there is room for them, and says what is missing.
func (j *Journal) setAside(r *Report) {
	for _, name := range r.SkippedSegments {
		slog.Warn("journal: a segment whose snapshot is not whole is passed over", "file", name)
	}
	room := int64(damagedShare * float64(j.limit))
	for _, d := range r.Damage {
		kept := "no room"
		if d.Length > 0 && d.Length <= room {
			name := fmt.Sprintf("%s%s-%d", damagedName, d.file, d.Offset)
			if err := j.keep(filepath.Join(j.dir, name), filepath.Join(j.dir, d.file), d.Offset, d.Length); err != nil {
				slog.Warn("journal: a damaged range is not kept", "err", err)
			} else {
				kept = name
				room -= d.Length
				j.limit -= int(d.Length)
			}
		}
		slog.Warn("journal: damaged", "file", d.file, "offset", d.Offset, "bytes", d.Length, "first missing", d.FirstSequence, "records missing", d.Missing,
			"the last of them", d.LastRecord, "set aside", kept)
	}
	if r.Rebooted && !r.SurvivesPowerLoss {
		slog.Warn("journal: the machine has started anew, and the durability is process: every message may have run")
	}
}

// keep copies a range of a file to one of its own.
func (j *Journal) keep(to, from string, offset, length int64) error {
	f, _, err := j.o.Files.Open(from)
	if err != nil {
		return err
	}
	defer f.Close()
	part, err := readRange(f, offset, length)
	if err != nil {
		return err
	}
	out, err := j.o.Files.Create(to)
	if err != nil {
		return err
	}
	return errors.Join(writeAll(out, part), out.Close())
}
