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
// writes a file of its own, which starts with all records before: a controller that was superseded and goes on can't change
// the records of the later one, and agents reject its token.
type Store struct {
	dir     string
	token   uint64
	file    *os.File
	records []Record
}

// ErrSuperseded says that a later controller has taken over.
var ErrSuperseded = errors.New("a later controller has taken over")

// ErrLeaseHeld says that another controller holds the lease, as lease services (Chubby, Kubernetes) call it.
var ErrLeaseHeld = errors.New("another controller holds the lease")

const (
	// recordsPrefix and a fencing token are the name of a file of records.
	recordsPrefix = "rollout."
	// leaseName is the file of the lease. The lease counts from the time of its last modification.
	leaseName = "lease"
	// leaseDuration is how long a controller holds the lease after each renewal, which comes with each record.
	leaseDuration = 5 * time.Second
)

// OpenStore takes over the records in a directory. It returns ErrLeaseHeld while another controller holds the lease, unless
// force is set, and a *CorruptRecordError if a record other than a torn last one can't be decoded.
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

// createFile creates the file of the store's token with the records before. Link fails if the file exists, so that of two
// controllers which take over at once one gets ErrLeaseHeld.
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

// createExclusive creates a file. One that exists is of a controller that crashed while it took over, and is replaced.
func createExclusive(path string) (*os.File, error) {
	const flags = os.O_WRONLY | os.O_CREATE | os.O_EXCL
	file, err := os.OpenFile(path, flags, 0o600)
	if errors.Is(err, fs.ErrExist) {
		_ = os.Remove(path) // if it fails, so does the next line
		file, err = os.OpenFile(path, flags, 0o600)
	}
	return file, err
}

// path returns the file of a fencing token.
func (s *Store) path(token uint64) string {
	return filepath.Join(s.dir, recordsPrefix+strconv.FormatUint(token, 10))
}

// lastToken returns the latest fencing token, or 0 if there is none.
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

// FencingToken returns the token of this store, which agents compare with that of the latest controller.
func (s *Store) FencingToken() uint64 { return s.token }

// Records returns all records, the oldest first.
func (s *Store) Records() []Record { return s.records }

// RenewLease renews the lease, or returns ErrSuperseded if a later controller has taken over.
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

// Append writes a record and returns when it is on disk. It returns ErrSuperseded if a later controller has taken over.
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

// Close releases the lease, so that the next controller need not wait for its end.
func (s *Store) Close() error {
	last, err := s.lastToken()
	if err == nil && last == s.token {
		err = os.Remove(filepath.Join(s.dir, leaseName))
	}
	return errors.Join(err, s.file.Close())
}

// ReadStore returns the records in a directory without taking over; none if there is no rollout.
func ReadStore(dir string) ([]Record, error) {
	s := &Store{dir: dir}
	last, err := s.lastToken()
	if err != nil || last == 0 {
		return nil, err
	}
	return readRecords(s.path(last))
}
