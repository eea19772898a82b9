package endpoints

import (
	"cmp"
	"errors"
	"io"
	"io/fs"
	"path/filepath"
	"slices"

	"milletsail/internal/journal"
)

// LoadReport describes what Open has found in a directory.
type LoadReport struct {
	Entries int     // number of entries in the table that Open returns
	Files   int     // number of snapshots and logs found, without unfinished snapshots
	Newer   int     // number of files with a newer format version, which are ignored and removed
	Damage  []error // a *FileError for each file that could not be used completely, and any error of removing unused files
}

// storedFile is a snapshot or a log in the directory.
type storedFile struct {
	name   string
	kind   byte
	number uint64
	size   int64
}

// replay rebuilds a table from the files of a directory.
type replay struct {
	dir      string
	fsys     journal.FS
	salvage  bool // files that can't be read are treated as damaged instead of failing the replay
	table    *Table
	report   LoadReport
	sequence int64 // sequence of the last replayed commit, or of the snapshot; 0 if there is neither
	ioError  error // errors of the file system, joined; they fail the replay because the files may be intact

	files    []storedFile // snapshots and logs in the directory, ordered by number
	lastLog  uint64       // number of the last replayed log; 0 if there is none
	checksum uint32       // checksum of the last replayed log record, or of the log's header
	snapshot storedFile   // the replayed snapshot; its name is empty if there is none
	used     []storedFile // files from which the table was rebuilt
}

// run replays the newest complete snapshot and the logs that continue it without a gap.
func (r *replay) run() error {
	names, err := r.fsys.List(r.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if kind, number, ok := parseName(name); ok {
			r.files = append(r.files, storedFile{name: name, kind: kind, number: number})
		}
	}
	slices.SortFunc(r.files, func(a, b storedFile) int { return cmp.Compare(a.number, b.number) })
	r.report.Files = len(r.files)
	r.readSnapshots()
	r.readLogs()
	r.report.Entries = r.table.Len()
	return r.ioError
}

// trackedFile is an open file that records read errors of the file system, so that they can be told apart from damage.
type trackedFile struct {
	io.ReadCloser
	ioError error
}

func (f *trackedFile) Read(b []byte) (int, error) {
	n, err := f.ReadCloser.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		f.ioError = err
	}
	return n, err
}

// open opens a file of the directory and returns its size in bytes.
func (r *replay) open(file storedFile) (*trackedFile, int64, error) {
	in, size, err := r.fsys.Open(filepath.Join(r.dir, file.name))
	if err != nil {
		r.recordIOError(err)
		return nil, 0, err
	}
	return &trackedFile{ReadCloser: in}, size, nil
}

// close closes a file and records its read error, if there was one.
func (r *replay) close(f *trackedFile) {
	_ = f.Close()
	r.recordIOError(f.ioError)
}

// recordIOError adds an error of the file system to ioError, unless salvage is set or the error is that the file no longer
// exists.
func (r *replay) recordIOError(err error) {
	if err != nil && !r.salvage && !errors.Is(err, fs.ErrNotExist) {
		r.ioError = errors.Join(r.ioError, err)
	}
}

// readSnapshots rebuilds the table from the newest snapshot that can be read completely.
func (r *replay) readSnapshots() {
	for _, file := range slices.Backward(r.files) {
		if file.kind != kindSnapshot {
			continue
		}
		table := NewTable()
		seq, size, err := r.readSnapshot(file, table)
		if err != nil {
			r.reportDamage(file, err)
			continue
		}
		file.size = size
		r.table, r.sequence, r.snapshot = table, seq, file
		r.used = append(r.used, file)
		return
	}
}

func (r *replay) readSnapshot(file storedFile, table *Table) (seq, size int64, err error) {
	in, size, err := r.open(file)
	if err != nil {
		return 0, 0, err
	}
	defer r.close(in)
	records, h, err := newRecordReader(in)
	if err != nil {
		return 0, 0, err
	}
	if h.kind != kindSnapshot || h.number != file.number {
		return 0, 0, corrupt("header does not match the file name")
	}
	for count := int64(0); ; count++ {
		c, err := records.next()
		switch {
		case errors.Is(err, io.EOF):
			return 0, 0, corrupt("snapshot has no end record")
		case err != nil:
			return 0, 0, err
		case c.operation == opPut:
			table.Put(c.entry)
		case c.operation == opEnd && c.number == count:
			return h.seq, size, nil
		default:
			return 0, 0, corrupt("unexpected record")
		}
	}
}

// readLogs applies the logs that continue the snapshot, in ascending order of their numbers.
func (r *replay) readLogs() {
	for _, file := range r.files {
		if file.kind == kindLog && file.number >= r.snapshot.number {
			if err := r.readLog(file); err != nil {
				r.reportDamage(file, err)
			}
		}
	}
}

func (r *replay) readLog(file storedFile) error {
	in, size, err := r.open(file)
	if err != nil {
		return err
	}
	defer r.close(in)
	records, h, err := newRecordReader(in)
	if err != nil {
		return err
	}
	if h.kind != kindLog || h.number != file.number {
		return corrupt("header does not match the file name")
	}
	if !r.continues(h) {
		return corrupt("log does not continue the last readable record")
	}
	if h.base {
		r.reset()
	}
	file.size = size
	r.used = append(r.used, file)
	r.lastLog = file.number
	for {
		r.checksum = records.checksum
		c, err := records.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		r.apply(c)
	}
}

// continues reports whether the log with the given header follows the last replayed record without a gap.
func (r *replay) continues(h header) bool {
	switch {
	case h.base:
		return true
	case r.lastLog != 0:
		return h.previous == r.lastLog && h.sum == r.checksum
	}
	return r.snapshot.name != "" && h.number == r.snapshot.number
}

// reset discards the replayed state before a log whose header has base set. Files older than such a log could neither be read
// nor removed when the log was created.
func (r *replay) reset() {
	r.table = NewTable()
	r.sequence = 0
	r.used = nil
	r.snapshot = storedFile{}
}

func (r *replay) apply(c change) {
	switch c.operation {
	case opPut:
		r.table.Put(c.entry)
	case opDelete:
		r.table.Delete(c.entry.Host)
	case opCommit:
		r.sequence = c.number
	}
}

func (r *replay) reportDamage(file storedFile, err error) {
	if errors.Is(err, errNewer) {
		r.report.Newer++
		return
	}
	r.report.Damage = append(r.report.Damage, &FileError{Name: file.name, Err: err})
}

// removeUnused removes the store's files from which the table was not rebuilt, including unfinished snapshots.
func (r *replay) removeUnused() error {
	names, err := r.fsys.List(r.dir)
	if err != nil {
		return err
	}
	var failures []error
	for _, name := range names {
		useful := slices.ContainsFunc(r.used, func(f storedFile) bool { return f.name == name })
		if isStoreFile(name) && !useful {
			failures = append(failures, r.fsys.Remove(filepath.Join(r.dir, name)))
		}
	}
	return errors.Join(failures...)
}

// highestNumber returns the highest number of the snapshots and logs in the directory, or 0 if there are none.
func (r *replay) highestNumber() uint64 {
	if len(r.files) == 0 {
		return 0
	}
	return r.files[len(r.files)-1].number
}

// nextLog returns the header of the log that continues the replayed files. If nothing was replayed, the log starts from an empty
// table.
func (r *replay) nextLog() header {
	h := header{kind: kindLog, number: r.highestNumber() + 1}
	switch {
	case r.lastLog != 0:
		h.previous = r.lastLog
		h.sum = r.checksum
	case r.snapshot.name != "":
		h.number = r.snapshot.number
	default:
		h.base = true
	}
	return h
}
