// Package socket looks at the receive buffers of connections without reading from them.
package socket

import (
	"cmp"
	"errors"
	"io"
	"net"
	"syscall"
)

// HasUnread reports whether bytes wait to be read from a connection.
func HasUnread(c net.Conn) bool { return peek(c) == nil }

// IsQuiet reports whether a connection is open and has nothing to read.
func IsQuiet(c net.Conn) bool { return errors.Is(peek(c), syscall.EAGAIN) }

// peek looks for a byte to read. It returns EAGAIN where none has come yet, and io.EOF where none will come.
func peek(c net.Conn) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var seen error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if seen = err; err == nil && n == 0 {
			seen = io.EOF
		}
	})
	return cmp.Or(err, seen)
}
