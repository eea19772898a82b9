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

// openClientSocket has the platform hold the clients' socket.
func (p *platform) openClientSocket() {
	p.t.Helper()
	l, err := (&net.ListenConfig{}).Listen(p.t.Context(), "tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		p.t.Fatalf("a listener of type %T", l)
	}
	if p.clientSocket, err = tcp.File(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = p.clientSocket.Close() })
}

// startSuccessor starts a process beside the one that runs, and waits until it takes clients.
func (p *platform) startSuccessor() *child {
	p.t.Helper()
	p.admin = closedAddress(p.t)
	c := p.start()
	p.waitUntil("the new process takes clients", func() bool {
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

// clientConn is a client's connection that carries one message after another.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func (p *platform) connectClient() *clientConn {
	p.t.Helper()
	c, err := (&net.Dialer{}).DialContext(p.t.Context(), "tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() })
	return &clientConn{c, bufio.NewReader(c)}
}

// submit hands a message in and gives the answer.
func (c *clientConn) submit(t *testing.T, class, id string) httpResponse {
	t.Helper()
	_, _ = fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: relay\r\nTenant: acme\r\nRequest-Id: %s\r\nIdempotency-Key: key-%s\r\n"+
		"Request-Timeout: 25\r\nX-Envelope: dest=7\r\nContent-Length: 2\r\n\r\nhi", class, id, id)
	resp, err := readResponse(c.in)
	if err != nil {
		t.Fatalf("%s: %v", id, err)
	}
	return resp
}

// waitForExit waits for the end of a process.
func (c *child) waitForExit(t *testing.T) error {
	t.Helper()
	select {
	case err := <-c.exited:
		return err
	case <-time.After(testTimeout):
		t.Fatal("the process does not end")
		return nil
	}
}

// A new version takes over under load: the call that is out ends in the old process and counts in the new one,
// clients keep their connections for one more answer, and each message is sent once.
func TestUpgrade(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	hold := make(chan bool)
	p.respond = p.respondAfter(hold)
	p.openClientSocket()
	old := p.start()
	c := p.connectClient()
	c.submit(t, "order", "out")
	p.waitUntil("its call is out", func() bool { return slices.Contains(p.calls(), "out") })
	p.startSuccessor()
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
	if resp := c.submit(t, "order", "through the old one"); resp.StatusCode != http.StatusAccepted || !resp.Close {
		t.Errorf("through the old process: %s, close %v", resp.Status, resp.Close)
	}
	p.submitAccepted("order", "to the new one", "25")
	p.waitUntil("both are delivered beside the call that is out", func() bool { return len(p.calls()) == 3 })
	p.waitUntil("their answers are counted", func() bool {
		return strings.Contains(sendAdminCommand(t, p.admin, "counters\n"), "relay_pending 1\n")
	})
	close(hold)
	if err := old.waitForExit(t); err != nil {
		t.Errorf("the old process: %v", err)
	}
	p.waitUntil("all are over", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	if sent, told := p.calls(), p.notifications(); len(sent) != 3 || len(told) != 0 {
		t.Errorf("calls %v, notices %v", sent, told)
	}
	// And once more, the new one being the old one now.
	p.startSuccessor()
	p.submitAccepted("order", "later", "25")
	p.waitUntil("it is delivered", func() bool { return slices.Contains(p.calls(), "later") })
}

// The new process finds the journal damaged, so that each message may have one more attempt: the call that is out is
// still the only one, and its end counts.
func TestUpgradeWithADamagedJournal(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	hold := make(chan bool)
	p.respond = p.respondAfter(hold)
	p.openClientSocket()
	old := p.start()
	p.submitAccepted("order", "out", "25")
	p.waitUntil("its call is out", func() bool { return len(p.calls()) == 1 })
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
	p.submitAccepted("status", "over", "25")
	p.nextCall()
	p.waitUntil("it is over", func() bool { return len(readEntries(t, p.stateDir)) == 1 })
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
	lastRecords := make([]byte, 60) // that its call has ended, and that it is over
	if _, err := file.WriteAt(lastRecords, info.Size()-int64(len(lastRecords))); err != nil {
		t.Fatal(err)
	}
	p.submitAccepted("status", "behind the damage", "25")
	p.nextCall()
	p.waitUntil("it is over, and the call that is out has one beside it that may be missing", func() bool {
		e := readEntries(t, p.stateDir)
		return !slices.ContainsFunc(e, func(e *journal.Entry) bool { return e.ID == "behind the damage" }) && len(e[0].Attempts) > 1
	})
	p.startSuccessor()
	p.submitAccepted("status", "new", "25")
	p.waitUntil("the new process sends", func() bool { return slices.Contains(p.calls(), "new") })
	once := func() bool {
		return len(slices.DeleteFunc(p.calls(), func(id string) bool { return id != "out" })) == 1
	}
	if !once() {
		t.Errorf("a second attempt while one is out: %v", p.calls())
	}
	close(hold)
	if err := old.waitForExit(t); err != nil {
		t.Errorf("the old process: %v", err)
	}
	p.waitUntil("all are over", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	if !once() || len(p.notifications()) != 0 {
		t.Errorf("calls %v, notices %v", p.calls(), p.notifications())
	}
}

// A wait that the old process was told binds the new one too.
func TestRetryAfterSurvivesUpgrade(t *testing.T) {
	p := newPlatform(t)
	var told time.Time
	addr := serveRaw(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			req, err := readCall(in)
			if err != nil {
				return
			}
			text := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
			p.update(func() {
				if told.IsZero() {
					told, text = time.Now(), "HTTP/1.1 429 no\r\nX-Retry-In-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
				} else if wait := time.Since(told); wait < 1500*time.Millisecond {
					t.Errorf("sent again after %v", wait)
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
	p.waitUntil("the refusal is noted", func() bool {
		e := readEntries(t, p.stateDir)
		return len(e) == 1 && len(e[0].Attempts) == 1 && e[0].Attempts[0].Ended
	})
	p.startSuccessor()
	p.nextCall()
}

// An old process that is silent is ended, and the new one starts from the journal.
func TestSilentOldProcess(t *testing.T) {
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
		t.Error("the silent process ended in order")
	}
	p.waitUntil("the message is over", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	if got := p.calls(); len(got) != 2 || len(p.notifications()) != 0 {
		t.Errorf("calls %v, notices %v", got, p.notifications())
	}
}

// A new process that dies in the middle of its steps changes nothing, and one that dies as the owner leaves the
// journal to the next.
func TestNewProcessDies(t *testing.T) {
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
		take func(net.Conn) error
	}{
		{"before it asks", func(net.Conn) error { return nil }},
		{"once it has asked", request},
		{"with the offer", func(conn net.Conn) error {
			if err := request(conn); err != nil {
				return err
			}
			offer, err := bufio.NewReader(conn).ReadString('\n')
			if err == nil && !strings.HasPrefix(offer, `{"offer":`) {
				return fmt.Errorf("the predecessor sent %q", offer)
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
		if err := s.take(c); err != nil {
			t.Errorf("%s: %v", s.name, err)
		}
		_ = c.Close()
		p.submitAccepted("status", s.name, "25")
		p.waitUntil(s.name, func() bool { return slices.Contains(p.calls(), s.name) })
	}

	p.respond = func(*http.Request) int { return 0 }
	p.submitAccepted("status", "out", "25")
	p.waitUntil("its call is out", func() bool { return slices.Contains(p.calls(), "out") })
	acquired, err := handover.Request(t.Context(), p.stateDir, clock.Now().Add(testTimeout))
	if err != nil || len(acquired.Offer.InFlight) != 1 {
		t.Fatalf("acquired %+v, %v", acquired, err)
	}
	acquired.Predecessor.Close()
	if err := old.waitForExit(t); err != nil { // its call is off the wire with it
		t.Error(err)
	}
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
	p.start()
	p.waitUntil("the next one delivers", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
}

// A folder whose path is too long for a socket can be handed over too.
func TestSocketInALongPath(t *testing.T) {
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
