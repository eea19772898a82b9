package shim

import (
	"encoding/binary"
	"fmt"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Variable is the environment variable that names a program's control file.
const Variable = "LAB_SHIM"

// Call is a system call that can be made to fail, by its place in the control file.
type Call int

// The system calls. Those of files concern the files of the relay's folder alone.
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
	ShortWrite // a write of which half is written
	Receive    // a read of a connection
	Send       // a write to one
)

var callNames = [...]string{"accept", "socket", "connect", "bind", "open", "read", "write", "sync", "rename", "truncate", "short-write", "receive", "send"}

// ParseCall gives the call of a name, such as "accept".
func ParseCall(name string) (Call, error) {
	for i, known := range callNames {
		if known == name {
			return Call(i), nil
		}
	}
	return 0, fmt.Errorf("%q is none of %v", name, callNames)
}

// ParseErrno gives the error number of a name, such as "ENFILE".
func ParseErrno(name string) (syscall.Errno, error) {
	for e := syscall.Errno(1); e < maxErrno; e++ {
		if unix.ErrnoName(e) == name {
			return e, nil
		}
	}
	return 0, fmt.Errorf("%q is no error number", name)
}

// maxErrno is above every error number of Linux.
const maxErrno = 200

// The layout of a control file: numbers of 8 bytes, as syscall.txt reads them.
const (
	slotBytes    = 8
	wallSlot     = 0
	shortSlot    = 1
	callsSlot    = 2
	fileBytes    = 512
	unlimited    = -1
	slotsPerCall = 2
)

// Control is the control file of one program, over all of its processes.
type Control struct{ path string }

// NewControl makes a control file under which a program behaves as any other.
func NewControl(path string) (*Control, error) {
	return &Control{path}, os.WriteFile(path, make([]byte, fileBytes), 0o600)
}

// Path is the file, for the program's environment.
func (c *Control) Path() string { return c.path }

// StepWall moves the wall clock of the program on, or back, by a span.
func (c *Control) StepWall(by time.Duration) error {
	old, err := c.get(wallSlot)
	if err != nil {
		return err
	}
	return c.set(wallSlot, old+int64(by))
}

// Fail has the next calls of a kind fail with an error; count below 0 for all until Clear.
func (c *Control) Fail(call Call, errno syscall.Errno, count int) error {
	slot := callsSlot + slotsPerCall*int(call)
	if err := c.set(slot, int64(errno)); err != nil {
		return err
	}
	return c.set(slot+1, int64(count))
}

// FailAll has all calls of a kind fail until Clear.
func (c *Control) FailAll(call Call, errno syscall.Errno) error {
	return c.Fail(call, errno, unlimited)
}

// Clear has the calls of a kind go on as usual.
func (c *Control) Clear(call Call) error { return c.set(callsSlot+slotsPerCall*int(call)+1, 0) }

// Short has every transfer move one byte at a time and every second one be interrupted, or no longer.
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

// set writes one number. A program that has the file mapped sees it at once.
func (c *Control) set(slot int, value int64) error {
	file, err := os.OpenFile(c.path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = file.WriteAt(binary.LittleEndian.AppendUint64(nil, uint64(value)), int64(slotBytes*slot))
	return err
}
