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
	// usableShare is the fraction of DiskMB that segments and quarantined ranges may use. The rest covers partly filled
	// blocks and the other files of the directory.
	usableShare = 0.9
	// bytesPerMB converts DiskMB to bytes.
	bytesPerMB = 1e6
	// maxReadAttempts is how often Read lists and reads the directory before it gives up because a running relay keeps
	// removing segments.
	maxReadAttempts = 10
)

// Options configures Open.
type Options struct {
	DiskMB            float64 // disk space that the directory may use, in 10^6 bytes
	Relay             string  // name of the relay that the directory belongs to; empty to accept any
	SurvivesPowerLoss bool    // whether the durability is Power; otherwise it is Process
	Files             FS      // Disk if nil
	Boot              string  // boot ID of the machine; empty to read it from the system
	Clocks            Clocks  // SystemClocks if Clocks.Now is nil
}

// ForeignDirError reports that a directory holds the journal of another relay.
type ForeignDirError struct {
	Dir   string
	Owner string // the relay that wrote the journal
	Relay string // the relay that tried to open it
}

func (e *ForeignDirError) Error() string {
	return fmt.Sprintf("directory %s belongs to relay %s, not to relay %s", e.Dir, e.Owner, e.Relay)
}

var (
	// ErrReadOnly is the error that WriteError returns for a journal that Read opened.
	ErrReadOnly = errors.New("write to a journal that was opened read-only")
	// ErrClosed is returned by Commit on a closed journal.
	ErrClosed = errors.New("write to a closed journal")
)

// Journal is the write-ahead log of a running relay. It is not safe for concurrent use.
type Journal struct {
	*state
	options   Options
	dir       string
	sizeLimit int // limit of the total size of the old and the new segment during a compaction, in bytes

	file           File       // the current segment; nil when none is open for writing
	segment        uint64     // number of the current segment
	segmentSize    int        // size of the current segment up to its last committed record, in bytes
	clocks         clock.Pair // clock readings in the current segment's header
	lastSequence   uint64     // sequence of the last appended record
	previousDigest uint32     // digest of the last appended record
	obsolete       []string   // paths of segments to remove once the next one is durable

	reserved    int      // bytes reserved by Reserve since the last Commit
	buffered    []byte   // encoded records appended since the last Commit
	uncommitted []*Entry // entries accepted since the last Commit
	// snapshotRequired reports that entries differ from what a replay of the current segment and of the buffered records builds.
	snapshotRequired bool

	writeError          error        // why the journal can't be written; nil if it can
	lastRecoveryAttempt instant.Time // when a new segment last failed to begin after a failed write

	snapshotBuffer []byte // reused by encodeSnapshot between compactions
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

// withDefaults returns the options with unset ones replaced: by the operating system's file system, the machine's clocks
// and its boot ID.
func (o Options) withDefaults() Options {
	if o.Files == nil {
		o.Files = Disk
	}
	if o.Clocks.Now == nil {
		o.Clocks = SystemClocks
		if o.Boot != "" { // the machine's uptime does not belong to a boot ID that the caller has set
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

// Get returns the live entry with the given ID, or nil if there is none.
func (j *Journal) Get(id string) *Entry { return j.entries[id] }

// Health returns the persisted health of the endpoints by name. The caller must not change the map.
func (j *Journal) Health() map[string]HealthRecord { return j.health }

// LegacyList returns the endpoint list that an older program stored in the journal; its Text is nil if there is none.
func (j *Journal) LegacyList() LegacyEndpointList { return j.legacyList }

// WriteError returns why the journal can't be written, or nil if it can.
func (j *Journal) WriteError() error { return j.writeError }
