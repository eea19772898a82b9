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

// startSlowRequest sends the beginning of a request. finish sends the rest and returns the response.
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

// Guards against idle connections that use up the connection limit: with three times as many of them as the limit, new clients
// and one with a partly written request must still be served.
func TestIdleConnectionsKeepNoClientOut(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.sockets = 64
	p.start()
	slow, finish := startSlowRequest(t, p, "slow")
	for range 3 {
		for i := range p.sockets {
			if i%16 == 0 { // keeps the slow request from being evicted as stalled while the connections are opened
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
			t.Errorf("new client got %s, want 202", resp.Status)
		}
	}
	if resp, err := finish(); err != nil || resp.StatusCode != http.StatusAccepted {
		t.Errorf("slow client got %v (error %v), want 202", resp, err)
	}
}

// Guards against a graceful shutdown that drops a request which the client is still writing at SIGTERM.
func TestShutdownWaitsForSlowRequest(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	old := p.start()
	_, finish := startSlowRequest(t, p, "slow")
	p.submitAccepted("status", "m", "25") // by the time it is accepted the first bytes of the slow request have been read
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.waitUntil("new connections are refused", func() bool {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	if resp, err := finish(); err != nil || resp.StatusCode != http.StatusAccepted || !resp.Close {
		t.Errorf("slow client got %v (error %v), want 202", resp, err)
	}
	if err := old.waitForExit(t); err != nil {
		t.Errorf("relay exited with an error: %v", err)
	}
}

// Guards against idle client connections that use up the file descriptors while discovery is down: calls, notifications, the
// journal, the admin endpoint and other clients must still get theirs, and so must the watch once discovery is back.
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
			t.Errorf("got a call for message %s, want %s", got, id)
		}
	}
	p.update(func() { p.respond = func(*http.Request) int { return 0 } })
	p.submitAccepted("order", "late", "0.3")
	p.waitUntil("the notification of the expired message is received", func() bool { return len(p.notifications()) == 1 })
	if got := sendAdminCommand(t, p.admin, "health\n"); got != "OK\n" {
		t.Errorf("admin command health returned %q, want OK", got)
	}
	p.update(func() { p.failWatches = false })
	p.waitUntil("version 41 of the list is stored", func() bool {
		_, seq := readStoredList(t, p.stateDir)
		return seq == 41
	})
}

// Guards against connections that a graceful shutdown closes wrongly: idle ones must be closed without a response, a response
// must announce that its connection closes, and a request that follows on the same connection must be neither delivered nor
// recorded.
func TestShutdownClosesConnections(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	old := p.start()
	idle, active := p.connectClient(), p.connectClient()
	for i, c := range []*clientConn{idle, active} {
		if resp := c.submit(t, "status", fmt.Sprint("before", i)); resp.StatusCode != http.StatusAccepted || resp.Close {
			t.Fatalf("before the shutdown: got %s, want 202 with keep-alive", resp.Status)
		}
	}
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.waitUntil("the relay is draining", func() bool {
		c := p.connectClient()
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: relay\r\n\r\n")
		resp, err := readResponse(bufio.NewReader(c))
		return err == nil && resp.Close
	})
	unused, opened := p.connectClient(), time.Now() // it sends nothing, and must not delay the shutdown
	_, _ = io.WriteString(active, encodedRequest("last")+encodedRequest("crossed"))
	got, err := io.ReadAll(active.in)
	if err != nil || strings.Count(string(got), "HTTP/1.1 202 ") != 1 || !strings.Contains(string(got), "Connection: close") {
		t.Errorf("active connection got %q (error %v), want a single 202 with Connection: close", got, err)
	}
	if got, err := io.ReadAll(idle.in); len(got) > 0 || err != nil {
		t.Errorf("idle connection got %q (error %v), want no data", got, err)
	}
	if err := old.waitForExit(t); err != nil {
		t.Errorf("relay exited with an error: %v", err)
	}
	if took := time.Since(opened); took >= frontend.ReadTimeout {
		t.Errorf("the relay exited %v after an unused connection was opened, want less than frontend.ReadTimeout", took)
	}
	if got, err := io.ReadAll(unused.in); len(got) > 0 {
		t.Errorf("unused connection got %q (error %v), want no data", got, err)
	}
	if e := readEntries(t, p.stateDir); len(e) != 0 {
		t.Errorf("journal entries after the exit: %v, want none", e)
	}
	if calls := p.calls(); !slices.Contains(calls, "last") || slices.Contains(calls, "crossed") {
		t.Errorf("calls %v, want one for \"last\" and none for \"crossed\"", calls)
	}
}

// encodedRequest returns a complete request for destination 7, as it goes on the wire.
func encodedRequest(id string) string {
	return clientRequest("POST /status", "hi", "Request-Id: "+id, "Idempotency-Key:")
}
