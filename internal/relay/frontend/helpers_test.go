package frontend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"milletsail/internal/relay/config"
	"milletsail/internal/relay/metrics"
	"milletsail/policy"
)

// long is longer than anything that a test waits for in vain.
const long = 20 * time.Second

// receive waits for a value.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(long):
		t.Fatal("waited in vain")
		panic("not reached")
	}
}

// testServer serves clients without a relay behind it: what is handed in goes to admit.
func testServer(t *testing.T, admit, gone func(*Submission)) (*Server, *ConnectionLimiter) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := newLimiter(l, 9)
	c := &config.Config{}
	c.Policy.Classes = []policy.Class{{Name: "status", Deadline: time.Minute}}
	s := NewServer(c, new(metrics.ReasonCounters), admit, gone)
	go func() { _ = s.http.Serve(g) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s, g
}

// posted is a whole request for destination 7.
func posted(id string) string {
	return fmt.Sprintf("POST /status HTTP/1.1\r\nHost: relay\r\nTenant: acme\r\nRequest-Id: %s\r\nRequest-Timeout: 25\r\n"+
		"X-Envelope: dest=7\r\nContent-Length: 2\r\n\r\nhi", id)
}

// readHooks are called by the relay's side of a connection, in the goroutine that reads. Each may be nil.
type readHooks struct {
	// before is called ahead of each read.
	before func(*hookedConn)
	// expired is called once a read has ended by its deadline, and before the relay learns of it.
	expired func(*hookedConn)
}

// hookedListener accepts TCP connections whose reads go through hooks.
type hookedListener struct {
	net.Listener
	hooks    readHooks
	accepted int
}

// Accept numbers the connections from 1 on.
func (l *hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted++
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return &hookedConn{TCPConn: tcp, hooks: l.hooks, number: l.accepted}, nil
}

// hookedConn is the relay's side of a client's connection.
type hookedConn struct {
	*net.TCPConn
	hooks  readHooks
	number int

	mu       sync.Mutex
	deadline time.Time // of reads
}

func (c *hookedConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	c.deadline = at
	c.mu.Unlock()
	return c.TCPConn.SetReadDeadline(at)
}

func (c *hookedConn) Read(b []byte) (int, error) {
	if c.hooks.before != nil {
		c.hooks.before(c)
	}
	n, err := c.TCPConn.Read(b)
	if c.hooks.expired != nil && errors.Is(err, os.ErrDeadlineExceeded) && !c.interrupted() {
		c.hooks.expired(c)
	}
	return n, err
}

// interrupted tells whether net/http has ended a pending read of its own accord, which it does by a deadline in 1970.
func (c *hookedConn) interrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline.Unix() == 1
}

// hookedServer serves clients like testServer, through hooks, with room for so many connections.
func hookedServer(t *testing.T, room int, hooks readHooks, admit, gone func(*Submission)) *ConnectionLimiter {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := newLimiter(&hookedListener{Listener: l, hooks: hooks}, room)
	c := &config.Config{}
	c.Policy.Classes = []policy.Class{{Name: "status", Deadline: time.Minute}}
	s := NewServer(c, new(metrics.ReasonCounters), admit, gone)
	go func() { _ = s.http.Serve(g) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return g
}

// accepting answers each request 202 and records its id.
func accepting(ids chan<- string) func(*Submission) {
	return func(a *Submission) {
		ids <- a.Entry.ID
		a.Response <- Response{Status: http.StatusAccepted}
	}
}

// dial opens a client's connection to a gate, with a bound on how long the test reads from it.
func dial(t *testing.T, g *ConnectionLimiter) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(long))
	return c
}

// write sends bytes on a client's connection.
func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// wantAccepted reads one answer, which has to be 202.
func wantAccepted(t *testing.T, what string, c net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil) //nolint:bodyclose // the test's end closes the connection
	if err != nil || resp.StatusCode != http.StatusAccepted {
		t.Errorf("%s: %v, %v", what, resp, err)
	}
}

// eventually waits for a condition; how long that takes decides nothing.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(long); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// drained gives all that a channel holds now, sorted.
func drained(ids chan string) (all []string) {
	for len(ids) > 0 {
		all = append(all, <-ids)
	}
	slices.Sort(all)
	return all
}

// closeWrite ends the sending side of a connection.
func closeWrite(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.CloseWrite()
}
