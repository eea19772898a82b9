package frontend

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime"
	"strconv"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/relay/protocol"
)

const (
	// initialHeadSize is the size of the buffer for a request's head, which grows up to protocol.MaxHeadSize. memory.ConnectionSize
	// includes it.
	initialHeadSize = 2 << 10
	// headCost is how many bytes of memory one byte of a large head's buffer stands for: the head itself, and its fields as net/http
	// keeps them.
	headCost = 2
	// requestPause is the wait before the next request on a connection after one that handed in no message, so that a client that
	// sends such requests without end takes a small part of the processor.
	requestPause = 5 * time.Millisecond
)

// errHeadTooLarge reports that the head of a request passes protocol.MaxHeadSize or protocol.MaxHeadLines.
var errHeadTooLarge = errors.New("request head too large")

// requestReader splits the input of a connection into requests. net/http gets the bytes of a request only once its head is complete
// and within the limits, and never bytes of the next one along with them, so that the memory of a head is counted before net/http
// parses it. Only the goroutine that reads from the connection uses it.
type requestReader struct {
	buffer    []byte // input that is not passed on completely
	start     int    // index in buffer of the first byte that is not passed on
	ahead     int    // bytes of the next head that were passed on before it was complete: 0 or 1
	lineStart int    // index in buffer of the line that has not ended yet
	lines     int    // number of complete lines of the head
	remaining int64  // bytes of the current request that are not passed on; 0 between requests
}

// scan looks for the end of the head in the buffer. It returns the size of the head, or 0 if the head is not complete.
func (r *requestReader) scan() (size int, err error) {
	for {
		i := bytes.IndexByte(r.buffer[r.lineStart:], '\n')
		if i < 0 {
			return 0, nil
		}
		line := bytes.TrimSuffix(r.buffer[r.lineStart:r.lineStart+i], []byte("\r"))
		r.lineStart += i + 1
		if len(line) == 0 {
			return r.lineStart, nil
		}
		if r.lines++; r.lines > protocol.MaxHeadLines {
			return 0, errHeadTooLarge
		}
	}
}

// begin starts the current request, whose head has the given size.
func (r *requestReader) begin(size int) {
	r.remaining = int64(size - r.ahead)
	if body := bodySize(r.buffer[:size]); body > math.MaxInt64-r.remaining {
		r.remaining = math.MaxInt64
	} else {
		r.remaining += body
	}
	r.start, r.ahead = r.ahead, 0
}

// pass copies buffered bytes of the current request to b.
func (r *requestReader) pass(b []byte) int {
	n := copy(b, r.buffer[r.start:])
	if int64(n) > r.remaining {
		n = int(r.remaining)
	}
	r.start += n
	r.remaining -= int64(n)
	if r.start == len(r.buffer) || r.remaining == 0 {
		r.discardPassed()
	}
	return n
}

// discardPassed removes the bytes that were passed on from the buffer. A buffer that a large head has grown is replaced once the rest
// fits into one of the initial size.
func (r *requestReader) discardPassed() {
	rest := r.buffer[r.start:]
	switch {
	case cap(r.buffer) > initialHeadSize && len(rest) == 0:
		r.buffer = nil
	case cap(r.buffer) > initialHeadSize && len(rest) < initialHeadSize:
		r.buffer = append(make([]byte, 0, initialHeadSize), rest...)
	default:
		r.buffer = r.buffer[:copy(r.buffer, rest)]
	}
	r.start, r.lineStart, r.lines = 0, 0, 0
}

// grownSize returns the size that the buffer needs for more input.
func (r *requestReader) grownSize() int {
	if len(r.buffer) < cap(r.buffer) {
		return cap(r.buffer)
	}
	return max(initialHeadSize, 2*cap(r.buffer))
}

// bodySize returns the size of the body that a head announces. A request with a transfer encoding has an unknown size; it is the
// last one of its connection. The size is 0 for a head that net/http rejects.
func bodySize(head []byte) (size int64) {
	for line := range bytes.Lines(head) {
		name, value, found := bytes.Cut(line, []byte(":"))
		switch {
		case !found:
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return math.MaxInt64
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
			if err != nil {
				return 0
			}
			size = int64(n)
		}
	}
	return size
}

// Read passes on the input of the current request, and reads the head of the next one first where there is none. A read of one byte
// between requests is net/http's look for the client's end: it gets the first byte of the next head, if that has arrived.
func (c *Connection) Read(b []byte) (int, error) {
	r := &c.request
	if r.remaining == 0 && len(b) == 1 && r.ahead == 0 {
		return c.readAhead(b)
	}
	if r.remaining == 0 {
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	if r.start < len(r.buffer) {
		return r.pass(b), nil
	}
	n, err := c.receive(b[:min(int64(len(b)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

// readAhead passes on the first byte of the next head and leaves it in the buffer, where the head is scanned.
func (c *Connection) readAhead(b []byte) (int, error) {
	if len(c.request.buffer) == 0 {
		if err := c.receiveHead(); err != nil {
			return 0, err
		}
	}
	c.request.ahead = copy(b, c.request.buffer[:1])
	return c.request.ahead, nil
}

// readHead reads until the head of the next request is complete. A head that passes the limits is answered here; net/http sees the
// end of the connection then.
func (c *Connection) readHead() error {
	c.takeTurn()
	// A buffer that the last request has grown and that holds more input counts for this request too.
	if size := cap(c.request.buffer); size > initialHeadSize && !c.reserve(int64(headCost*size)) {
		return c.refuse(http.StatusServiceUnavailable)
	}
	for {
		size, err := c.request.scan()
		if err == nil && size == 0 && c.request.grownSize() > protocol.MaxHeadSize {
			err = errHeadTooLarge
		}
		if err != nil {
			return c.refuse(http.StatusRequestHeaderFieldsTooLarge)
		}
		if size > 0 {
			c.markReading()
			c.request.begin(size)
			return nil
		}
		if err := c.receiveHead(); err != nil {
			return err
		}
	}
}

// receiveHead reads more input into the buffer. It takes the memory for a larger buffer first, and ends the connection if it gets
// none.
func (c *Connection) receiveHead() error {
	r := &c.request
	if len(r.buffer) > 0 {
		c.markReading()
	}
	if size := r.grownSize(); size > cap(r.buffer) {
		if size > initialHeadSize && !c.reserve(int64(headCost*size)) {
			return c.refuse(http.StatusServiceUnavailable)
		}
		r.buffer = append(make([]byte, 0, size), r.buffer...)
	}
	n, err := c.receive(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	if n > 0 {
		return nil
	}
	return err
}

// takeTurn lets all other goroutines run before the next request of a client that sends them back to back, and waits if the last one
// handed in no message.
func (c *Connection) takeTurn() {
	if wait := clock.Until(c.pausedUntil); !c.pausedUntil.IsZero() && wait > 0 {
		time.Sleep(wait)
	}
	runtime.Gosched()
}

// pause makes the connection wait for requestPause before its next request.
func (c *Connection) pause() { c.pausedUntil = clock.Now().Add(requestPause) }

// refuse answers a request that net/http does not get, in the form of net/http's own errors, and returns the error that makes
// net/http close the connection.
func (c *Connection) refuse(status int) error {
	c.limiter.countRefused(status)
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = fmt.Sprintf("Retry-After: %.3f\r\n", overloadRetryAfter.Seconds())
	}
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sConnection: close\r\n\r\n%s", text, retryAfter, text)
	if err != nil {
		return err
	}
	return io.EOF
}
