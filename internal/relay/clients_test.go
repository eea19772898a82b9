package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/relay/frontend"
)

// startSlowRequest begins to hand a message in; the rest goes when finish is called, which gives the answer.
func startSlowRequest(t *testing.T, p *platform, id string) (c net.Conn, finish func() (httpResponse, error)) {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, "POST /status HTTP/1.1\r\nHost: relay\r\nTenant: acme\r\nX-Envelope: dest=7\r\n"+
		"Request-Timeout: 25\r\nRequest-Id: "+id+"\r\nContent-Length: 2\r\nX-Slow: ")
	return c, func() (httpResponse, error) {
		_, _ = io.WriteString(c, "\r\n\r\nhi")
		return readResponse(bufio.NewReader(c))
	}
}

// A crowd of silent connections, many times the limit, keeps neither new clients out nor slow ones.
func TestIdleConnectionsKeepNoClientOut(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.sockets = 64
	p.start()
	slow, finish := startSlowRequest(t, p, "slow")
	for range 3 {
		for i := range p.sockets {
			if i%16 == 0 { // it writes on, as slow clients do: on a busy machine the crowd takes longer than patience
				_, _ = io.WriteString(slow, "x")
			}
			c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
		}
		c := p.connectClient()
		if resp := c.submit(t, "status", "new"+c.LocalAddr().String()); resp.StatusCode != http.StatusAccepted {
			t.Errorf("a new client: %s", resp.Status)
		}
	}
	if resp, err := finish(); err != nil || resp.StatusCode != http.StatusAccepted {
		t.Errorf("a slow client: %v, %v", resp, err)
	}
}

// A planned end waits for a request that is still being written.
func TestShutdownWaitsForSlowRequest(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	old := p.start()
	_, finish := startSlowRequest(t, p, "slow")
	p.submitAccepted("status", "m", "25") // by then the slow one's first bytes are read
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.waitUntil("no new connection is taken", func() bool {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	if resp, err := finish(); err != nil || resp.StatusCode != http.StatusAccepted || !resp.Close {
		t.Errorf("a slow client: %v, %v", resp, err)
	}
	if err := old.waitForExit(t); err != nil {
		t.Error(err)
	}
}

// While discovery is down idle clients may fill the descriptors: calls, notices, the journal, the admin endpoint and honest
// clients still get theirs, and the list is followed at once when discovery is back.
func TestFileDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.sockets, p.limitDescriptors, p.failWatches, p.admin = 96, true, true, closedAddress(t)
	p.start()
	for range 3 * p.sockets {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	for _, id := range []string{"a", "b", "c"} {
		p.submitAccepted("status", id, "20")
		if got := p.nextCall(); got != id {
			t.Errorf("call for %s, want %s", got, id)
		}
	}
	p.update(func() { p.respond = func(*http.Request) int { return 0 } })
	p.submitAccepted("order", "late", "0.3")
	p.waitUntil("its notice is received", func() bool { return len(p.notifications()) == 1 })
	if got := sendAdminCommand(t, p.admin, "health\n"); got != "OK\n" {
		t.Errorf("health: %q", got)
	}
	p.update(func() { p.failWatches = false })
	p.waitUntil("the list is followed", func() bool {
		_, seq := readStoredList(t, p.stateDir)
		return seq == 41
	})
}

// A planned end: connections that rest are closed with nothing on them, an answer tells that its connection closes, and
// what its client sends all the same is neither sent on nor left for the next process.
func TestShutdownClosesConnections(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	old := p.start()
	idle, active := p.connectClient(), p.connectClient()
	for i, c := range []*clientConn{idle, active} {
		if resp := c.submit(t, "status", fmt.Sprint("before", i)); resp.StatusCode != http.StatusAccepted || resp.Close {
			t.Fatalf("before the end: %s", resp.Status)
		}
	}
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.waitUntil("it drains", func() bool {
		c := p.connectClient()
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: relay\r\n\r\n")
		resp, err := readResponse(bufio.NewReader(c))
		return err == nil && resp.Close
	})
	unused, opened := p.connectClient(), time.Now() // it sends nothing, and must not hold up the end
	_, _ = io.WriteString(active, encodedRequest("last")+encodedRequest("crossed"))
	got, err := io.ReadAll(active.in)
	if err != nil || strings.Count(string(got), "HTTP/1.1 202 ") != 1 || !strings.Contains(string(got), "Connection: close") {
		t.Errorf("answer %q (%v)", got, err)
	}
	if got, err := io.ReadAll(idle.in); len(got) > 0 || err != nil {
		t.Errorf("a resting connection: %q (%v)", got, err)
	}
	if err := old.waitForExit(t); err != nil {
		t.Errorf("exit: %v", err)
	}
	if took := time.Since(opened); took >= frontend.ReadTimeout {
		t.Errorf("it ended %v after a connection came that sends nothing: not before its read limit", took)
	}
	if got, err := io.ReadAll(unused.in); len(got) > 0 {
		t.Errorf("a fresh connection: %q (%v)", got, err)
	}
	if e := readEntries(t, p.stateDir); len(e) != 0 {
		t.Errorf("left in the journal: %v", e)
	}
	if calls := p.calls(); !slices.Contains(calls, "last") || slices.Contains(calls, "crossed") {
		t.Errorf("calls %v", calls)
	}
}

// encodedRequest is a complete request for destination 7.
func encodedRequest(id string) string {
	return clientRequest("POST /status", "hi", "Request-Id: "+id, "Idempotency-Key:")
}
