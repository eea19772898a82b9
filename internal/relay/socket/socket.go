// Package socket inspects the receive buffers of connections without consuming data.
package socket

import (
	"cmp"
	"errors"
	"io"
	"net"
	"syscall"
)

// HasUnread reports whether received bytes wait to be read from a connection.
func HasUnread(c net.Conn) bool { return peek(c) == nil }

// IsQuiet reports whether a connection is open and has no received bytes to read.
func IsQuiet(c net.Conn) bool { return errors.Is(peek(c), syscall.EAGAIN) }

// peek checks for a byte to read, without consuming it or blocking. It returns nil if there is one, EAGAIN if none has arrived
// yet, and io.EOF if the peer has closed its sending side.
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
