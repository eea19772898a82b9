package rollout

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"milletsail/internal/atomicfile"
)

// Store is a rollout's records on disk, and the right to add to them. Each controller that takes over writes a file of
// its own, named by its fencing number, which begins with all records before it: one that was stopped and wakes again
// can't spoil what came after it, and agents no longer obey its number.
type Store struct {
	dir     string
	token   uint64
	file    *os.File
	records []Record
}

// ErrSuperseded says that a later controller has taken over.
var ErrSuperseded = errors.New("a later controller has taken over")

// ErrLeaseHeld says that another controller is at work.
var ErrLeaseHeld = errors.New("another controller is at work")

const (
	logPrefix = "rollout."
	// leaseDuration is how long a controller counts as at work since it last said so.
	leaseDuration = 5 * time.Second
	leaseName     = "lease"
)

// OpenStore takes over a folder's records. While another controller's lease runs that is refused, unless force is set:
// then it is obeyed no more. A torn last record is dropped; one that is damaged anywhere else is an error with its place.
func OpenStore(dir string, now time.Time, force bool) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	if at, err := os.Stat(filepath.Join(dir, leaseName)); err == nil && now.Sub(at.ModTime()) < leaseDuration && !force {
		return nil, ErrLeaseHeld
	}
	s := &Store{dir: dir}
	last, err := s.lastToken()
	if err != nil {
		return nil, err
	}
	if last > 0 {
		if s.records, err = readRecords(s.path(last)); err != nil {
			return nil, err
		}
	}
	s.token = last + 1
	// Whoever makes the file has the number: of two that try at once, one fails.
	next := s.path(s.token) + ".new"
	if s.file, err = os.OpenFile(next, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600); err != nil {
		if errors.Is(err, fs.ErrExist) { // of one that died here
			_ = os.Remove(next)
			s.file, err = os.OpenFile(next, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
		}
		if err != nil {
			return nil, err
		}
	}
	for _, r := range s.records {
		if err := s.write(r); err != nil {
			return nil, errors.Join(err, s.file.Close())
		}
	}
	if err := errors.Join(s.file.Sync(), os.Link(next, s.path(s.token)), os.Remove(next)); err != nil {
		_ = s.file.Close()
		if errors.Is(err, fs.ErrExist) {
			return nil, ErrLeaseHeld
		}
		return nil, err
	}
	if err := errors.Join(atomicfile.SyncDir(dir), s.RenewLease()); err != nil {
		return nil, errors.Join(err, s.file.Close())
	}
	return s, nil
}

func (s *Store) path(fence uint64) string {
	return filepath.Join(s.dir, logPrefix+strconv.FormatUint(fence, 10))
}

// lastToken is the highest fencing number that was given.
func (s *Store) lastToken() (last uint64, err error) {
	entries, err := os.ReadDir(s.dir)
	for _, e := range entries {
		if n, ok := strings.CutPrefix(e.Name(), logPrefix); ok {
			if fence, err := strconv.ParseUint(n, 10, 64); err == nil {
				last = max(last, fence)
			}
		}
	}
	return last, err
}

// FencingToken is the number by which agents know the latest controller.
func (s *Store) FencingToken() uint64 { return s.token }

// Records are all records, the oldest first.
func (s *Store) Records() []Record { return s.records }

// RenewLease says that the controller is at work, and fails where a later one is.
func (s *Store) RenewLease() error {
	last, err := s.lastToken()
	if err != nil {
		return err
	}
	if last > s.token {
		return ErrSuperseded
	}
	return os.WriteFile(filepath.Join(s.dir, leaseName), []byte(strconv.FormatUint(s.token, 10)+"\n"), 0o600)
}

// Append writes a record, and returns once it is on disk.
func (s *Store) Append(r Record) error {
	if err := s.RenewLease(); err != nil {
		return err
	}
	if err := s.write(r); err != nil {
		return err
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	s.records = append(s.records, r)
	return nil
}

func (s *Store) write(r Record) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.file, "%08x %s\n", crc32.Checksum(text, castagnoli), text)
	return err
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Close gives the records up: the next controller need not wait for the lease.
func (s *Store) Close() error {
	last, err := s.lastToken()
	if err == nil && last == s.token {
		err = os.Remove(filepath.Join(s.dir, leaseName))
	}
	return errors.Join(err, s.file.Close())
}

// ReadStore reads a folder's records without taking over.
func ReadStore(dir string) ([]Record, error) {
	s := &Store{dir: dir}
	last, err := s.lastToken()
	if err != nil || last == 0 {
		return nil, err
	}
	return readRecords(s.path(last))
}

// readRecords reads the records of one file.
func readRecords(path string) (all []Record, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	in := bufio.NewScanner(bytes.NewReader(text))
	in.Buffer(nil, max(1<<20, len(text)+1))
	whole := len(text) == 0 || text[len(text)-1] == '\n'
	lines := bytes.Count(text, []byte("\n"))
	for n := 1; in.Scan(); n++ {
		sum, line, _ := strings.Cut(in.Text(), " ")
		var r Record
		want, err := strconv.ParseUint(sum, 16, 32)
		if err == nil && uint32(want) != crc32.Checksum([]byte(line), castagnoli) {
			err = errors.New("the checksum does not match")
		}
		if err == nil {
			err = json.Unmarshal([]byte(line), &r)
		}
		if err != nil {
			if n > lines && !whole {
				break // the record that was being written
			}
			return nil, fmt.Errorf("%s:%d: %w", path, n, err)
		}
		all = append(all, r)
	}
	return all, in.Err()
}

// orders are written beside the records by commands, and taken in by the controller at work.
const orderName = "order"

// Orders that operators may give.
const (
	OrderPause    = "pause"
	OrderResume   = "resume"
	OrderAbort    = "abort"
	OrderRollback = "rollback"
)

// Order is one of them; a resume may bring a changed plan.
type Order struct {
	Action string `json:"what"`
	Plan   *Plan  `json:"plan,omitempty"`
}

// SubmitOrder leaves an order for the controller at work, or for the next one.
func SubmitOrder(dir string, o Order) error {
	if !slices.Contains([]string{OrderPause, OrderResume, OrderAbort, OrderRollback}, o.Action) {
		return fmt.Errorf("%q is no order", o.Action)
	}
	text, err := json.Marshal(o)
	if err != nil {
		return err
	}
	return atomicfile.Replace(filepath.Join(dir, orderName), text)
}

// receiveOrder takes the order that was left, if there is one.
func receiveOrder(dir string) (*Order, error) {
	path := filepath.Join(dir, orderName)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var o Order
	if err := json.Unmarshal(text, &o); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), os.Remove(path))
	}
	return &o, os.Remove(path)
}
