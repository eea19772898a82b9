package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Traffic is the bytes on the connections of one kind, as the relay sees them.
type Traffic struct {
	Sent     int64 `json:"sent"`     // by the relay
	Received int64 `json:"received"` // by the relay
}

// Minus gives what came between two readings.
func (t Traffic) Minus(earlier Traffic) Traffic {
	return Traffic{Sent: t.Sent - earlier.Sent, Received: t.Received - earlier.Received}
}

// counter sums up the traffic of many connections.
type counter struct{ sent, received atomic.Int64 }

func (c *counter) traffic() Traffic { return Traffic{Sent: c.sent.Load(), Received: c.received.Load()} }

// meteredConn is a connection of a relay to a stand-in. Its bytes count for the counter that it was last assigned to.
type meteredConn struct {
	net.Conn
	counter atomic.Pointer[counter]
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.Load().sent.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Load().received.Add(int64(n))
	return n, err
}

// meteredListener meters all connections that it accepts.
type meteredListener struct {
	net.Listener
	initial *counter
}

func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	metered := &meteredConn{Conn: conn}
	metered.counter.Store(l.initial)
	return metered, nil
}

// connKey finds a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// assign has the rest of a request's connection counted elsewhere.
func assign(r *http.Request, to *counter) {
	if conn, ok := r.Context().Value(connKey{}).(*meteredConn); ok {
		conn.counter.Store(to)
	}
}
