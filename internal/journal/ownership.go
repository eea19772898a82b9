package journal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// lockName is the file whose POSIX record lock marks the process that owns a state directory.
const lockName = "owner"

// Ownership is the exclusive right to write to a state directory, held as a file lock. The kernel releases the lock when
// the process ends for any reason, so a directory is never left owned by a dead process.
type Ownership struct{ file *os.File }

// OwnedError reports that another process owns a state directory.
type OwnedError struct {
	Dir string
}

func (e *OwnedError) Error() string { return "another process owns the state directory " + e.Dir }

// AcquireOwnership makes this process the owner of a state directory. It returns an *OwnedError if another process
// owns the directory.
func AcquireOwnership(dir string) (*Ownership, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock file of the state directory: %w", err)
	}
	err = fcntlLock(f, syscall.F_SETLK, newWriteLock())
	if err == nil {
		return &Ownership{f}, nil
	}
	_ = f.Close() // the lock's error is returned instead
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EACCES) {
		return nil, &OwnedError{Dir: dir}
	}
	return nil, fmt.Errorf("lock state directory %s: %w", dir, err)
}

// Release gives up the ownership.
func (o *Ownership) Release() { _ = o.file.Close() } // closing a descriptor releases its locks even if it fails

// TerminateOwner kills the process that owns a state directory, by SIGKILL: a process that neither hands over nor exits
// might resume later and write over its successor's journal. It does nothing if no other process owns the directory.
func TerminateOwner(dir string) error {
	lock, err := conflictingLock(dir)
	if err != nil {
		return err
	}
	// The kernel returns the owner's PID in this process's namespace, or 0 or less if it is not visible there.
	if lock.Type == syscall.F_UNLCK || lock.Pid <= 1 || int(lock.Pid) == os.Getpid() {
		return nil
	}
	return syscall.Kill(int(lock.Pid), syscall.SIGKILL)
}

// IsOwned reports whether a process owns a state directory. It changes nothing.
func IsOwned(dir string) (bool, error) {
	lock, err := conflictingLock(dir)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("query the lock of state directory %s: %w", dir, err)
	}
	return lock.Type != syscall.F_UNLCK, nil
}

// conflictingLock returns the lock that another process holds on a state directory. The lock's type is F_UNLCK if no other
// process holds one.
func conflictingLock(dir string) (*syscall.Flock_t, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	lock := newWriteLock()
	err = fcntlLock(f, syscall.F_GETLK, lock)
	return lock, errors.Join(err, f.Close())
}

// fcntlLock calls fcntl with a lock, and repeats the call as long as a signal interrupts it.
func fcntlLock(f *os.File, command int, lock *syscall.Flock_t) error {
	for {
		err := syscall.FcntlFlock(f.Fd(), command, lock)
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// newWriteLock returns a request for an exclusive lock of a whole file.
func newWriteLock() *syscall.Flock_t {
	return &syscall.Flock_t{Type: syscall.F_WRLCK, Whence: io.SeekStart}
}
