package journal

import (
	"errors"
	"slices"
	"syscall"
)

// transientErrors are the file system errors that may clear without intervention. Any other error means that the directory
// is unusable.
var transientErrors = []syscall.Errno{
	syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.EINTR, syscall.EAGAIN, syscall.EBUSY, syscall.ENFILE,
	syscall.EMFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.ENOLCK, syscall.ETIMEDOUT, syscall.ESTALE,
}

// IsTransient reports whether the operation that returned err may succeed a moment later.
func IsTransient(err error) bool {
	errno := syscall.Errno(0)
	return errors.As(err, &errno) && slices.Contains(transientErrors, errno)
}
