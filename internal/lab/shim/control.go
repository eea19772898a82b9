package shim

import (
	"encoding/binary"
	"fmt"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Variable is the environment variable that names the control file.
const Variable = "LAB_SHIM"

// Call is a system call that can be made to fail, by its index in the control file.
type Call int

// The system calls. Those on files affect only files in the relay's state directory.
const (
	Accept Call = iota
	Socket
	Connect
	Bind
	Open
	Read
	Write
	Sync
	Rename
	Truncate
	ShortWrite // a file write that writes only the first half
	Receive    // a read from a connection
	Send       // a write to a connection
)

var callNames = [...]string{"accept", "socket", "connect", "bind", "open", "read", "write", "sync", "rename", "truncate", "short-write", "receive", "send"}

// ParseCall returns the call with a name, such as "accept".
func ParseCall(name string) (Call, error) {
	for i, known := range callNames {
		if known == name {
			return Call(i), nil
		}
	}
	return 0, fmt.Errorf("unknown system call %q, want one of %v", name, callNames)
}

// ParseErrno returns the error number with a name, such as "ENFILE".
func ParseErrno(name string) (syscall.Errno, error) {
	for e := syscall.Errno(1); e < maxErrno; e++ {
		if unix.ErrnoName(e) == name {
			return e, nil
		}
	}
	return 0, fmt.Errorf("unknown error number %q, want a name such as ENFILE", name)
}

// maxErrno is larger than every error number of Linux.
const maxErrno = 200

// The layout of a control file: an array of little-endian 64-bit integers, as syscall.txt reads it.
const (
	slotBytes    = 8
	wallSlot     = 0
	shortSlot    = 1
	callsSlot    = 2
	fileBytes    = 512
	unlimited    = -1
	slotsPerCall = 2
)

// Control is the control file of one relay, shared by all of its processes.
type Control struct{ path string }

// NewControl creates a control file with all faults off.
func NewControl(path string) (*Control, error) {
	return &Control{path}, os.WriteFile(path, make([]byte, fileBytes), 0o600)
}

// Path is the path of the control file, for the environment variable.
func (c *Control) Path() string { return c.path }

// StepWall steps the wall clock by a duration, which may be negative.
func (c *Control) StepWall(by time.Duration) error {
	old, err := c.get(wallSlot)
	if err != nil {
		return err
	}
	return c.set(wallSlot, old+int64(by))
}

// Fail makes the next count calls of a kind fail with an error; a negative count means all calls until Clear.
func (c *Control) Fail(call Call, errno syscall.Errno, count int) error {
	slot := callsSlot + slotsPerCall*int(call)
	if err := c.set(slot, int64(errno)); err != nil {
		return err
	}
	return c.set(slot+1, int64(count))
}

// FailAll makes all calls of a kind fail with an error until Clear.
func (c *Control) FailAll(call Call, errno syscall.Errno) error {
	return c.Fail(call, errno, unlimited)
}

// Clear ends the failures of a kind of call.
func (c *Control) Clear(call Call) error { return c.set(callsSlot+slotsPerCall*int(call)+1, 0) }

// SetShortTransfers switches short transfers on or off: each read or write moves one byte, and every second one is
// interrupted with EINTR.
func (c *Control) SetShortTransfers(on bool) error {
	if on {
		return c.set(shortSlot, 1)
	}
	return c.set(shortSlot, 0)
}

func (c *Control) get(slot int) (int64, error) {
	text, err := os.ReadFile(c.path)
	if err != nil {
		return 0, err
	}
	return int64(binary.LittleEndian.Uint64(text[slotBytes*slot:])), nil
}

// set writes one number. A process that has mapped the file sees it at once.
func (c *Control) set(slot int, value int64) error {
	file, err := os.OpenFile(c.path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = file.WriteAt(binary.LittleEndian.AppendUint64(nil, uint64(value)), int64(slotBytes*slot))
	return err
}
