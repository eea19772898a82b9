package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/relay/config"
	"milletsail/internal/relay/metrics"
	"milletsail/policy"
)

// testServer serves clients without a relay behind it: what is handed in goes to admit.
func testServer(t *testing.T, admit, gone func(*arrival)) (*server, *gate) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &gate{Listener: l, room: 9, open: map[*client]bool{}}
	g.changed.L = &g.mu
	c := &config.Config{}
	c.Policy.Classes = []policy.Class{{Name: "status", Deadline: time.Minute}}
	s := newServer(c, new(metrics.ReasonCounters), admit, gone)
	go func() { _ = s.http.Serve(g) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s, g
}

// posted is a whole request for destination 7.
func posted(id string) string {
	return fmt.Sprintf("POST /status HTTP/1.1\r\nHost: relay\r\nTenant: acme\r\nRequest-Id: %s\r\nRequest-Timeout: 25\r\n"+
		"X-Envelope: dest=7\r\nContent-Length: 2\r\n\r\nhi", id)
}

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
		s, g := testServer(t, func(a *arrival) {
			admitted <- a.entry.ID
			a.verdict <- verdict{status: http.StatusAccepted}
		}, func(*arrival) {})
		s.closing.Store(true)
		c, err := net.Dial("tcp", g.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		wrote := make(chan error, 1)
		go func() {
			_, err := io.WriteString(c, tt.text)
			wrote <- errors.Join(err, c.(*net.TCPConn).CloseWrite())
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
	silent, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	flood, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer flood.Close()
	_, _ = io.WriteString(silent, "what?\r\n\r\n")
	for err = nil; err == nil; { // ends with the connection
		_, err = io.WriteString(flood, strings.Repeat("what?\r\n\r\n", 1000))
	}
	for end := time.Now().Add(long); g.clients() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections stay", g.clients())
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
		do   func(*client)
	}{
		{"for another's place", func(c *client) { c.closed = true }},
		{"after its last answer", func(c *client) {
			c.gate.mu.Unlock()
			_ = c.Close()
			c.gate.mu.Lock()
		}},
	} {
		g := &gate{open: map[*client]bool{}}
		g.changed.L = &g.mu
		c := &client{Conn: bytesAt{come: make(chan bool)}, gate: g}
		g.open[c] = true
		read := make(chan int, 1)
		go func() {
			n, _ := c.Read(make([]byte, 9))
			read <- n
		}()
		g.mu.Lock()
		c.Conn.(bytesAt).come <- true // they are read now, and the close is first at the lock
		closes.do(c)
		g.mu.Unlock()
		if n := receive(t, read); n != 0 {
			t.Errorf("%s: %d bytes were read on a closed connection", closes.name, n)
		}
		if c.begin() {
			t.Errorf("%s: a request was taken up on a closed connection", closes.name)
		}
	}
}

// A request whose connection the relay has closed meanwhile is not taken up, wherever its bytes are.
func TestRequestBehindTheClose(t *testing.T) {
	admitted := make(chan string, 9)
	s, g := testServer(t, func(a *arrival) {
		admitted <- a.entry.ID
		a.verdict <- verdict{status: http.StatusAccepted}
	}, func(*arrival) {})
	serve := s.http.Handler
	s.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The whole request is here, and the place goes to another before it is taken up.
		c := r.Context().Value(connKey{}).(*client)
		g.mu.Lock()
		c.closed = true
		g.mu.Unlock()
		serve.ServeHTTP(w, r)
	})
	c, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, posted("a"))
	_ = c.(*net.TCPConn).CloseWrite()
	for end := time.Now().Add(long); g.any(func(c *client) bool { return c.stage == answerDue }) && time.Now().Before(end); {
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
	_, g := testServer(t, func(*arrival) {}, func(*arrival) { left <- true })
	c, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, posted("a"))
	_ = c.(*net.TCPConn).CloseWrite()
	receive(t, left)
	_ = c.SetReadDeadline(time.Now().Add(long))
	if got, err := io.ReadAll(c); len(got) > 0 {
		t.Errorf("answer %q (%v)", got, err)
	}
}

// A planned end: connections that rest are closed with nothing on them, an answer tells that its connection closes, and
// what its client sends all the same is neither sent on nor left for the next process.
func TestPlannedEndOfConnections(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	old := p.start()
	resting, next := p.keep(), p.keep()
	for i, c := range []*keptConn{resting, next} {
		if resp := c.handIn(t, "status", fmt.Sprint("before", i)); resp.StatusCode != http.StatusAccepted || resp.Close {
			t.Fatalf("before the end: %s", resp.Status)
		}
	}
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.until("it drains", func() bool {
		c := p.keep()
		defer c.Close()
		_, _ = io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: relay\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		return err == nil && resp.Close
	})
	fresh, opened := p.keep(), time.Now() // it sends nothing, and must not hold up the end
	_, _ = io.WriteString(next, posted("last")+posted("crossed"))
	got, err := io.ReadAll(next.in)
	if err != nil || strings.Count(string(got), "HTTP/1.1 202 ") != 1 || !strings.Contains(string(got), "Connection: close") {
		t.Errorf("answer %q (%v)", got, err)
	}
	if got, err := io.ReadAll(resting.in); len(got) > 0 || err != nil {
		t.Errorf("a resting connection: %q (%v)", got, err)
	}
	if err := old.exit(t); err != nil {
		t.Errorf("exit: %v", err)
	}
	if took := time.Since(opened); took >= readTime {
		t.Errorf("it ended %v after a connection came that sends nothing: not before its read limit", took)
	}
	if got, err := io.ReadAll(fresh.in); len(got) > 0 {
		t.Errorf("a fresh connection: %q (%v)", got, err)
	}
	if e := readEntries(t, p.dir); len(e) != 0 {
		t.Errorf("left in the journal: %v", e)
	}
	if calls := p.sent(); !slices.Contains(calls, "last") || slices.Contains(calls, "crossed") {
		t.Errorf("calls %v", calls)
	}
}
