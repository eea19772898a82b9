package frontend

import (
	"io"
	"net"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

const (
	// lingerTimeout is how long a connection is read off after its last response: a close over unread bytes resets it, and
	// what the client has not read of the response is lost.
	lingerTimeout = 500 * time.Millisecond
	// minLinger of it is granted even where others want the place.
	minLinger = 100 * time.Millisecond
	// maxLingerBytes are read off at most: who sends more does not wait for a response.
	maxLingerBytes = 1 << 20
)

// state is what a connection does, in the order of how likely a message comes of it:
//
//	idle -> reading -> response pending -> idle
//	any of these -> lingering, once a response was written and the connection is closed
type state int

const (
	stateIdle            state = iota // waits for the first byte of a request
	stateLingering                    // its last response is out and the sending side ended: what still comes is read off
	stateReading                      // in the middle of a request
	stateResponsePending              // its request is complete, and waits for its response
)

// Connection is a connection of a client. A request on it is either accepted, and then answered before the relay closes the
// connection, or the relay's close goes before it, and then it is not accepted: startRequest and Close decide that under one
// lock, that of the limiter.
type Connection struct {
	net.Conn
	limiter    *ConnectionLimiter
	state      state        // the limiter's lock guards this and all that follows
	lastActive instant.Time // when its last bytes came, or its last request ended
	lastWrite  instant.Time // when the last bytes were written to it
	closed     bool         // by the relay
	acceptedAt instant.Time
	// queueDelay is how long it may have queued in the kernel while accepts failed, up to its first request: a peer that
	// sends no proper request has to get its close from when it came.
	queueDelay time.Duration
}

// Read notes that the client is active. What crosses the relay's close is not read as a request.
func (c *Connection) Read(b []byte) (int, error) {
	count, err := c.Conn.Read(b)
	if count > 0 {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		if c.closed {
			return 0, net.ErrClosed
		}
		c.lastActive = clock.Now()
		if c.state == stateIdle {
			c.state = stateReading
		}
		if c.queueDelay > 0 { // whoever writes on, however slowly, has the whole time
			_ = c.Conn.SetReadDeadline(clock.Deadline(min(c.acceptedAt.Add(ReadTimeout), c.lastActive.Add(stallTimeout))))
		}
	}
	return count, err
}

// SetReadDeadline is how net/http bounds the time to read a request.
func (c *Connection) SetReadDeadline(t time.Time) error {
	c.limiter.mu.Lock()
	queueDelay := c.queueDelay
	c.limiter.mu.Unlock()
	if queueDelay > 0 && !t.IsZero() {
		t = t.Add(-queueDelay)
	}
	return c.Conn.SetReadDeadline(t)
}

// Write notes that there may be a response that the client has not read yet.
func (c *Connection) Write(b []byte) (int, error) {
	c.limiter.mu.Lock()
	c.lastWrite = clock.Now()
	c.limiter.mu.Unlock()
	return c.Conn.Write(b)
}

// startRequest notes that a request is complete and has to be answered. It reports false where the relay has closed the
// connection: then the request does not count.
func (c *Connection) startRequest() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if !c.closed {
		c.state = stateResponsePending
	}
	c.queueDelay = 0
	return !c.closed
}

// finishRequest notes that the last response on the connection is written.
func (c *Connection) finishRequest() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.queueDelay = 0
	if !c.closed {
		c.state, c.lastActive = stateIdle, clock.Now()
		c.limiter.changed.Broadcast()
	}
}

// Close closes the connection and frees its place. Where a response has just been written it ends only the sending side at
// once, and reads off what still comes, for a bounded time, so that no reset destroys the response. The goroutine that does
// so ends within lingerTimeout; the limiter's count tells when.
func (c *Connection) Close() error {
	c.limiter.mu.Lock()
	closedBefore, freshlyWritten := c.closed, clock.Since(c.lastWrite) < lingerTimeout
	c.closed = true
	if freshlyWritten && !closedBefore {
		c.state, c.lastActive = stateLingering, clock.Now()
	}
	c.limiter.mu.Unlock()
	switch {
	case closedBefore:
		return nil
	case freshlyWritten:
		go c.linger()
		return nil
	}
	return c.remove()
}

// CloseWrite is what net/http begins a close with where it knows that more will come.
func (c *Connection) CloseWrite() error { return c.Close() }

// linger ends the sending side, and the connection once the client has ended its own or the time for that is over.
func (c *Connection) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
	_ = c.remove()
}

// remove frees the connection's place and closes the socket.
func (c *Connection) remove() error {
	c.limiter.mu.Lock()
	delete(c.limiter.connections, c)
	c.limiter.changed.Broadcast()
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}
