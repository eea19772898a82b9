package relay

import (
	"io"
	"net"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

const (
	// lingerTime is how long a connection is read off after its last answer: a close over unread bytes resets it, and
	// what the client has not read of the answer goes with it.
	lingerTime = 500 * time.Millisecond
	// lingerLeast of it is granted even where others want the place.
	lingerLeast = 100 * time.Millisecond
	// mostUnread bytes are read off at most: who sends more does not wait for an answer.
	mostUnread = 1 << 20
)

// The stages of a connection, by the promise of a message that they show.
type stage int

const (
	waiting   stage = iota // for the first byte of a request
	lingering              // its last answer is out and the sending side ended: what still comes is read off
	reading                // in the middle of a request
	answerDue              // it is complete, and is owed its answer
)

// client is a connection of a client. A request on it is either taken up, and then answered before the relay closes the
// connection, or the relay's close goes before it, and then it is not taken up: begin and Close decide that under one lock.
type client struct {
	net.Conn
	gate     *gate
	stage    stage        // the gate's lock guards this and all that follows
	heard    instant.Time // when its last bytes came, or its last request ended
	answered instant.Time // when the last bytes were written to it
	closed   bool         // by the relay
	accepted instant.Time
	// waited is how long it may have stood in the system's queue while accepts failed, up to its first request: a peer that
	// sends no proper request is owed its close from when it came.
	waited time.Duration
}

// Read notes that the client is heard of. What crosses the relay's close is not read as a request.
func (c *client) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.gate.mu.Lock()
		defer c.gate.mu.Unlock()
		if c.closed {
			return 0, net.ErrClosed
		}
		c.heard = clock.Now()
		if c.stage == waiting {
			c.stage = reading
		}
		if c.waited > 0 { // whoever writes on, however slowly, has the whole time
			_ = c.Conn.SetReadDeadline(clock.Deadline(min(c.accepted.Add(readTime), c.heard.Add(patience))))
		}
	}
	return n, err
}

// SetReadDeadline is how net/http bounds the time to read a request.
func (c *client) SetReadDeadline(t time.Time) error {
	c.gate.mu.Lock()
	waited := c.waited
	c.gate.mu.Unlock()
	if waited > 0 && !t.IsZero() {
		t = t.Add(-waited)
	}
	return c.Conn.SetReadDeadline(t)
}

// Write notes that there may be an answer that the client has not read yet.
func (c *client) Write(b []byte) (int, error) {
	c.gate.mu.Lock()
	c.answered = clock.Now()
	c.gate.mu.Unlock()
	return c.Conn.Write(b)
}

// begin notes that a request is complete and owed its answer; false means that the relay has closed the connection, and
// the request is nobody's.
func (c *client) begin() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.closed {
		c.stage = answerDue
	}
	c.waited = 0
	return !c.closed
}

// rest notes that the last answer on the connection is out.
func (c *client) rest() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.waited = 0
	if !c.closed {
		c.stage, c.heard = waiting, clock.Now()
		c.gate.changed.Broadcast()
	}
}

// Close closes the connection and makes room for another. Where an answer has just been written it ends only the sending
// side at once, and reads off what still comes, for a bounded time, so that the answer is not reset away.
func (c *client) Close() error {
	c.gate.mu.Lock()
	again, fresh := c.closed, clock.Since(c.answered) < lingerTime
	c.closed = true
	if fresh && !again {
		c.stage, c.heard = lingering, clock.Now()
	}
	c.gate.mu.Unlock()
	switch {
	case again:
		return nil
	case fresh:
		go c.linger()
		return nil
	}
	return c.leave()
}

// CloseWrite is what net/http begins a close with where it knows that more will come.
func (c *client) CloseWrite() error { return c.Close() }

// linger ends the sending side, and the connection once the client has ended its own or the time for that is over.
func (c *client) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, mostUnread)
	}
	_ = c.leave()
}

// leave gives the connection's place back.
func (c *client) leave() error {
	c.gate.mu.Lock()
	delete(c.gate.open, c)
	c.gate.changed.Broadcast()
	c.gate.mu.Unlock()
	return c.Conn.Close()
}
