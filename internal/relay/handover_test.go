package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/handover"
)

// openClientSocket opens the socket for clients in the test process, so that relays inherit it and share it over an upgrade.
func (p *platform) openClientSocket() {
	p.t.Helper()
	l, err := (&net.ListenConfig{}).Listen(p.t.Context(), "tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		p.t.Fatalf("listener has type %T, want *net.TCPListener", l)
	}
	if p.clientSocket, err = tcp.File(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = p.clientSocket.Close() })
}

// startSuccessor starts a second relay process next to the running one, and waits until it serves clients after a handover.
func (p *platform) startSuccessor() *child {
	p.t.Helper()
	p.admin = closedAddress(p.t)
	c := p.start()
	p.waitUntil("the successor serves clients", func() bool {
		conn, err := (&net.Dialer{}).DialContext(p.t.Context(), "tcp", p.admin)
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "health\n")
		reply, _ := io.ReadAll(conn)
		return string(reply) == "OK\n"
	})
	return c
}

// clientConn is a client's persistent connection, on which it submits one message after another.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// connectClient opens a client's connection to the relay. It is closed when the test ends.
func (p *platform) connectClient() *clientConn {
	p.t.Helper()
	c, err := (&net.Dialer{}).DialContext(p.t.Context(), "tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() })
	return &clientConn{c, bufio.NewReader(c)}
}

// submit submits a message for destination 7 and returns the relay's response.
func (c *clientConn) submit(t *testing.T, class, id string) httpResponse {
	t.Helper()
	_, _ = fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: relay\r\nTenant: acme\r\nRequest-Id: %s\r\nIdempotency-Key: key-%s\r\n"+
		"Request-Timeout: 25\r\nX-Envelope: dest=7\r\nContent-Length: 2\r\n\r\nhi", class, id, id)
	resp, err := readResponse(c.in)
	if err != nil {
		t.Fatalf("no response to message %s: %v", id, err)
	}
	return resp
}

// waitForExit waits until the process ends and returns its error.
func (c *child) waitForExit(t *testing.T) error {
	t.Helper()
	select {
	case err := <-c.exited:
		return err
	case <-time.After(testTimeout):
		t.Fatal("the process did not exit in time")
		return nil
	}
}

// An upgrade under load must neither lose a message nor send one twice: the result of a call in flight in the predecessor has to
// count in the successor, and a client's open connection has to get one more response before it is closed.
func TestUpgradeUnderLoad(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	hold := make(chan bool)
	p.respond = p.respondAfter(hold)
	p.openClientSocket()
	old := p.start()
	c := p.connectClient()
	c.submit(t, "order", "out")
	p.waitUntil("its call is in flight", func() bool { return slices.Contains(p.calls(), "out") })
	p.startSuccessor()
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
	if resp := c.submit(t, "order", "through the old one"); resp.StatusCode != http.StatusAccepted || !resp.Close {
		t.Errorf("response through the predecessor: %s, close %v; want 202 with close", resp.Status, resp.Close)
	}
	p.submitAccepted("order", "to the new one", "25")
	p.waitUntil("both messages are delivered next to the call in flight", func() bool { return len(p.calls()) == 3 })
	p.waitUntil("their results are counted", func() bool {
		return strings.Contains(sendAdminCommand(t, p.admin, "counters\n"), "relay_pending 1\n")
	})
	close(hold)
	if err := old.waitForExit(t); err != nil {
		t.Errorf("predecessor exited with an error: %v", err)
	}
	p.waitUntil("all messages have ended", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	if sent, notifications := p.calls(), p.notifications(); len(sent) != 3 || len(notifications) != 0 {
		t.Errorf("calls %v, notifications %v; want 3 calls and no notification", sent, notifications)
	}
	// The successor of the first upgrade is the predecessor of a second one.
	p.startSuccessor()
	p.submitAccepted("order", "later", "25")
	p.waitUntil("the message is delivered", func() bool { return slices.Contains(p.calls(), "later") })
}

// A successor that reads a damaged journal assumes a lost attempt for each message. It must not act on such an attempt for a
// message whose call is in flight in the predecessor: the message is sent once, and the result of that call counts.
func TestUpgradeWithDamagedJournal(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	hold := make(chan bool)
	p.respond = p.respondAfter(hold)
	p.openClientSocket()
	old := p.start()
	p.submitAccepted("order", "out", "25")
	p.waitUntil("its call is in flight", func() bool { return len(p.calls()) == 1 })
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
	p.submitAccepted("status", "over", "25")
	p.nextCall()
	p.waitUntil("the message has ended", func() bool { return len(readEntries(t, p.stateDir)) == 1 })
	segments, err := filepath.Glob(filepath.Join(p.stateDir, "segment-*"))
	if err != nil || len(segments) != 1 {
		t.Fatal(segments, err)
	}
	file, err := os.OpenFile(segments[0], os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		t.Fatal(err)
	}
	lastRecords := make([]byte, 60) // the records of the end of the call and of the message
	if _, err := file.WriteAt(lastRecords, info.Size()-int64(len(lastRecords))); err != nil {
		t.Fatal(err)
	}
	p.submitAccepted("status", "behind the damage", "25")
	p.nextCall()
	p.waitUntil("the message after the damage has ended, and the one in flight has a second, uncertain attempt", func() bool {
		e := readEntries(t, p.stateDir)
		return !slices.ContainsFunc(e, func(e *journal.Entry) bool { return e.ID == "behind the damage" }) && len(e[0].Attempts) > 1
	})
	p.startSuccessor()
	p.submitAccepted("status", "new", "25")
	p.waitUntil("the successor sends a message", func() bool { return slices.Contains(p.calls(), "new") })
	sentOnce := func() bool {
		return len(slices.DeleteFunc(p.calls(), func(id string) bool { return id != "out" })) == 1
	}
	if !sentOnce() {
		t.Errorf("the message with a call in flight was sent again: calls %v", p.calls())
	}
	close(hold)
	if err := old.waitForExit(t); err != nil {
		t.Errorf("predecessor exited with an error: %v", err)
	}
	p.waitUntil("all messages have ended", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	if !sentOnce() || len(p.notifications()) != 0 {
		t.Errorf("calls %v, notifications %v; want one call for the message in flight and no notification",
			p.calls(), p.notifications())
	}
}

// An endpoint's request to wait, received by the predecessor, has to bind the successor too; it is transferred in the offer.
func TestRetryAfterSurvivesUpgrade(t *testing.T) {
	p := newPlatform(t)
	var refusedAt time.Time
	addr := serveRaw(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			req, err := readCall(in)
			if err != nil {
				return
			}
			text := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
			p.update(func() {
				if refusedAt.IsZero() {
					refusedAt, text = time.Now(), "HTTP/1.1 429 no\r\nX-Retry-In-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
				} else if wait := time.Since(refusedAt); wait < 1500*time.Millisecond {
					t.Errorf("sent again after %v, want at least 1.5 s", wait)
				}
			})
			_, _ = io.WriteString(c, text)
			p.callStarted <- req.Header.Get("Request-Id")
		}
	})
	p.hosts = []Member{{Host: "h1", Dial: addr, Site: "a", Class: "m2", Block: 7, Health: "SERVING", Share: 100}}
	p.openClientSocket()
	p.start()
	p.submitAccepted("status", "m", "25")
	p.nextCall()
	p.waitUntil("the refusal is in the journal", func() bool {
		e := readEntries(t, p.stateDir)
		return len(e) == 1 && len(e[0].Attempts) == 1 && e[0].Attempts[0].Ended
	})
	p.startSuccessor()
	p.nextCall()
}

// A predecessor that does not respond must not block an upgrade: the successor has to kill it and to start from the journal.
func TestUnresponsivePredecessorIsKilled(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.respond = func(*http.Request) int { return 0 }
	p.openClientSocket()
	old := p.start()
	p.submitAccepted("status", "m", "25")
	p.nextCall()
	if err := old.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
	p.startSuccessor()
	if err := old.waitForExit(t); err == nil {
		t.Error("the stopped predecessor exited without an error, want it killed")
	}
	p.waitUntil("the message has ended", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	if got := p.calls(); len(got) != 2 || len(p.notifications()) != 0 {
		t.Errorf("calls %v, notifications %v; want two calls and no notification", got, p.notifications())
	}
}

// A successor that dies before the transfer must not disturb the predecessor, which continues to deliver. One that dies after the
// transfer must not lose the messages: the predecessor exits, and the next process delivers them from the journal.
func TestSuccessorDiesAtEachStep(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.openClientSocket()
	old := p.start()
	request := func(conn net.Conn) error {
		_, err := io.WriteString(conn, `{"step":"ask"}`+"\n")
		return err
	}
	steps := []struct {
		name string
		act  func(net.Conn) error
	}{
		{"before the request", func(net.Conn) error { return nil }},
		{"after the request", request},
		{"after the offer", func(conn net.Conn) error {
			if err := request(conn); err != nil {
				return err
			}
			offer, err := bufio.NewReader(conn).ReadString('\n')
			if err == nil && !strings.HasPrefix(offer, `{"offer":`) {
				return fmt.Errorf("predecessor sent %q, want an offer", offer)
			}
			return err
		}},
	}
	for _, s := range steps {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "unix", filepath.Join(p.stateDir, "handover"))
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		if err := s.act(c); err != nil {
			t.Errorf("successor that dies %s: %v", s.name, err)
		}
		_ = c.Close()
		p.submitAccepted("status", s.name, "25")
		p.waitUntil("a message is delivered after a successor died "+s.name,
			func() bool { return slices.Contains(p.calls(), s.name) })
	}

	p.respond = func(*http.Request) int { return 0 }
	p.submitAccepted("status", "out", "25")
	p.waitUntil("its call is in flight", func() bool { return slices.Contains(p.calls(), "out") })
	acquired, err := handover.Request(t.Context(), p.stateDir, clock.Now().Add(testTimeout))
	if err != nil || len(acquired.Offer.InFlight) != 1 {
		t.Fatalf("handover.Request returned %+v, error %v; want one attempt in flight", acquired, err)
	}
	acquired.Predecessor.Close()
	if err := old.waitForExit(t); err != nil { // the call in flight ends with the process
		t.Error(err)
	}
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
	p.start()
	p.waitUntil("the next process delivers the message", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
}

// A handover has to work in a state directory whose path is longer than the path of a Unix socket may be.
func TestHandoverInLongPath(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.stateDir += "/" + strings.Repeat("long", 30)
	if err := os.Mkdir(p.stateDir, 0o700); err != nil {
		t.Fatal(err)
	}
	p.openClientSocket()
	old := p.start()
	p.startSuccessor()
	if err := old.waitForExit(t); err != nil {
		t.Error(err)
	}
}
