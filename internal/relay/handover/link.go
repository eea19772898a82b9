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
	// writeTimeout bounds the write of one message to the other process after the transfer.
	writeTimeout = time.Second
	// queueCapacity is the maximum number of messages that are queued for the other process. When it is exceeded, the link is
	// closed.
	queueCapacity = 4096
)

// Link is the connection between a predecessor and its successor. Up to the transfer, one goroutine in each process performs
// the steps of the protocol. After the transfer, any goroutine may call Send; one goroutine runs Write and another one calls
// Receive, and both end when the link is closed.
type Link struct {
	conn      net.Conn
	incoming  *json.Decoder
	outgoing  chan Message
	closed    chan struct{} // closed by Close
	closeOnce sync.Once
	state     State
	clocks    clock.Pair // the clock readings in the offer, with which both processes convert times
}

// newLink returns a link over a connection, in the state StateConnected.
func newLink(conn net.Conn) *Link {
	return &Link{conn: conn, incoming: json.NewDecoder(conn), outgoing: make(chan Message, queueCapacity),
		closed: make(chan struct{})}
}

// WallTime converts a local time to the wall time that is sent over the link.
func (l *Link) WallTime(t instant.Time) time.Time { return l.clocks.WallOf(t).Time() }

// Instant converts a wall time that was received over the link to a local time. The zero time becomes 0.
func (l *Link) Instant(t time.Time) instant.Time {
	if t.IsZero() {
		return 0
	}
	return l.clocks.InstantOf(clock.Wall(t.UnixNano()))
}

// EncodeInstant converts a local time within the policy's state, which is sent over the link as a number, to wall time.
func (l *Link) EncodeInstant(t instant.Time) instant.Time { return instant.Time(l.clocks.WallOf(t)) }

// DecodeInstant converts a time within the policy's state that was received over the link to a local time. Times before the
// origin of the local clock become 0.
func (l *Link) DecodeInstant(t instant.Time) instant.Time {
	return max(0, l.clocks.InstantOf(clock.Wall(t)))
}

// Send queues a message without blocking. A full queue means that the other process no longer receives, and closes the link.
func (l *Link) Send(m Message) {
	select {
	case l.outgoing <- m:
	default:
		l.Close()
	}
}

// Receive blocks until the next message arrives. An error means that the link can no longer be used.
func (l *Link) Receive() (m Message, err error) {
	err = l.incoming.Decode(&m)
	return m, err
}

// Close closes the connection and ends Write and Receive. It may be called more than once.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
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

// sendStep sends a message that is a step of the protocol. It returns a TransitionError if the state of the link does not allow
// that step.
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

// receiveStep waits for the next step of the protocol. It returns a TransitionError if the state of the link does not allow the
// message that arrives.
func (l *Link) receiveStep(deadline instant.Time) (m Message, err error) {
	_ = l.conn.SetDeadline(clock.Deadline(deadline))
	if m, err = l.Receive(); err != nil {
		return m, err
	}
	l.state, err = l.state.next(m)
	return m, err
}

// clearDeadline removes the deadline that the last step of the protocol set on the connection.
func (l *Link) clearDeadline() error { return l.conn.SetDeadline(time.Time{}) }
