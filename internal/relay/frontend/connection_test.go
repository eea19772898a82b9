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

// A close over unread bytes resets the connection, and the answer goes with it: what a client still sends is read off,
// and is no request.
func TestAnswerOutlivesTheClose(t *testing.T) {
	more := strings.Repeat("and more\r\n", 25_000)
	for _, tt := range []struct{ name, text, want string }{
		{"an answer that closes, and the next request", posted("a") + posted("b") + more, "HTTP/1.1 202 "},
		{"no proper request", "POST /parcel HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" + more, "HTTP/1.1 404 "},
		{"no HTTP", "what?\r\n\r\n" + more, "HTTP/1.1 400 "},
		{"a head too large", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", len(more)), "HTTP/1.1 431 "},
		{"a body too large", strings.Replace(posted("c"), ": 2\r\n", fmt.Sprintf(": %d\r\n", len(more)+2), 1) + more, "HTTP/1.1 413 "},
	} {
		admitted := make(chan string, 9)
		s, g := testServer(t, func(a *Submission) {
			admitted <- a.Entry.ID
			a.Response <- Response{Status: http.StatusAccepted}
		}, func(*Submission) {})
		s.draining.Store(true)
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", g.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		wrote := make(chan error, 1)
		go func() {
			_, err := io.WriteString(c, tt.text)
			wrote <- errors.Join(err, closeWrite(c))
		}()
		_ = c.SetReadDeadline(time.Now().Add(long))
		got, err := io.ReadAll(c)
		if err != nil || receive(t, wrote) != nil {
			t.Errorf("%s: the connection broke: %v", tt.name, err)
		}
		if !strings.HasPrefix(string(got), tt.want) || strings.Count(string(got), "HTTP/1.1 ") != 1 {
			t.Errorf("%s: answer %q", tt.name, got)
		}
		if strings.Contains(tt.want, "202") && receive(t, admitted) != "a" || len(admitted) != 0 {
			t.Errorf("%s: more was taken up than answered", tt.name)
		}
		_ = c.Close()
	}
}

// A peer that never stops sending after its answer loses its place all the same, within a bounded time and amount.
func TestLingeringEnds(t *testing.T) {
	_, g := testServer(t, nil, nil)
	silent, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	flood, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = flood.Close() }()
	_, _ = io.WriteString(silent, "what?\r\n\r\n")
	for err = nil; err == nil; { // ends with the connection
		_, err = io.WriteString(flood, strings.Repeat("what?\r\n\r\n", 1000))
	}
	for end := time.Now().Add(long); g.Count() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections stay", g.Count())
		}
	}
}

// bytesAt is a connection on which bytes come when the test lets them.
type bytesAt struct {
	net.Conn
	come chan bool
}

func (c bytesAt) Read(b []byte) (int, error) {
	<-c.come
	return copy(b, "POST"), nil
}

func (c bytesAt) Close() error { return nil }

// Bytes that come in the instant of the relay's close are read as a request before it, and then answered, or not at all.
func TestBytesThatCrossTheClose(t *testing.T) {
	for _, closes := range []struct {
		name string
		do   func(*Connection)
	}{
		{"for another's place", func(c *Connection) { c.closed = true }},
		{"after its last answer", func(c *Connection) {
			c.limiter.mu.Unlock()
			_ = c.Close()
			c.limiter.mu.Lock()
		}},
	} {
		g := &ConnectionLimiter{connections: map[*Connection]bool{}}
		g.changed.L = &g.mu
		raw := bytesAt{come: make(chan bool)}
		c := &Connection{Conn: raw, limiter: g}
		g.connections[c] = true
		read := make(chan int, 1)
		go func() {
			n, _ := c.Read(make([]byte, 9))
			read <- n
		}()
		g.mu.Lock()
		raw.come <- true // they are read now, and the close is first at the lock
		closes.do(c)
		g.mu.Unlock()
		if n := receive(t, read); n != 0 {
			t.Errorf("%s: %d bytes were read on a closed connection", closes.name, n)
		}
		if c.startRequest() {
			t.Errorf("%s: a request was taken up on a closed connection", closes.name)
		}
	}
}

// A request whose connection the relay has closed meanwhile is not taken up, wherever its bytes are.
func TestRequestBehindTheClose(t *testing.T) {
	admitted := make(chan string, 9)
	s, g := testServer(t, func(a *Submission) {
		admitted <- a.Entry.ID
		a.Response <- Response{Status: http.StatusAccepted}
	}, func(*Submission) {})
	serve := s.http.Handler
	s.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The whole request is here, and the place goes to another before it is taken up.
		c, ok := r.Context().Value(connectionKey{}).(*Connection)
		if !ok {
			t.Error("a request without its connection")
			return
		}
		g.mu.Lock()
		c.closed = true
		g.mu.Unlock()
		serve.ServeHTTP(w, r)
	})
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, posted("a"))
	_ = closeWrite(c)
	for end := time.Now().Add(long); g.any(func(c *Connection) bool { return c.state == stateResponsePending }) &&
		time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if got, _ := io.ReadAll(c); len(got) > 0 || len(admitted) > 0 {
		t.Errorf("answer %q, %d taken up", got, len(admitted))
	}
}

// A client that ends only its sending before its answer counts as gone, and is not told that its message is taken on.
func TestClientThatEndsItsSending(t *testing.T) {
	left := make(chan bool, 1)
	_, g := testServer(t, func(*Submission) {}, func(*Submission) { left <- true })
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, posted("a"))
	_ = closeWrite(c)
	receive(t, left)
	_ = c.SetReadDeadline(time.Now().Add(long))
	if got, err := io.ReadAll(c); len(got) > 0 {
		t.Errorf("answer %q (%v)", got, err)
	}
}

// A peer that stood in the system's queue while accepts failed, and sends nothing or stops in the middle of a request, gets
// its close from when it came; one that writes on slowly has the whole time, and the next request too.
func TestPeersThatWaitedForAnAccept(t *testing.T) {
	const waited = ReadTimeout - stallTimeout
	for _, c := range []struct {
		name  string
		write []string // a piece each half of patience
		open  bool     // behind these
	}{
		{"silent", nil, false},
		{"half a head", []string{"POST /status"}, false},
		{"slow", []string{"POST /", "status ", "HTTP/1.1\r\n", "Host: x\r\n"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			g := &ConnectionLimiter{Listener: l, capacity: 9, connections: map[*Connection]bool{},
				queueDelay: func() time.Duration { return time.Hour }}
			g.changed.L = &g.mu
			s := NewServer(&config.Config{}, new(metrics.ReasonCounters), func(*Submission) {}, func(*Submission) {})
			go func() { _ = s.http.Serve(g) }()
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
					t.Errorf("closed after %v: %v", time.Since(begun), err)
				}
				return
			}
			_ = peer.SetReadDeadline(time.Now().Add(ReadTimeout))
			if _, err := peer.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) || time.Since(begun) > ReadTimeout-waited/2 {
				t.Errorf("after %v: %v", time.Since(begun), err)
			}
		})
	}
}
