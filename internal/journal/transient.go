package journal

import (
	"errors"
	"slices"
	"syscall"
)

// transientErrors are those of a file system that may be over in a moment. Others say that a folder is not what it should be.
var transientErrors = []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.EINTR, syscall.EAGAIN, syscall.EBUSY, syscall.ENFILE,
	syscall.EMFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.ENOLCK, syscall.ETIMEDOUT, syscall.ESTALE}

// IsTransient tells whether what failed with an error may succeed a moment later.
func IsTransient(err error) bool {
	errno := syscall.Errno(0)
	return errors.As(err, &errno) && slices.Contains(transientErrors, errno)
}
