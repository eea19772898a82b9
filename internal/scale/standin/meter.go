package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Traffic counts the bytes on the connections of one kind.
type Traffic struct {
	Sent     int64 `json:"sent"`     // bytes that the relay sent
	Received int64 `json:"received"` // bytes that the relay received
}

// Minus returns the traffic since an earlier reading.
func (t Traffic) Minus(earlier Traffic) Traffic {
	return Traffic{Sent: t.Sent - earlier.Sent, Received: t.Received - earlier.Received}
}

// counter counts the traffic of many connections.
type counter struct{ sent, received atomic.Int64 }

func (c *counter) traffic() Traffic { return Traffic{Sent: c.sent.Load(), Received: c.received.Load()} }

// meteredConn is a connection from a relay to a stand-in. Its bytes are added to the counter that it was last
// assigned to.
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

// meteredListener counts the traffic of all connections that it accepts, initially with one counter.
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

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// assign makes further traffic on a request's connection count for another counter.
func assign(r *http.Request, to *counter) {
	if conn, ok := r.Context().Value(connKey{}).(*meteredConn); ok {
		conn.counter.Store(to)
	}
}
