package journal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"milletsail/internal/clock"
)

// NotEmptyError reports that the target directory of Repair is not empty.
type NotEmptyError struct {
	Dir string
}

func (e *NotEmptyError) Error() string {
	return e.Dir + " is not empty: repair needs a new or empty directory"
}

// UnknownFormatError reports that Convert does not know the requested storage format.
type UnknownFormatError struct {
	Format int
}

func (e *UnknownFormatError) Error() string {
	return fmt.Sprintf("unknown format %d: the formats are %d to %d", e.Format, formatV1, Format)
}

// Repair replays the journal in the directory from and writes its live entries, its endpoint health and its legacy list to
// the directory to, which it creates if necessary. It returns a *NotEmptyError if to is not empty.
func Repair(from, to string) (*Report, error) {
	source, report, err := Read(from)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(to, 0o700); err != nil {
		return nil, err
	}
	existing, err := os.ReadDir(to)
	if err != nil {
		return nil, err
	}
	if len(existing) > 0 {
		return nil, &NotEmptyError{Dir: to}
	}
	repaired := newDurable(source.state, report, to)
	if err := repaired.compact(); err != nil {
		return nil, err
	}
	return report, repaired.Close()
}

// Convert rewrites the directory dir in another storage format: 1 for a rollback to an older program, or Format. The
// files of the previous format are removed once the new ones are durable. The caller must own the directory. It returns
// an *UnknownFormatError for any other format.
func Convert(dir string, format int) (*Report, error) {
	replayed, report, err := loadState(Disk, dir, clock.BootID(), SystemClocks)
	if err != nil {
		return report, err
	}
	j := newDurable(replayed, report, dir)
	if err := j.scanDir(); err != nil {
		return report, err
	}
	switch format {
	case formatV1:
		return report, j.writeV1()
	case Format:
		if err := j.compact(); err != nil {
			return report, err
		}
		return report, j.Close()
	}
	return report, &UnknownFormatError{Format: format}
}

// newDurable returns a journal with a replayed state, which its caller writes to dir with durability Power. The journal has
// no size limit, since it accepts no entries.
func newDurable(replayed *state, report *Report, dir string) *Journal {
	return &Journal{
		state:        replayed,
		dir:          dir,
		segment:      report.segment,
		lastSequence: report.LastSequence,
		options:      Options{Relay: report.Relay, SurvivesPowerLoss: true, Files: Disk, Boot: clock.BootID(), Clocks: SystemClocks},
	}
}

// writeV1 writes the state as a journal of format 1, and removes the segments once that journal is durable.
func (j *Journal) writeV1() error {
	content, err := j.encodeV1()
	if err != nil {
		return err
	}
	path := filepath.Join(j.dir, formatV1File)
	temporary := path + unfinishedSuffix
	f, err := Disk.Create(temporary)
	if err != nil {
		return err
	}
	if err := errors.Join(writeAll(f, content), f.Sync(), f.Close()); err != nil {
		return errors.Join(err, Disk.Remove(temporary))
	}
	if err := errors.Join(Disk.Rename(temporary, path), Disk.SyncDir(j.dir)); err != nil {
		return err
	}
	for _, obsolete := range j.obsolete {
		if obsolete != path {
			err = errors.Join(err, Disk.Remove(obsolete))
		}
	}
	return err
}
