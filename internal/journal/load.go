package journal

import (
	"errors"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"time"

	"milletsail/internal/clock"
)

// loadState replays the newest complete segment of a directory, and converts its times to this boot's monotonic clock.
func loadState(files FS, dir, boot string, clocks Clocks) (*state, *Report, error) {
	loaded, report, err := readNewest(files, dir, boot)
	if err != nil {
		return loaded, report, err
	}
	now := clocks.Now()
	hasClocks := report.clocks != (clock.Pair{})
	sameBoot := boot != "" && report.Boot == boot
	if hasClocks && sameBoot && max(loaded.latestInstant(), report.clocks.At) <= now {
		return loaded, report, nil
	}
	scale := report.clocks
	if !hasClocks {
		scale = wallClockOnly
	}
	uptime := time.Duration(0)
	if report.Rebooted {
		uptime = clocks.Uptime()
	}
	report.UsedWallClock = report.File != ""
	loaded.rebase(scale.InstantOf(clocks.Wall()), now, uptime)
	return loaded, report, nil
}

// readNewest replays the newest segment of a directory whose snapshot is complete, and leaves its times as stored. If there
// is none, it replays a journal of format 1, or else the valid records of the newest segment.
func readNewest(files FS, dir, boot string) (*state, *Report, error) {
	segments, hasV1, err := listSegments(files, dir)
	if err != nil {
		return nil, nil, err
	}
	var partialState *state
	var partialReport *Report
	var skipped []string
	for _, number := range segments {
		replayed, report, complete, err := readSegmentFile(files, filepath.Join(dir, segmentFileName(number)), boot)
		if err != nil {
			return nil, report, err
		}
		report.segment = number
		if complete {
			report.SkippedSegments = skipped
			powerLoss := report.Rebooted && report.SurvivesPowerLoss
			if len(skipped) > 0 && !powerLoss {
				replayed.addUncertainAttempts() // the skipped segment was once complete and may have recorded attempts
			}
			return replayed, report, nil
		}
		skipped = append(skipped, segmentFileName(number))
		if partialState == nil {
			partialState, partialReport = replayed, report
		}
	}
	switch {
	case hasV1:
		replayed, report, err := readV1File(files, dir)
		if err == nil {
			report.SkippedSegments = skipped
			if len(segments) > 0 {
				report.segment = segments[0]
			}
		}
		return replayed, report, err
	case partialState == nil:
		return newState(), &Report{Format: Format}, nil
	}
	partialReport.Partial = true
	return partialState, partialReport, nil
}

// listSegments returns the numbers of a directory's segments, the newest first, and whether it holds a journal of
// format 1.
func listSegments(files FS, dir string) (numbers []uint64, hasV1 bool, err error) {
	names, err := files.List(dir)
	if err != nil {
		return nil, false, err
	}
	for _, name := range names {
		if number, ok := parseSegmentFileName(name); ok {
			numbers = append(numbers, number)
		}
		hasV1 = hasV1 || name == formatV1File
	}
	slices.Sort(numbers)
	slices.Reverse(numbers)
	return numbers, hasV1, nil
}

// readSegmentFile opens and replays the segment at path. It reports whether the segment's snapshot is complete.
func readSegmentFile(files FS, path, boot string) (s *state, r *Report, complete bool, err error) {
	f, size, err := files.Open(path)
	if err != nil {
		return nil, nil, false, err
	}
	s, r, complete, err = readSegment(f, size, filepath.Base(path), boot)
	_ = f.Close() // closing a file that was only read loses nothing
	return s, r, complete, err
}

// readV1File replays a journal of format 1, or returns an empty state if there is none. Format 1 has no markers, so all
// records after a damaged one are lost; as they may include attempts, every entry then gets an uncertain attempt.
func readV1File(files FS, dir string) (*state, *Report, error) {
	f, size, err := files.Open(filepath.Join(dir, formatV1File))
	if errors.Is(err, fs.ErrNotExist) {
		return newState(), &Report{Format: Format}, nil
	}
	if err != nil {
		return nil, nil, err
	}
	raw, err := io.ReadAll(f)
	_ = f.Close() // closing a file that was only read loses nothing
	if err != nil {
		return nil, nil, err
	}
	s, r := newState(), &Report{File: formatV1File, Format: formatV1, Bytes: size}
	unread, torn := s.replayV1(raw, r)
	if torn {
		r.Torn = int64(unread)
	} else if unread > 0 {
		r.addDamage(Damage{Offset: size - int64(unread), Length: int64(unread), LastRecord: unreadableEnd})
		s.addUncertainAttempts()
	}
	return s, r, nil
}
