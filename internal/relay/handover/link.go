package handover

import (
	"encoding/json"
	"log/slog"
	"net"
	"sync"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

const (
	// writeTimeout bounds a write to the other process after the transfer.
	writeTimeout = time.Second
	// queueCapacity is how many messages wait for it.
	queueCapacity = 4096
)

// Link joins a predecessor and its successor. Up to the transfer one goroutine at each end goes through the protocol's steps.
// After it, Send may be called by any goroutine, Write runs in one and Receive is called by another; each ends once the link is
// closed.
type Link struct {
	conn     net.Conn
	incoming *json.Decoder
	outgoing chan Message
	closed   chan struct{} // closed once the link is down
	close    sync.Once
	state    State
	clocks   clock.Pair // of the offer
}

// newLink returns a link over a connection.
func newLink(conn net.Conn) *Link {
	return &Link{conn: conn, incoming: json.NewDecoder(conn), outgoing: make(chan Message, queueCapacity),
		closed: make(chan struct{})}
}

// WallTime returns a moment as it goes on the link.
func (l *Link) WallTime(t instant.Time) time.Time { return l.clocks.WallOf(t).Time() }

// Instant reads a moment that came on the link.
func (l *Link) Instant(t time.Time) instant.Time {
	if t.IsZero() {
		return 0
	}
	return l.clocks.InstantOf(clock.Wall(t.UnixNano()))
}

// EncodeInstant translates a moment of the policy's state, which goes on the link as a number.
func (l *Link) EncodeInstant(t instant.Time) instant.Time { return instant.Time(l.clocks.WallOf(t)) }

// DecodeInstant reads a moment of the policy's state.
func (l *Link) DecodeInstant(t instant.Time) instant.Time {
	return max(0, l.clocks.InstantOf(clock.Wall(t)))
}

// Send queues a message; it never waits. A peer that receives none is as good as dead, and the link is closed.
func (l *Link) Send(m Message) {
	select {
	case l.outgoing <- m:
	default:
		l.Close()
	}
}

// Receive waits for the next message after the transfer. An error means that the link is down.
func (l *Link) Receive() (m Message, err error) {
	err = l.incoming.Decode(&m)
	return m, err
}

// Close ends the link.
func (l *Link) Close() {
	l.close.Do(func() {
		close(l.closed)
		_ = l.conn.Close()
	})
}

// Write sends queued messages until the link is closed.
func (l *Link) Write() {
	encoder := json.NewEncoder(l.conn)
	for {
		select {
		case <-l.closed:
			return
		case m := <-l.outgoing:
			_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := encoder.Encode(m); err != nil {
				slog.Warn("handover link failed", "error", err)
				l.Close()
			}
		}
	}
}

// sendStep sends a message of the protocol.
func (l *Link) sendStep(m Message, deadline instant.Time) error {
	next, err := l.state.next(m)
	if err != nil {
		return err
	}
	_ = l.conn.SetDeadline(clock.Deadline(deadline))
	if err := json.NewEncoder(l.conn).Encode(m); err != nil {
		return err
	}
	l.state = next
	return nil
}

// receiveStep waits for the next message of the protocol. One that the state of the link does not allow is a TransitionError.
func (l *Link) receiveStep(deadline instant.Time) (m Message, err error) {
	_ = l.conn.SetDeadline(clock.Deadline(deadline))
	if m, err = l.Receive(); err != nil {
		return m, err
	}
	l.state, err = l.state.next(m)
	return m, err
}

// noDeadline ends the deadlines of the protocol's steps.
func (l *Link) noDeadline() error { return l.conn.SetDeadline(time.Time{}) }
