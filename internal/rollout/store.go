package rollout

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"milletsail/internal/atomicfile"
)

// Store holds the records of a rollout on disk. Each controller that takes over a directory gets the next fencing token and
// writes a file of its own, which begins with a copy of all earlier records. A superseded controller that is still running can
// therefore not change the records of the later one, and agents reject its token.
type Store struct {
	dir     string
	token   uint64
	file    *os.File
	records []Record
}

// ErrSuperseded is the error for a controller after a later one has taken over.
var ErrSuperseded = errors.New("a later controller has taken over")

// ErrLeaseHeld is the error for taking over a directory while another controller holds the lease.
var ErrLeaseHeld = errors.New("another controller holds the lease")

const (
	// recordsPrefix begins the name of a record file; the fencing token of the controller that writes the file follows.
	recordsPrefix = "rollout."
	// leaseName is the name of the lease file. The lease counts from the time of the file's last modification.
	leaseName = "lease"
	// leaseDuration is how long a lease lasts after a renewal. A controller renews it with each record that it appends.
	leaseDuration = 5 * time.Second
)

// OpenStore takes over the records in a directory, which it creates if needed. It returns ErrLeaseHeld while another controller
// holds the lease, unless force is set, and a *CorruptRecordError if a record other than an incomplete last one can't be decoded.
func OpenStore(dir string, now time.Time, force bool) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	lease, err := os.Stat(filepath.Join(dir, leaseName))
	if err == nil && now.Sub(lease.ModTime()) < leaseDuration && !force {
		return nil, ErrLeaseHeld
	}
	store := &Store{dir: dir}
	last, err := store.lastToken()
	if err != nil {
		return nil, err
	}
	if last > 0 {
		if store.records, err = readRecords(store.path(last)); err != nil {
			return nil, err
		}
	}
	store.token = last + 1
	if err := store.createFile(); err != nil {
		return nil, err
	}
	if err := errors.Join(atomicfile.SyncDir(dir), store.RenewLease()); err != nil {
		return nil, errors.Join(err, store.file.Close())
	}
	return store, nil
}

// createFile creates the record file of the store's token with a copy of the earlier records. os.Link fails if the file exists, so
// that only one of two controllers that take over at the same time succeeds, and the other gets ErrLeaseHeld.
func (s *Store) createFile() (err error) {
	temporary := s.path(s.token) + ".new"
	if s.file, err = createExclusive(temporary); err != nil {
		return err
	}
	for _, record := range s.records {
		if err := writeRecord(s.file, record); err != nil {
			return errors.Join(err, s.file.Close())
		}
	}
	err = errors.Join(s.file.Sync(), os.Link(temporary, s.path(s.token)), os.Remove(temporary))
	if err == nil {
		return nil
	}
	_ = s.file.Close()
	if errors.Is(err, fs.ErrExist) {
		return ErrLeaseHeld
	}
	return err
}

// createExclusive creates a file. An existing file was left by a controller that crashed while it took over, and is replaced.
func createExclusive(path string) (*os.File, error) {
	const flags = os.O_WRONLY | os.O_CREATE | os.O_EXCL
	file, err := os.OpenFile(path, flags, 0o600)
	if errors.Is(err, fs.ErrExist) {
		_ = os.Remove(path) // a failure shows in the next call
		file, err = os.OpenFile(path, flags, 0o600)
	}
	return file, err
}

// path returns the path of the record file of a fencing token.
func (s *Store) path(token uint64) string {
	return filepath.Join(s.dir, recordsPrefix+strconv.FormatUint(token, 10))
}

// lastToken returns the latest fencing token that has a record file, or 0 if there is none.
func (s *Store) lastToken() (last uint64, err error) {
	entries, err := os.ReadDir(s.dir)
	for _, entry := range entries {
		suffix, ok := strings.CutPrefix(entry.Name(), recordsPrefix)
		if !ok {
			continue
		}
		if token, err := strconv.ParseUint(suffix, 10, 64); err == nil {
			last = max(last, token)
		}
	}
	return last, err
}

// FencingToken returns the fencing token of this store. Agents reject requests with an earlier token than the latest one they saw.
func (s *Store) FencingToken() uint64 { return s.token }

// Records returns all records, the oldest first.
func (s *Store) Records() []Record { return s.records }

// RenewLease extends the lease to leaseDuration from now. It returns ErrSuperseded if a later controller has taken over.
func (s *Store) RenewLease() error {
	last, err := s.lastToken()
	if err != nil {
		return err
	}
	if last > s.token {
		return ErrSuperseded
	}
	text := strconv.FormatUint(s.token, 10) + "\n"
	return os.WriteFile(filepath.Join(s.dir, leaseName), []byte(text), 0o600)
}

// Append renews the lease, writes a record, and returns when the record is on disk. It returns ErrSuperseded if a later controller
// has taken over.
func (s *Store) Append(record Record) error {
	if err := s.RenewLease(); err != nil {
		return err
	}
	if err := writeRecord(s.file, record); err != nil {
		return err
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	s.records = append(s.records, record)
	return nil
}

// Close closes the record file and releases the lease, so that the next controller need not wait until it expires.
func (s *Store) Close() error {
	last, err := s.lastToken()
	if err == nil && last == s.token {
		err = os.Remove(filepath.Join(s.dir, leaseName))
	}
	return errors.Join(err, s.file.Close())
}

// ReadStore returns the records in a directory without taking it over; none if there is no rollout.
func ReadStore(dir string) ([]Record, error) {
	s := &Store{dir: dir}
	last, err := s.lastToken()
	if err != nil || last == 0 {
		return nil, err
	}
	return readRecords(s.path(last))
}
