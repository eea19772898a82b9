// Package resource tells failures of this machine from failures of a peer.
package resource

import (
	"errors"
	"slices"
	"syscall"
)

// remoteErrors are the errors of connect(2) that come from the peer or the network. All others are local.
var remoteErrors = []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
	syscall.EHOSTDOWN}

// exhaustionErrors say that this process or the machine has too little of something, or that its disk fails.
var exhaustionErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EIO}

// IsLocalFailure reports whether a connection attempt failed on this machine: for want of descriptors, ports, kernel memory or
// a route. Nothing was sent then, and the error tells nothing about the peer.
func IsLocalFailure(err error) bool {
	errno := syscall.Errno(0)
	return errors.As(err, &errno) && !slices.Contains(remoteErrors, errno)
}

// IsExhausted reports whether an operation failed since a resource of this process or machine is exhausted.
func IsExhausted(err error) bool {
	errno := syscall.Errno(0)
	return errors.As(err, &errno) && slices.Contains(exhaustionErrors, errno)
}

// IsSystemError reports whether a system call failed, as opposed to an argument that makes no sense.
func IsSystemError(err error) bool { return errors.As(err, new(syscall.Errno)) }
