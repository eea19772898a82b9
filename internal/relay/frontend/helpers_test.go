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

// testTimeout bounds every wait of a test; it is far longer than any expected wait.
const testTimeout = 20 * time.Second

// receive returns the next value of a channel, and fails the test if none arrives within testTimeout.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatal("no value received within the time-out")
		panic("not reached")
	}
}

// testServer starts a server for clients, without a relay behind it. Messages go to submit, and to withdraw if their client
// disconnects.
func testServer(t *testing.T, submit, withdraw func(*Submission)) (*Server, *ConnectionLimiter) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := newLimiter(l, 9)
	c := &config.Config{}
	c.Policy.Classes = []policy.Class{{Name: "status", Deadline: time.Minute}}
	s := NewServer(c, new(metrics.ReasonCounters), submit, withdraw)
	go func() { _ = s.http.Serve(g) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s, g
}

// messageRequest returns the text of a complete request with a message for destination 7.
func messageRequest(id string) string {
	return fmt.Sprintf("POST /status HTTP/1.1\r\nHost: relay\r\nTenant: acme\r\nRequest-Id: %s\r\nRequest-Timeout: 25\r\n"+
		"X-Envelope: dest=7\r\nContent-Length: 2\r\n\r\nhi", id)
}

// readHooks are functions that the relay's side of a connection calls in the goroutine that reads from it. Each may be nil.
type readHooks struct {
	// before is called before each read.
	before func(*hookedConn)
	// expired is called when a read has failed by its deadline, before the error is returned to the relay.
	expired func(*hookedConn)
}

// hookedListener accepts TCP connections whose reads call hooks.
type hookedListener struct {
	net.Listener
	hooks    readHooks
	accepted int // number of connections so far
}

// Accept returns the next connection. It numbers connections from 1 on.
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
	number int // order in which the connection was accepted, from 1 on

	mu       sync.Mutex
	deadline time.Time // current read deadline
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

// interrupted reports whether net/http has aborted a pending read, which it does by setting a deadline in 1970.
func (c *hookedConn) interrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline.Unix() == 1
}

// hookedServer starts a server like testServer, whose connections call hooks, with a limiter of the given capacity.
func hookedServer(t *testing.T, capacity int, hooks readHooks, submit, withdraw func(*Submission)) *ConnectionLimiter {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := newLimiter(&hookedListener{Listener: l, hooks: hooks}, capacity)
	c := &config.Config{}
	c.Policy.Classes = []policy.Class{{Name: "status", Deadline: time.Minute}}
	s := NewServer(c, new(metrics.ReasonCounters), submit, withdraw)
	go func() { _ = s.http.Serve(g) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return g
}

// acceptAll returns a submit function that sends the id of each message to ids and answers the request with 202.
func acceptAll(ids chan<- string) func(*Submission) {
	return func(a *Submission) {
		ids <- a.Entry.ID
		a.Response <- Response{Status: http.StatusAccepted}
	}
}

// dial opens a client connection to a limiter. Reads from it fail after testTimeout.
func dial(t *testing.T, limiter *ConnectionLimiter) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", limiter.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	return c
}

// write sends text on a client connection.
func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// wantAccepted reads one response and fails the test if its status is not 202.
func wantAccepted(t *testing.T, what string, c net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil) //nolint:bodyclose // the test's end closes the connection
	if err != nil || resp.StatusCode != http.StatusAccepted {
		t.Errorf("%s: got response %v and error %v, want status 202", what, resp, err)
	}
}

// eventually polls until a condition holds, and fails the test after testTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition did not hold within the time-out: %s", what)
		}
	}
}

// drainSorted removes all values that a channel holds now and returns them sorted.
func drainSorted(ids chan string) (all []string) {
	for len(ids) > 0 {
		all = append(all, <-ids)
	}
	slices.Sort(all)
	return all
}

// closeWrite shuts down the sending side of a connection.
func closeWrite(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.CloseWrite()
}
