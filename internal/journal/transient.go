package journal

import (
	"errors"
	"slices"
	"syscall"
)

// transientErrors are the errors of a file system that may go away by themselves. All others mean that the directory is
// not usable.
var transientErrors = []syscall.Errno{
	syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.EINTR, syscall.EAGAIN, syscall.EBUSY, syscall.ENFILE,
	syscall.EMFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.ENOLCK, syscall.ETIMEDOUT, syscall.ESTALE,
}

// IsTransient reports whether the operation that returned err may succeed a moment later.
func IsTransient(err error) bool {
	errno := syscall.Errno(0)
	return errors.As(err, &errno) && slices.Contains(transientErrors, errno)
}
