// Package socket inspects connections and their receive buffers without consuming data.
package socket

import (
	"cmp"
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether received bytes wait to be read from a connection.
func HasUnread(c net.Conn) bool { return peek(c) == nil }

// IsQuiet reports whether a connection is open and has no received bytes to read.
func IsQuiet(c net.Conn) bool { return errors.Is(peek(c), syscall.EAGAIN) }

// The states of a TCP connection, as Linux numbers them, in which the peer has closed it.
const (
	stateClosed    = 7 // the peer has reset the connection
	stateCloseWait = 8 // the peer has closed its sending side
)

// ClosedByPeer reports whether the peer has closed or reset a connection, even if received bytes wait to be read. It reports false
// where the system does not tell.
func ClosedByPeer(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == stateClosed || info.State == stateCloseWait)
	})
	return err == nil && closed
}

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
