package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/relay/memory"
	"milletsail/internal/relay/protocol"
	"milletsail/internal/relay/socket"
)

const (
	// responseStallTimeout is how long an endpoint may send nothing in the middle of a response. After that the rest is not
	// expected to arrive, and the call would only occupy a slot.
	responseStallTimeout = 500 * time.Millisecond
	// rejectionReadTimeout bounds the time to read the body of a response with a status other than 200. It ends a call whose
	// response goes on without an end, so that the message has time left for another call.
	rejectionReadTimeout = time.Second
	// bodyDrainTimeout bounds the time to read and discard the body of a response for the sake of reusing its connection. It also
	// bounds the wait for the rest of a response whose status line says that the message was delivered.
	bodyDrainTimeout = 100 * time.Millisecond
	// maxResponseSize is the maximum total size in bytes of all responses to one call, interim responses and headers included. It
	// bounds the memory that an endpoint can make the relay use.
	maxResponseSize = 2 * protocol.MaxBodySize
	// maxInterimResponses bounds the 1xx responses of a call: the final response has to be among the first maxInterimResponses
	// responses.
	maxInterimResponses = 8
	// shortBodySize is the size in bytes up to which the body of a response is part of callOverhead.
	shortBodySize = 4 << 10
	// longBodyMemory is the memory in bytes for the body of a longer response, with the copies that reading and parsing make.
	longBodyMemory = 4 * protocol.MaxBodySize
	// maxLateReads bounds the retries of a read that failed by the deadline although data had arrived. Several can be needed,
	// since the end of the call may concurrently set the deadline to the past again.
	maxLateReads = 3
)

// okStatusLine matches the complete status line of a response with status 200. The line end is required: without it, the rest of
// the line has not arrived.
var okStatusLine = regexp.MustCompile(`^HTTP/1\.[01] 200(?: [^\r\n]*)?\r?\n$`)

// pastDeadline is a deadline in the past, which makes pending and further reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// errTooManyInterim reports that an endpoint sent maxInterimResponses interim responses and no final one.
var errTooManyInterim = errors.New("too many interim (1xx) responses from the endpoint")

// Errors of responses that do not follow the protocol.
var (
	errUnsupportedVersion = errors.New("unsupported protocol version")
	errResponseTooLarge   = errors.New("response too large")
	errBodyTooSlow        = errors.New("response body not complete in time")
)

// conn is a connection to an endpoint. It carries one call at a time. While it does, only the goroutine of that call uses it;
// while it is idle, it belongs to the pool.
type conn struct {
	net.Conn
	limited      *io.LimitedReader // bounds the bytes that may still be read for the current call
	reader       *bufio.Reader     // reads from limited
	idleSince    instant.Time      // when the connection last became idle; zero before that
	callErr      func() error      // returns why the current call has ended, or nil while it lasts; nil before the first call
	stallTimeout time.Duration     // bounds the wait of each read for data; 0 for no bound
	readUntil    instant.Time      // when reading a body ends at the latest; zero for no bound
	head         headLimit         // bounds the head of the response that is being read
	memory       *memory.Pool      // memory for calls
	bodyMemory   int64             // memory that was taken for the body of the current response
}

// newConn returns a conn on a new network connection.
func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.limited = &io.LimitedReader{R: c, N: maxResponseSize}
	c.reader = bufio.NewReader(c.limited)
	return c
}

// Read reads from the network connection, within stallTimeout where that is set. If the deadline of the call has passed but data
// had arrived, it still returns that data.
func (c *conn) Read(b []byte) (int, error) {
	if !c.readUntil.IsZero() && clock.Now() >= c.readUntil {
		return 0, errBodyTooSlow
	}
	if c.head.exceeded() {
		return 0, errResponseTooLarge
	}
	if c.stallTimeout > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.stallTimeout))
		if err := c.callErr(); err != nil { // the call may have set pastDeadline as it ended, which the line above has overwritten
			_ = c.SetReadDeadline(pastDeadline)
		}
	}
	n, err := c.Conn.Read(b)
	for attempt := 0; n == 0 && attempt < maxLateReads && c.arrivedInTime(err); attempt++ {
		_ = c.SetReadDeadline(time.Now().Add(bodyDrainTimeout))
		n, err = c.Conn.Read(b)
	}
	c.head.add(b[:n])
	return n, err
}

// arrivedInTime reports whether a read failed with err because the deadline of its call has passed although data has arrived. A
// relay that was suspended finds the deadline passed and the data arrived at once; the data is then taken to have come first.
func (c *conn) arrivedInTime(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && c.callErr != nil && errors.Is(c.callErr(), context.DeadlineExceeded) &&
		socket.HasUnread(c.Conn)
}

// readResponse reads the response to a request and skips interim responses. If the status line says 200 but the rest of the
// header cannot be read, it returns both a response with that status and the error: for a call with one message, the status
// line alone tells that the message was delivered. single says whether the call has one message.
func (c *conn) readResponse(single bool) (*http.Response, error) {
	c.limited.N = maxResponseSize
	for range maxInterimResponses {
		c.stallTimeout = 0 // the endpoint may take until the end of the call to begin its response
		_ = c.SetReadDeadline(time.Time{})
		switch err := c.callErr(); {
		case errors.Is(err, context.DeadlineExceeded):
			_ = c.SetReadDeadline(pastDeadline) // only data that has already arrived counts
		case err != nil:
			return nil, err
		}
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		c.head = headLimit{active: true}
		c.head.add(buffered)
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

// readBody reads the body of a response to its end, and returns it if the status is 200: of another response, the status and the
// header say all. It fails if the response is not valid HTTP/1.1 to its end, if the body exceeds protocol.MaxBodySize, if there is no
// memory for a long one, or if that of a response other than 200 takes longer than rejectionReadTimeout.
func (c *conn) readBody(resp *http.Response) ([]byte, error) {
	if resp.ProtoMajor != 1 {
		return nil, fmt.Errorf("%w: %s", errUnsupportedVersion, resp.Proto)
	}
	if resp.StatusCode != http.StatusOK {
		c.readUntil = clock.Now().Add(rejectionReadTimeout)
		defer func() { c.readUntil = 0 }()
		size, err := io.Copy(io.Discard, io.LimitReader(resp.Body, protocol.MaxBodySize+1))
		return nil, c.checkSize(size, err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, shortBodySize))
	if err != nil || len(body) < shortBodySize {
		return body, c.checkSize(int64(len(body)), err)
	}
	if !c.memory.TryAcquire(longBodyMemory) {
		return nil, errNoMemory
	}
	c.bodyMemory = longBodyMemory
	rest, err := io.ReadAll(io.LimitReader(resp.Body, protocol.MaxBodySize+1-shortBodySize))
	body = append(body, rest...)
	return body, c.checkSize(int64(len(body)), err)
}

// checkSize returns the error of reading a body of the given size, or errResponseTooLarge if that is too long.
func (c *conn) checkSize(size int64, err error) error {
	if err == nil && (size > protocol.MaxBodySize || c.limited.N <= 0) {
		return errResponseTooLarge
	}
	return err
}

// releaseBody gives back the memory of the body that readBody returned.
func (c *conn) releaseBody() {
	c.memory.Release(c.bodyMemory)
	c.bodyMemory = 0
}

// drain reads and discards the rest of a response, for at most bodyDrainTimeout, and reports whether the connection may carry
// another call.
func (c *conn) drain(resp *http.Response) bool {
	c.stallTimeout = 0
	_ = c.SetDeadline(time.Now().Add(bodyDrainTimeout))
	_, err := io.Copy(io.Discard, resp.Body)
	return err == nil && c.keepAlive(resp)
}

// keepAlive reports whether the connection may carry another call after a response that was read to its end. It may not if the
// endpoint sent more than that response, since the rest would be taken for the response to the next call.
func (c *conn) keepAlive(resp *http.Response) bool {
	return !resp.Close && c.reader.Buffered() == 0 && c.SetDeadline(time.Time{}) == nil
}

// peekStatusLine waits for the next line and returns it without consuming it. The result includes the line end, unless reading
// fails before that or the line is longer than the buffer.
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

// reused reports whether the connection has been idle after an earlier call.
func (c *conn) reused() bool { return !c.idleSince.IsZero() }

// reusable reports whether an idle connection is open and has no unread data. An endpoint may close a connection at any time; a
// request written after that would end in a reset, and would have to be treated as possibly executed.
func (c *conn) reusable() bool { return socket.IsQuiet(c.Conn) }
