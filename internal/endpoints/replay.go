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

// LoadReport says what a store has found in its folder.
type LoadReport struct {
	Entries int     // in the table that Open gives
	Files   int     // snapshots and logs
	Newer   int     // files of a newer version, which are ignored and removed
	Damage  []error // one for each file of which some or all could not be used
}

// storedFile is a snapshot or a log in the folder.
type storedFile struct {
	name   string
	kind   byte
	number uint64
	size   int64
}

// replay is the reading of a folder.
type replay struct {
	dir     string
	fsys    journal.FS
	salvage bool // what the file system fails to read counts as damaged
	table   *Table
	found   LoadReport
	seq     int64
	failure error // of the file system, which says nothing of what the files hold

	files    []storedFile // by number
	last     uint64       // the last log that was replayed, 0 for none
	sum      uint32       // at the end of what was replayed of it
	snapshot storedFile   // that was replayed; its name is empty if none was
	useful   []storedFile // that hold what the table now holds
}

// run reads the newest snapshot that is whole, and the logs that continue it without a gap.
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
	r.found.Files = len(r.files)
	r.readSnapshots()
	r.readLogs()
	r.found.Entries = r.table.Len()
	return r.failure
}

// reading is a file that is being read. It keeps the error of the file system that ended that.
type reading struct {
	io.ReadCloser
	err error
}

func (f *reading) Read(b []byte) (int, error) {
	n, err := f.ReadCloser.Read(b)
	if err != nil && err != io.EOF {
		f.err = err
	}
	return n, err
}

// open opens a file of the folder.
func (r *replay) open(file storedFile) (*reading, int64, error) {
	in, size, err := r.fsys.Open(filepath.Join(r.dir, file.name))
	if err != nil {
		r.failed(err)
		return nil, 0, err
	}
	return &reading{ReadCloser: in}, size, nil
}

// close closes a file that was read.
func (r *replay) close(f *reading) {
	_ = f.Close()
	r.failed(f.err)
}

// failed notes that the file system failed.
func (r *replay) failed(err error) {
	if err != nil && !r.salvage && !errors.Is(err, fs.ErrNotExist) {
		r.failure = errors.Join(r.failure, err)
	}
}

// readSnapshots fills the table from the newest snapshot that is whole.
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
		r.table, r.seq, r.snapshot = table, seq, file
		r.useful = append(r.useful, file)
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
		return 0, 0, corrupt("header of another file")
	}
	for count := int64(0); ; count++ {
		c, err := records.next()
		switch {
		case err == io.EOF:
			return 0, 0, corrupt("no end")
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

// readLogs applies the logs that continue what has been read.
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
		return corrupt("header of another file")
	}
	if !r.continues(h) {
		return corrupt("does not continue what could be read")
	}
	if h.base {
		r.restart()
	}
	file.size = size
	r.useful = append(r.useful, file)
	r.last = file.number
	for {
		r.sum = records.sum
		c, err := records.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		r.apply(c)
	}
}

// continues tells whether a log begins where what was read so far ends.
func (r *replay) continues(h header) bool {
	switch {
	case h.base:
		return true
	case r.last != 0:
		return h.previous == r.last && h.sum == r.sum
	}
	return r.snapshot.name != "" && h.number == r.snapshot.number
}

// restart forgets what was read: a log says that there was nothing before it. What is older could not be read when the
// log was begun, nor be removed.
func (r *replay) restart() {
	r.table = NewTable()
	r.seq = 0
	r.useful = nil
	r.snapshot = storedFile{}
}

func (r *replay) apply(c change) {
	switch c.operation {
	case opPut:
		r.table.Put(c.entry)
	case opDelete:
		r.table.Delete(c.entry.Host)
	case opCommit:
		r.seq = c.number
	}
}

func (r *replay) reportDamage(file storedFile, err error) {
	if errors.Is(err, errNewer) {
		r.found.Newer++
		return
	}
	r.found.Damage = append(r.found.Damage, &FileError{Name: file.name, Err: err})
}

// tidy removes the files that were of no use.
func (r *replay) tidy() error {
	names, err := r.fsys.List(r.dir)
	if err != nil {
		return err
	}
	var failures []error
	for _, name := range names {
		useful := slices.ContainsFunc(r.useful, func(f storedFile) bool { return f.name == name })
		if ours(name) && !useful {
			failures = append(failures, r.fsys.Remove(filepath.Join(r.dir, name)))
		}
	}
	return errors.Join(failures...)
}

// highest is the highest number of a file in the folder.
func (r *replay) highest() uint64 {
	if len(r.files) == 0 {
		return 0
	}
	return r.files[len(r.files)-1].number
}

// nextLog gives the header of the log that continues what was read.
func (r *replay) nextLog() header {
	h := header{kind: kindLog, number: r.highest() + 1}
	switch {
	case r.last != 0:
		h.previous = r.last
		h.sum = r.sum
	case r.snapshot.name != "":
		h.number = r.snapshot.number
	default:
		h.base = true
	}
	return h
}
