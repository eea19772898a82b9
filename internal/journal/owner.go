package journal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// lockName is the file in the folder whose lock says which process owns the journal and the decisions.
const lockName = "owner"

// Ownership is the right to the folder. It is a lock that the system takes back when the process ends in whatever
// way, so no owner is ever left behind.
type Ownership struct{ file *os.File }

// OwnedError says that another process owns a state directory.
type OwnedError struct {
	Dir string
}

func (e *OwnedError) Error() string { return "another process owns the state directory " + e.Dir }

// AcquireOwnership makes this process the owner of a state directory. It returns an *OwnedError where another process is.
func AcquireOwnership(dir string) (*Ownership, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("owner of the state directory: %w", err)
	}
	err = uninterrupted(func() error { return syscall.FcntlFlock(f.Fd(), syscall.F_SETLK, lock()) })
	if err == nil {
		return &Ownership{f}, nil
	}
	_ = f.Close()
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EACCES) {
		return nil, &OwnedError{Dir: dir}
	}
	return nil, fmt.Errorf("owner of the state directory: %w", err)
}

// Release gives the folder up.
func (o *Ownership) Release() { _ = o.file.Close() }

// TerminateOwner ends the process that owns the folder, by a signal that it can't ignore: one that neither hands over nor
// ends might wake up later and write over the next one's journal.
func TerminateOwner(dir string) error {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	l := lock()
	if err := uninterrupted(func() error { return syscall.FcntlFlock(f.Fd(), syscall.F_GETLK, l) }); err != nil {
		return err
	}
	// The system names the holder as this process sees it, or as 0 or below if it can't see it.
	if l.Type == syscall.F_UNLCK || l.Pid <= 1 || int(l.Pid) == os.Getpid() {
		return nil
	}
	return syscall.Kill(int(l.Pid), syscall.SIGKILL)
}

// IsOwned tells whether a process owns a folder, and changes nothing.
func IsOwned(dir string) (bool, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR, 0)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("owner of the state directory: %w", err)
	}
	defer f.Close()
	l := lock()
	if err := uninterrupted(func() error { return syscall.FcntlFlock(f.Fd(), syscall.F_GETLK, l) }); err != nil {
		return false, fmt.Errorf("owner of the state directory: %w", err)
	}
	return l.Type != syscall.F_UNLCK, nil
}

// uninterrupted makes a system call again as long as a signal interrupts it.
func uninterrupted(call func() error) error {
	for {
		if err := call(); !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

func lock() *syscall.Flock_t { return &syscall.Flock_t{Type: syscall.F_WRLCK, Whence: io.SeekStart} }
