package journal

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
)

// quarantineShare is the part of the size limit that copies of damaged ranges may use.
const quarantineShare = 1.0 / 16

// quarantineCapacity is the disk space for copies of damaged ranges, in bytes.
func (j *Journal) quarantineCapacity() float64 { return quarantineShare * float64(j.sizeLimit) }

// limitQuarantine subtracts the quarantined files of earlier recoveries from the size limit, or removes them all if they
// exceed their share.
func (j *Journal) limitQuarantine(paths []string, size int64) {
	if float64(size) <= j.quarantineCapacity() {
		j.sizeLimit -= int(size)
		return
	}
	for _, path := range paths {
		if err := j.options.Files.Remove(path); err != nil {
			slog.Warn("journal: quarantined range could not be removed", "file", path, "error", err)
		}
	}
}

// quarantine copies the damaged ranges that a replay found to files of their own, as far as there is space, and logs
// what is missing.
func (j *Journal) quarantine(report *Report) {
	for _, name := range report.SkippedSegments {
		slog.Warn("journal: segment skipped, its snapshot is incomplete", "file", name)
	}
	capacity := int64(j.quarantineCapacity())
	for _, damage := range report.Damage {
		copiedTo := ""
		if damage.Length > 0 && damage.Length <= capacity {
			name := fmt.Sprintf("%s%s-%d", quarantinePrefix, damage.file, damage.Offset)
			if err := j.copyRange(name, damage); err != nil {
				slog.Warn("journal: damaged range could not be quarantined", "file", damage.file, "offset", damage.Offset, "error", err)
			} else {
				copiedTo = name
				capacity -= damage.Length
				j.sizeLimit -= int(damage.Length)
			}
		}
		slog.Warn("journal: damaged range", "file", damage.file, "offset", damage.Offset, "bytes", damage.Length,
			"first_missing_sequence", damage.FirstSequence, "missing_records", damage.Missing, "last_missing_record", damage.LastRecord,
			"quarantined_as", copiedTo)
	}
	if report.Rebooted && !report.SurvivesPowerLoss {
		slog.Warn("journal: machine rebooted and durability is process, all entries get an uncertain attempt")
	}
}

// copyRange copies a damaged range to a file of the journal's directory.
func (j *Journal) copyRange(to string, damage Damage) error {
	source, _, err := j.options.Files.Open(filepath.Join(j.dir, damage.file))
	if err != nil {
		return err
	}
	part, err := readRange(source, damage.Offset, damage.Length)
	if err := errors.Join(err, source.Close()); err != nil {
		return err
	}
	destination, err := j.options.Files.Create(filepath.Join(j.dir, to))
	if err != nil {
		return err
	}
	return errors.Join(writeAll(destination, part), destination.Close())
}

// readRange reads a range of a file.
func readRange(f io.Reader, offset, length int64) ([]byte, error) {
	if _, err := io.CopyN(io.Discard, f, offset); err != nil {
		return nil, err
	}
	part := make([]byte, length)
	_, err := io.ReadFull(f, part)
	return part, err
}
