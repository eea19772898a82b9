package journal

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// Summary is what a folder holds, in figures.
type Summary struct {
	Report
	Complete             bool           `json:"whole"`
	Live                 int            `json:"live"` // messages taken on and not over
	PendingNotifications int            `json:"owed"` // of these, ended by a notice that the platform does not have yet
	Attempted            int            `json:"tried"`
	Uncertain            int            `json:"in_doubt"` // an attempt of theirs may have been lost
	Expired              int            `json:"expired"`  // their time is up
	ByClass              map[string]int `json:"by_class,omitempty"`
	BodySize             int            `json:"body_bytes"`
	RequiredBytes        int            `json:"room_bytes"` // that all this needs, with later records
	Hosts                int            `json:"hosts"`      // on the list, where a program of before kept it here
	Ejected              int            `json:"sick"`       // hosts remembered as out
}

// Summarize sums up what a folder holds at a moment.
func Summarize(dir string, now instant.Time) (*Summary, error) {
	j, r, err := Read(dir)
	if err != nil {
		return nil, err
	}
	s := &Summary{Report: *r, Complete: r.Complete(), ByClass: map[string]int{}, RequiredBytes: j.liveSize, Hosts: j.list.Endpoints}
	for _, e := range j.Entries() {
		s.Live++
		s.ByClass[e.Class]++
		s.BodySize += len(e.Body)
		if e.PendingNotification != nil {
			s.PendingNotifications++
		}
		if len(e.Attempts) > 0 {
			s.Attempted++
		}
		if slices.ContainsFunc(e.Attempts, func(a Attempt) bool { return a.Uncertain }) {
			s.Uncertain++
		}
		if e.ExpiresAt <= now {
			s.Expired++
		}
	}
	for _, h := range j.health {
		if h.Ejected {
			s.Ejected++
		}
	}
	return s, nil
}

// dumpedEntry is one live message as Dump writes it, with wall times for the reader's eye.
type dumpedEntry struct {
	ID                  string          `json:"id"`
	Class               string          `json:"class,omitempty"`
	Dest                int             `json:"dest,omitempty"`
	Key                 string          `json:"key,omitempty"`
	ExpiresAt           time.Time       `json:"expires,omitzero"`
	AcceptedAt          time.Time       `json:"taken,omitzero"`
	Attempts            []dumpedAttempt `json:"attempts,omitempty"`
	PendingNotification *Notification   `json:"owed,omitempty"`
	Bytes               int             `json:"body_bytes"`
	Body                []byte          `json:"body,omitempty"`
}

// dumpedAttempt is one attempt as Dump writes it.
type dumpedAttempt struct {
	Host        string    `json:"Host"`
	StartedAt   time.Time `json:"Begun"`
	Ended       bool      `json:"Ended"`
	NotExecuted bool      `json:"Unrun"`
	Uncertain   bool      `json:"Doubt"`
}

// wallTime gives the wall time of a moment, as the clocks stand now; the zero Time gives the zero one.
func wallTime(clocks clock.Pair, t instant.Time) time.Time {
	if t.IsZero() {
		return time.Time{}
	}
	return clocks.WallOf(t).Time()
}

// Dump writes the live messages of a folder, a line of JSON each, in the order in which they were taken on.
func Dump(dir string, to io.Writer, bodies bool) error {
	j, _, err := Read(dir)
	if err != nil {
		return err
	}
	out := json.NewEncoder(to)
	clocks := clock.ReadPair()
	for _, e := range j.Entries() {
		d := dumpedEntry{ID: e.ID, Class: e.Class, Dest: e.Dest, Key: e.Key, ExpiresAt: wallTime(clocks, e.ExpiresAt), AcceptedAt: wallTime(clocks, e.AcceptedAt),
			PendingNotification: e.PendingNotification, Bytes: len(e.Body)}
		for _, a := range e.Attempts {
			d.Attempts = append(d.Attempts, dumpedAttempt{a.Host, wallTime(clocks, a.StartedAt), a.Ended, a.NotExecuted, a.Uncertain})
		}
		if bodies {
			d.Body = e.Body
		}
		if err := out.Encode(d); err != nil {
			return err
		}
	}
	return nil
}

// Repair writes what can be read of a folder into another one, which has to be empty or not to be there.
func Repair(from, to string) (*Report, error) {
	j, r, err := Read(from)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(to, 0o700); err != nil {
		return nil, err
	}
	there, err := os.ReadDir(to)
	if err != nil {
		return nil, err
	}
	if len(there) > 0 {
		return nil, fmt.Errorf("%s is not empty: a repair goes into a folder of its own", to)
	}
	out := &Journal{state: j.state, dir: to, segment: r.segment, lastSequence: r.LastSequence,
		options: Options{Relay: r.Relay, SurvivesPowerLoss: true, Files: Disk, Boot: clock.BootID(), Clocks: SystemClocks}}
	if err := out.compact(); err != nil {
		return nil, err
	}
	return r, out.Close()
}

// Convert gives a folder another form, in place: 1 for a program of before, Format for this one. The files of the form
// before go once the new ones are durable. The caller has to own the folder.
func Convert(dir string, format int) (*Report, error) {
	s, r, err := loadState(Disk, dir, clock.BootID(), SystemClocks)
	if err != nil {
		return r, err
	}
	j := &Journal{state: s, dir: dir, segment: r.segment, lastSequence: r.LastSequence,
		options: Options{Relay: r.Relay, SurvivesPowerLoss: true, Files: Disk, Boot: clock.BootID(), Clocks: SystemClocks}}
	if err := j.scanDir(); err != nil {
		return r, err
	}
	switch format {
	case 1:
		return r, j.writeV1()
	case Format:
		if err := j.compact(); err != nil {
			return r, err
		}
		return r, j.Close()
	}
	return r, fmt.Errorf("there is no format %d: they are 1 to %d", format, Format)
}

// writeV1 writes the form of before in the place of the segments.
func (j *Journal) writeV1() error {
	b, err := j.encodeV1()
	if err != nil {
		return err
	}
	path := filepath.Join(j.dir, formatV1File)
	f, err := Disk.Create(path + unfinishedSuffix)
	if err != nil {
		return err
	}
	if err := errors.Join(writeAll(f, b), f.Sync(), f.Close()); err != nil {
		return errors.Join(err, Disk.Remove(path+unfinishedSuffix))
	}
	if err := errors.Join(Disk.Rename(path+unfinishedSuffix, path), Disk.SyncDir(j.dir)); err != nil {
		return err
	}
	for _, old := range j.obsolete {
		if old != path {
			err = errors.Join(err, Disk.Remove(old))
		}
	}
	return err
}
