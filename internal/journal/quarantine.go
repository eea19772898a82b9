package journal

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
)

// quarantineShare is the fraction of the size limit that copies of damaged ranges may use.
const quarantineShare = 1.0 / 16

// quarantineCapacity returns the disk space that copies of damaged ranges may use, in bytes.
func (j *Journal) quarantineCapacity() float64 { return quarantineShare * float64(j.sizeLimit) }

// limitQuarantine subtracts the total size of the quarantine files of earlier recoveries from the size limit, or removes
// all of these files if they exceed quarantineCapacity.
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

// quarantine copies each damaged range that a replay found to a file of its own, unless the copy would exceed the capacity
// for copies, and logs each range with its missing records.
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

// copyRange copies a damaged range to a new file, with the name to, in the journal's directory.
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

// readRange reads length bytes of a newly opened file, from offset on.
func readRange(f io.Reader, offset, length int64) ([]byte, error) {
	if _, err := io.CopyN(io.Discard, f, offset); err != nil {
		return nil, err
	}
	part := make([]byte, length)
	_, err := io.ReadFull(f, part)
	return part, err
}
