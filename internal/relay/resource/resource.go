// Package resource classifies system errors: failures of this machine, of a peer, and lack of resources.
package resource

import (
	"errors"
	"slices"
	"syscall"
)

// remoteErrors are the errors of connect(2) that the peer or the network causes. All other errors of connect(2) are local.
var remoteErrors = []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
	syscall.EHOSTDOWN}

// exhaustionErrors are the errors that report a lack of descriptors or memory, or a failure of the disk (EIO).
var exhaustionErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EIO}

// IsLocalFailure reports whether a connection attempt failed on this machine, for lack of descriptors, ports, kernel memory or a
// route. In that case nothing was sent, and the error says nothing about the health of the peer.
func IsLocalFailure(err error) bool {
	errno := syscall.Errno(0)
	return errors.As(err, &errno) && !slices.Contains(remoteErrors, errno)
}

// IsExhausted reports whether an operation failed because a resource of this process or machine is exhausted, or because of an
// I/O error of its disk.
func IsExhausted(err error) bool {
	errno := syscall.Errno(0)
	return errors.As(err, &errno) && slices.Contains(exhaustionErrors, errno)
}

// IsSystemError reports whether a system call failed, as opposed to an error of another kind such as an invalid address.
func IsSystemError(err error) bool { return errors.As(err, new(syscall.Errno)) }
