package frontend

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"milletsail/internal/relay/config"
	"milletsail/internal/relay/metrics"
)

// Guards against losing a response: closing a socket with unread input resets the connection, and the client may not get the
// response. Input after the response has to be discarded, and must not be handled as a request.
func TestResponseSurvivesClose(t *testing.T) {
	more := strings.Repeat("and more\r\n", 25_000)
	for _, tt := range []struct{ name, text, want string }{
		{"a response that closes, and another request", messageRequest("a") + messageRequest("b") + more, "HTTP/1.1 202 "},
		{"a request for an unknown class", "POST /parcel HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" + more, "HTTP/1.1 404 "},
		{"not an HTTP request", "what?\r\n\r\n" + more, "HTTP/1.1 400 "},
		{"a header too large", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", len(more)), "HTTP/1.1 431 "},
		{"a body too large", strings.Replace(messageRequest("c"), ": 2\r\n", fmt.Sprintf(": %d\r\n", len(more)+2), 1) + more,
			"HTTP/1.1 413 "},
	} {
		submitted := make(chan string, 9)
		s, limiter := testServer(t, func(a *Submission) {
			submitted <- a.Entry.ID
			a.Response <- Response{Status: http.StatusAccepted}
		}, func(*Submission) {})
		s.draining.Store(true)
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", limiter.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		wrote := make(chan error, 1)
		go func() {
			_, err := io.WriteString(c, tt.text)
			wrote <- errors.Join(err, closeWrite(c))
		}()
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
		got, err := io.ReadAll(c)
		if err != nil || receive(t, wrote) != nil {
			t.Errorf("%s: reading the response or writing the request failed: %v", tt.name, err)
		}
		if !strings.HasPrefix(string(got), tt.want) || strings.Count(string(got), "HTTP/1.1 ") != 1 {
			t.Errorf("%s: got %q, want exactly one response", tt.name, got)
		}
		if strings.Contains(tt.want, "202") && receive(t, submitted) != "a" || len(submitted) != 0 {
			t.Errorf("%s: a message was submitted whose request got no response", tt.name)
		}
		_ = c.Close()
	}
}

// Guards against a peer that holds a connection open after its last response, by sending without end or by sending nothing:
// lingering is bounded in time and bytes.
func TestLingeringIsBounded(t *testing.T) {
	_, limiter := testServer(t, nil, nil)
	silent, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", limiter.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	flood, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", limiter.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = flood.Close() }()
	_, _ = io.WriteString(silent, "what?\r\n\r\n")
	for err = nil; err == nil; { // until the relay closes the connection
		_, err = io.WriteString(flood, strings.Repeat("what?\r\n\r\n", 1000))
	}
	for end := time.Now().Add(testTimeout); limiter.Count() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections still open after the time-out", limiter.Count())
		}
	}
}

// gatedConn is a connection whose reads each wait for a value from readable.
type gatedConn struct {
	net.Conn
	readable chan bool
}

func (c gatedConn) Read(b []byte) (int, error) {
	<-c.readable
	return copy(b, "POST"), nil
}

func (c gatedConn) Close() error { return nil }

// Guards against losing a request whose bytes arrive just as the relay closes the connection: once the close comes first, they
// must not be read, so that the client knows that the request was not handled.
func TestReadRacesWithClose(t *testing.T) {
	for _, closes := range []struct {
		name string
		do   func(*Connection)
	}{
		{"evicted for a new connection", func(c *Connection) { c.closed = true }},
		{"closed after its last response", func(c *Connection) {
			c.limiter.mu.Unlock()
			_ = c.Close()
			c.limiter.mu.Lock()
		}},
	} {
		limiter := &ConnectionLimiter{connections: map[*Connection]bool{}}
		raw := gatedConn{readable: make(chan bool)}
		c := &Connection{Conn: raw, limiter: limiter}
		limiter.connections[c] = true
		read := make(chan int, 1)
		go func() {
			n, _ := c.Read(make([]byte, 9))
			read <- n
		}()
		limiter.mu.Lock()
		raw.readable <- true // the bytes are read now, but the close gets the lock first
		closes.do(c)
		limiter.mu.Unlock()
		if n := receive(t, read); n != 0 {
			t.Errorf("%s: %d bytes were read from a closed connection, want 0", closes.name, n)
		}
		if c.startRequest() {
			t.Errorf("%s: a request was started on a closed connection", closes.name)
		}
	}
}

// Guards against submitting the message of a request that is read completely after the relay has closed its connection: the
// client could not get a response.
func TestRequestOnClosedConnectionIsNotSubmitted(t *testing.T) {
	submitted := make(chan string, 9)
	s, limiter := testServer(t, func(a *Submission) {
		submitted <- a.Entry.ID
		a.Response <- Response{Status: http.StatusAccepted}
	}, func(*Submission) {})
	serve := s.http.Handler
	s.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The request is read completely, and the connection is evicted before the handler runs.
		c, ok := r.Context().Value(connectionKey{}).(*Connection)
		if !ok {
			t.Error("the request context holds no Connection")
			return
		}
		limiter.mu.Lock()
		c.closed = true
		limiter.mu.Unlock()
		serve.ServeHTTP(w, r)
	})
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", limiter.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, messageRequest("a"))
	_ = closeWrite(c)
	for end := time.Now().Add(testTimeout); limiter.any(func(c *Connection) bool { return c.state == stateResponsePending }) &&
		time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if got, _ := io.ReadAll(c); len(got) > 0 || len(submitted) > 0 {
		t.Errorf("got response %q and %d submitted messages, want neither", got, len(submitted))
	}
}

// Guards against answering a client that closed only its sending side before the response: it counts as disconnected, its
// message is withdrawn, and it must not get a response that says otherwise.
func TestHalfClosedClientCountsAsDisconnected(t *testing.T) {
	left := make(chan bool, 1)
	_, limiter := testServer(t, func(*Submission) {}, func(*Submission) { left <- true })
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", limiter.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, messageRequest("a"))
	_ = closeWrite(c)
	receive(t, left)
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	if got, err := io.ReadAll(c); len(got) > 0 {
		t.Errorf("got response %q (error %v), want none", got, err)
	}
}

// Guards against closing the connection of a silent or stalled peer too late after a period of failed accepts: its time counts
// from when it connected, which includes the wait in the kernel's queue. A client that sends slowly but without pauses gets the
// whole time.
func TestReadTimeoutIncludesQueueDelay(t *testing.T) {
	const maxQueueDelay = ReadTimeout - stallTimeout
	for _, c := range []struct {
		name  string
		write []string // sent in turn, each followed by a wait of half of stallTimeout
		open  bool     // whether the connection is still open after the last piece
	}{
		{"silent", nil, false},
		{"stalled in the header", []string{"POST /status"}, false},
		{"slow", []string{"POST /", "status ", "HTTP/1.1\r\n", "Host: x\r\n"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			limiter := &ConnectionLimiter{Listener: l, capacity: 9, memoryCapacity: 9, connections: map[*Connection]bool{},
				queueDelay: func() time.Duration { return time.Hour }}
			s := NewServer(&config.Config{}, new(metrics.ReasonCounters), func(*Submission) {}, func(*Submission) {})
			go func() { _ = s.http.Serve(limiter) }()
			t.Cleanup(func() { _ = s.http.Close() })
			begun := time.Now()
			peer, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = peer.Close() }()
			for _, piece := range c.write {
				if _, err := peer.Write([]byte(piece)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(stallTimeout / 2)
			}
			if c.open {
				_ = peer.SetReadDeadline(time.Now().Add(stallTimeout / 5))
				if n, err := peer.Read(make([]byte, 1)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("connection not open after %v: read returned %v", time.Since(begun), err)
				}
				return
			}
			_ = peer.SetReadDeadline(time.Now().Add(ReadTimeout))
			if _, err := peer.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) ||
				time.Since(begun) > ReadTimeout-maxQueueDelay/2 {
				t.Errorf("connection not closed in time: after %v, read returned %v", time.Since(begun), err)
			}
		})
	}
}
