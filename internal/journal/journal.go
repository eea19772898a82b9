package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

const (
	// usableShare is the part of DiskMB that segments may use; the rest covers partly filled blocks and other files of
	// the directory.
	usableShare = 0.9
	// bytesPerMB converts DiskMB to bytes.
	bytesPerMB = 1e6
	// maxReadAttempts bounds how often Read starts again when a running relay removes a segment under it.
	maxReadAttempts = 10
)

// Options configure Open.
type Options struct {
	DiskMB            float64 // size limit of the directory, in 10^6 bytes
	Relay             string  // name of the relay that the directory belongs to; empty to accept any
	SurvivesPowerLoss bool    // durability Power; otherwise Process
	Files             FS      // nil for Disk
	Boot              string  // boot ID of the machine; empty to read it from the system
	Clocks            Clocks  // SystemClocks if its Now is nil
}

// ForeignDirError says that a directory holds the journal of another relay.
type ForeignDirError struct {
	Dir   string
	Owner string // the relay that wrote the journal
	Relay string // the relay that tried to open it
}

func (e *ForeignDirError) Error() string {
	return fmt.Sprintf("directory %s belongs to relay %s, not to relay %s", e.Dir, e.Owner, e.Relay)
}

var (
	// ErrReadOnly is the write error of a journal that Read opened.
	ErrReadOnly = errors.New("opened read-only")
	// ErrClosed is returned by Commit on a closed journal.
	ErrClosed = errors.New("closed")
)

// Journal is the write-ahead log of a running relay. It is not safe for concurrent use.
type Journal struct {
	*state
	options   Options
	dir       string
	sizeLimit int // in bytes, of the old and the new segment together

	file           File // the current segment; nil when none is open for writing
	segment        uint64
	segmentSize    int
	clocks         clock.Pair // the clock readings in the segment's header
	lastSequence   uint64
	previousDigest uint32   // digest of the last record
	obsolete       []string // paths of segments to remove once the next one is durable

	reserved    int      // bytes reserved for entries that may be accepted before the next Commit
	buffered    []byte   // records since the last Commit
	uncommitted []*Entry // accepted since the last Commit

	writeError          error // why the segment can't be written; nil when it can
	lastRecoveryAttempt instant.Time

	snapshotBuffer []byte // reused by compact
}

// Open replays the journal in dir and begins a new segment. If that segment can't be written, Open still succeeds: the
// journal holds what was replayed, and WriteError returns the reason, as after a failed Commit.
//
// It returns a *ForeignDirError if the directory belongs to another relay, and a *NewerError if a newer program wrote it.
func Open(dir string, options Options) (*Journal, *Report, error) {
	options = options.withDefaults()
	replayed, report, err := loadState(options.Files, dir, options.Boot, options.Clocks)
	if err != nil {
		return nil, report, fmt.Errorf("journal: %w", err)
	}
	if options.Relay != "" && report.Relay != "" && options.Relay != report.Relay {
		return nil, report, fmt.Errorf("journal: %w", &ForeignDirError{Dir: dir, Owner: report.Relay, Relay: options.Relay})
	}
	j := &Journal{
		state:        replayed,
		options:      options,
		dir:          dir,
		sizeLimit:    int(usableShare * options.DiskMB * bytesPerMB),
		segment:      report.segment,
		lastSequence: report.LastSequence,
	}
	if err := j.scanDir(); err != nil {
		return nil, report, fmt.Errorf("journal: %w", err)
	}
	j.quarantine(report)
	if err := j.compact(); err != nil {
		j.markUnwritable(err)
	}
	return j, report, nil
}

// withDefaults fills in the file system, the clocks and the boot ID of this machine where they are not set.
func (o Options) withDefaults() Options {
	if o.Files == nil {
		o.Files = Disk
	}
	if o.Clocks.Now == nil {
		o.Clocks = SystemClocks
		if o.Boot != "" { // the machine's uptime says nothing about a boot ID that the caller has set
			o.Clocks.Uptime = func() time.Duration { return 0 }
		}
	}
	if o.Boot == "" {
		o.Boot = clock.BootID()
	}
	return o
}

// Read replays the journal in dir and changes nothing there. The journal that it returns can't be written to.
func Read(dir string) (*Journal, *Report, error) {
	var replayed *state
	var report *Report
	var err error
	for range maxReadAttempts { // a running relay may remove a segment after it was listed
		replayed, report, err = loadState(Disk, dir, clock.BootID(), SystemClocks)
		if !errors.Is(err, fs.ErrNotExist) {
			break
		}
	}
	if err != nil {
		return nil, report, fmt.Errorf("journal: %w", err)
	}
	opened := &Journal{
		state:      replayed,
		options:    Options{Files: Disk, Clocks: SystemClocks},
		dir:        dir,
		writeError: ErrReadOnly,
	}
	return opened, report, nil
}

// Close closes the segment. Records that were not committed are lost.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	err := j.file.Close()
	j.file = nil
	return err
}

// Entries returns the live entries in the order in which they were accepted.
func (j *Journal) Entries() []*Entry { return j.liveEntries() }

// Get returns the live entry with an ID, or nil.
func (j *Journal) Get(id string) *Entry { return j.entries[id] }

// Health returns the persisted health by endpoint. The caller must not change the map.
func (j *Journal) Health() map[string]HealthRecord { return j.health }

// LegacyList returns the endpoint list that an older program stored in the journal; its Text is nil if there is none.
func (j *Journal) LegacyList() LegacyEndpointList { return j.legacyList }

// WriteError returns why the journal can't be written, or nil if it can.
func (j *Journal) WriteError() error { return j.writeError }
