package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"time"

	"milletsail/internal/instant"
	"milletsail/internal/relay/protocol"
	"milletsail/internal/relay/socket"
)

const (
	// responseStallTimeout is how long an endpoint may be silent in the middle of a response: no more of it is to be expected
	// then, and the call occupies a slot.
	responseStallTimeout = 500 * time.Millisecond
	// bodyDrainTimeout is how long the body of a response may take before its connection is given up.
	bodyDrainTimeout = 100 * time.Millisecond
	// maxResponseSize bounds the bytes of a response, head included: what an endpoint sends must not fill the memory.
	maxResponseSize = 2 * protocol.MaxBodySize
	// maxInterimResponses is how many 1xx responses may precede the final one.
	maxInterimResponses = 8
	// maxLateReads bounds the reads of what has arrived before a deadline: the end of the call may set its deadline once more
	// beside each.
	maxLateReads = 3
)

// okStatusLine is the status line of a response that says that a message was delivered. Without its line end it says
// nothing yet.
var okStatusLine = regexp.MustCompile(`^HTTP/1\.[01] 200(?: [^\r\n]*)?\r?\n$`)

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// errTooManyInterim says that an endpoint sends interim responses and no final one.
var errTooManyInterim = errors.New("too many interim responses")

// conn is a connection to an endpoint. It carries one call at a time, and belongs to that call's goroutine or to the pool.
type conn struct {
	net.Conn
	limited      *io.LimitedReader // what may still be read for the call
	reader       *bufio.Reader     // reads from limited
	idleSince    instant.Time
	callErr      func() error  // why the call that the connection carries has ended; nil before the first call
	stallTimeout time.Duration // bounds the silence before the next bytes; 0 for no bound
}

// newConn wraps a connection that carries no call yet.
func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.limited = &io.LimitedReader{R: c, N: maxResponseSize}
	c.reader = bufio.NewReader(c.limited)
	return c
}

// Read fails where the rest of a response does not follow in time.
func (c *conn) Read(b []byte) (int, error) {
	if c.stallTimeout > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.stallTimeout))
		if err := c.callErr(); err != nil { // its end may have set a deadline just before
			_ = c.SetReadDeadline(pastDeadline)
		}
	}
	n, err := c.Conn.Read(b)
	for attempt := 0; n == 0 && attempt < maxLateReads && c.arrivedInTime(err); attempt++ {
		_ = c.SetReadDeadline(time.Now().Add(bodyDrainTimeout))
		n, err = c.Conn.Read(b)
	}
	return n, err
}

// arrivedInTime reports whether a read has failed by the deadline of its call although there is something to read: a relay
// that was suspended finds both at once, and the response was there before.
func (c *conn) arrivedInTime(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && c.callErr != nil && errors.Is(c.callErr(), context.DeadlineExceeded) &&
		socket.HasUnread(c.Conn)
}

// readResponse reads the response to a request, past any interim ones. Where the rest of it can't be read, a status line
// that says 200 still gives a response, beside the error; for a call with one message it tells all that is needed.
func (c *conn) readResponse(single bool) (*http.Response, error) {
	c.limited.N = maxResponseSize
	for range maxInterimResponses {
		c.stallTimeout = 0 // an endpoint may work for as long as the call lasts
		_ = c.SetReadDeadline(time.Time{})
		switch err := c.callErr(); {
		case errors.Is(err, context.DeadlineExceeded):
			_ = c.SetReadDeadline(pastDeadline) // only what has arrived counts
		case err != nil:
			return nil, err
		}
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		c.stallTimeout = responseStallTimeout
		delivered := okStatusLine.Match(c.peekStatusLine())
		if delivered && single {
			c.stallTimeout = bodyDrainTimeout
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
		if err != nil && delivered {
			return &http.Response{StatusCode: http.StatusOK}, err
		}
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, errTooManyInterim
}

// peekStatusLine waits for the next line and returns it without consuming it: with its end, unless that does not come or the
// line is longer than the buffer.
func (c *conn) peekStatusLine() []byte {
	for n := 1; ; n = c.reader.Buffered() + 1 {
		_, err := c.reader.Peek(n)
		seen, _ := c.reader.Peek(c.reader.Buffered())
		if i := bytes.IndexByte(seen, '\n'); i >= 0 {
			return seen[:i+1]
		}
		if err != nil {
			return seen
		}
	}
}

// reusable reports whether an idle connection is open and has nothing to read: an endpoint may close one at any time, and a
// request that is written after that would end as a reset, which may have been executed.
func (c *conn) reusable() bool { return socket.IsQuiet(c.Conn) }
