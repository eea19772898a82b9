package frontend

import (
	"io"
	"net"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

const (
	// lingerTimeout bounds how long the relay reads and discards input after the last response on a connection. Closing a
	// socket with unread input resets the connection, which would destroy the part of the response that the client has not
	// read yet.
	lingerTimeout = 500 * time.Millisecond
	// minLinger is the part of lingerTimeout during which the connection cannot be evicted in favour of a new one.
	minLinger = 100 * time.Millisecond
	// maxLingerBytes bounds the input that is discarded. A client that sends more is not waiting for a response.
	maxLingerBytes = 1 << 20
	// writeTimeout bounds the wait for a client to read its response.
	writeTimeout = 2 * time.Second
)

// state is the state of a connection. A lower state is evicted before a higher one, since it is less likely to lead to a
// message. The transitions are:
//
//	idle -> reading -> response pending -> idle
//	any of these -> lingering, when the connection is closed shortly after a write to it
type state int

const (
	stateIdle            state = iota // no byte of the next request has been read
	stateLingering                    // the last response is written and the sending side closed; input is discarded
	stateReading                      // a request has been read in part
	stateResponsePending              // a complete request waits for its response
)

// Connection is a connection of a client. If a request is complete before the relay closes the connection, it is answered before
// the close; if the relay's close comes first, the request is discarded. startRequest and Close decide which came first, under
// the limiter's lock.
type Connection struct {
	net.Conn
	limiter     *ConnectionLimiter
	request     requestReader // of the goroutine that reads
	pausedUntil instant.Time  // when the next request is read; of the goroutine that serves the connection

	// The limiter's lock guards the fields below.
	state      state
	lastActive instant.Time // when the client last sent bytes, or its last request ended
	lastWrite  instant.Time // when the relay last wrote to the connection
	closed     bool         // whether the relay has closed or evicted the connection
	acceptedAt instant.Time
	progress   progress
	// requestDeadline is when the current request has to be complete. It is zero for the first one, whose deadline net/http sets,
	// and between requests.
	requestDeadline instant.Time
	input           int64 // memory of the current request that the limiter has given out
	evictedSize     int64 // memory that the connection holds since it was evicted
	// queueDelay is how long the connection may have waited in the kernel's queue while accepts failed; 0 after its first
	// request. It shortens the read deadline, since the protocol counts the time to close the connection of a peer without
	// a valid request from when that peer connected.
	queueDelay time.Duration
}

// receive reads from the socket and records that the client is active. Bytes that arrive once the relay has closed the connection
// are discarded.
func (c *Connection) receive(b []byte) (int, error) {
	count, err := c.Conn.Read(b)
	if count > 0 {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		if c.closed {
			return 0, net.ErrClosed
		}
		c.lastActive = clock.Now()
		c.beginReading()
		c.progress.add(c.lastActive, count)
		if c.queueDelay > 0 { // a client that keeps sending gets the whole ReadTimeout
			_ = c.Conn.SetReadDeadline(clock.Deadline(min(c.acceptedAt.Add(ReadTimeout), c.lastActive.Add(stallTimeout))))
		}
	}
	return count, err
}

// markReading records that input of the next request is there, which may have been read before the last one ended.
func (c *Connection) markReading() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.beginReading()
}

// beginReading starts the time for a request if the connection was idle. The caller holds the lock.
func (c *Connection) beginReading() {
	if c.state != stateIdle || c.closed {
		return
	}
	now := clock.Now()
	c.state, c.progress = stateReading, progress{began: now, windowStart: now}
	if c.answered() {
		c.requestDeadline = now.Add(ReadTimeout)
		_ = c.Conn.SetReadDeadline(clock.Deadline(c.requestDeadline))
	}
}

// answered reports whether the relay has written to the connection, so that the current request is not its first one. The caller
// holds the lock.
func (c *Connection) answered() bool { return !c.lastWrite.IsZero() }

// SetReadDeadline sets the deadline by which net/http bounds the time to read a request, earlier by the queue delay. A request on a
// connection that was idle has ReadTimeout from its first byte on: net/http counts from the end of its head.
func (c *Connection) SetReadDeadline(t time.Time) error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.queueDelay > 0 && !t.IsZero() {
		t = t.Add(-c.queueDelay)
	}
	if c.state == stateReading && !c.requestDeadline.IsZero() {
		if latest := clock.Deadline(c.requestDeadline); t.IsZero() || t.After(latest) {
			t = latest
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Write records when a response was written: the client may not have read it yet. A client that reads nothing for writeTimeout loses
// its connection.
func (c *Connection) Write(b []byte) (int, error) {
	c.limiter.mu.Lock()
	c.lastWrite = clock.Now()
	c.limiter.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(b)
}

// startRequest records that a request is complete and has to be answered. It reports false if the relay has closed the
// connection already: the request must be discarded then.
func (c *Connection) startRequest() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if !c.closed {
		c.state = stateResponsePending
	}
	if !c.requestDeadline.IsZero() {
		_ = c.Conn.SetReadDeadline(time.Time{}) // as net/http has done for the wait for the response
	}
	c.queueDelay, c.requestDeadline = 0, 0
	return !c.closed
}

// finishRequest records that the response to the current request is written, and makes the connection idle.
func (c *Connection) finishRequest() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.queueDelay, c.requestDeadline = 0, 0
	if !c.closed {
		c.releaseInput()
		c.state, c.lastActive = stateIdle, clock.Now()
	}
}

// Close closes the connection and removes it from the limiter. If the relay wrote to the connection less than lingerTimeout ago,
// Close shuts down only the sending side, and a goroutine discards further input for at most lingerTimeout before the socket
// is closed, so that a reset does not destroy the response. ConnectionLimiter.Count includes the connection until then.
func (c *Connection) Close() error {
	c.limiter.mu.Lock()
	alreadyClosed, recentlyWritten := c.closed, clock.Since(c.lastWrite) < lingerTimeout
	c.closed = true
	c.releaseInput()
	if recentlyWritten && !alreadyClosed {
		c.state, c.lastActive = stateLingering, clock.Now()
	}
	c.limiter.mu.Unlock()
	switch {
	case alreadyClosed:
		return nil
	case recentlyWritten:
		go c.linger()
		return nil
	}
	return c.remove()
}

// CloseWrite closes the connection as Close does. net/http calls it first where it expects further input from the client.
func (c *Connection) CloseWrite() error { return c.Close() }

// linger shuts down the sending side and discards input until the client closes its side, lingerTimeout is over or
// maxLingerBytes were read. Then it closes the connection.
func (c *Connection) linger() {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok && conn.CloseWrite() == nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
	_ = c.remove()
}

// remove removes the connection from the limiter and closes the socket.
func (c *Connection) remove() error {
	c.limiter.mu.Lock()
	c.releaseInput()
	delete(c.limiter.connections, c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}
