package relay

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"milletsail/internal/instant"
)

// This file holds a connection to a host, and how an answer is read from it.

// conn is a connection to a host.
type conn struct {
	net.Conn
	limit *io.LimitedReader // what may still be read for the call
	in    *bufio.Reader     // reads from limit
	since instant.Time      // idle since
	call  context.Context   // of the call that the connection carries
	stall time.Duration     // bounds the silence before the next bytes; 0 for no bound
}

// Read gives up where the rest of an answer does not follow.
func (c *conn) Read(b []byte) (int, error) {
	if c.stall > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.stall))
		if err := c.call.Err(); err != nil { // its end may have set a deadline just before
			_ = c.SetReadDeadline(past)
		}
	}
	n, err := c.Conn.Read(b)
	for try := 0; n == 0 && try < arrivedTries && c.arrived(err); try++ {
		_ = c.SetReadDeadline(time.Now().Add(drainTime))
		n, err = c.Conn.Read(b)
	}
	return n, err
}

// arrivedTries bounds the reads of what has arrived: the end of the call may set its deadline once more beside each.
const arrivedTries = 3

// arrived tells whether a read has failed for the end of its call's time although there is something to read: a relay that
// was held up finds both at once, and the answer was there before.
func (c *conn) arrived(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && c.call != nil && errors.Is(c.call.Err(), context.DeadlineExceeded) && unread(c.Conn)
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// answer reads the answer to a request, past any interim ones. Where the rest of it can't be read, a first line
// that says 200 still gives a response, beside the error; for a call with one message it tells all that is needed.
func (c *conn) answer(single bool) (*http.Response, error) {
	c.limit.N = maxAnswer
	for range mostInterim {
		c.stall = 0 // a host may work for as long as the call lasts
		_ = c.SetReadDeadline(time.Time{})
		switch err := c.call.Err(); {
		case errors.Is(err, context.DeadlineExceeded):
			_ = c.SetReadDeadline(past) // only what has arrived counts
		case err != nil:
			return nil, err
		}
		if _, err := c.in.Peek(1); err != nil {
			return nil, err
		}
		c.stall = stallTime
		delivered := firstLine.Match(c.line())
		if delivered && single {
			c.stall = drainTime
		}
		resp, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
		if err != nil && delivered {
			return &http.Response{StatusCode: http.StatusOK}, err
		}
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, errors.New("too many interim answers")
}

// line waits for the line that is next, and gives it without taking it: with its end, unless that does not come or the
// line is longer than any of use.
func (c *conn) line() []byte {
	for n := 1; ; n = c.in.Buffered() + 1 {
		_, err := c.in.Peek(n)
		seen, _ := c.in.Peek(c.in.Buffered())
		if i := bytes.IndexByte(seen, '\n'); i >= 0 {
			return seen[:i+1]
		}
		if err != nil {
			return seen
		}
	}
}

// up tells whether an idle connection is open and has nothing to read: a host may close one at any time, and
// a request written after that would end as a reset, which may have run.
func (c *conn) up() bool { return peek(c.Conn) == syscall.EAGAIN }

// unread tells whether a connection has bytes that wait to be read.
func unread(c net.Conn) bool { return peek(c) == nil }

// peek looks for a byte to read and gives EAGAIN where there is none yet, io.EOF where none will come.
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
