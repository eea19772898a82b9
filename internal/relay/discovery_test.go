package relay

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// endpointUpdate returns the line of the watch that reports a change of one endpoint.
func endpointUpdate(t *testing.T, seq int64, m Member) string {
	t.Helper()
	line, err := json.Marshal(Members{Seq: seq, Hosts: []Member{m}})
	if err != nil {
		t.Fatal(err)
	}
	return string(line)
}

// Guards against messages that are sent to an endpoint after the list reports it as draining, both with a watch that the relay
// subscribes to and with one that sends changes automatically.
func TestDrainingEndpoint(t *testing.T) {
	for _, mode := range []string{"subscribe", "automatic"} {
		t.Run(mode, func(t *testing.T) { testDrainingEndpoint(t, mode) })
	}
}

func testDrainingEndpoint(t *testing.T, mode string) {
	t.Helper()
	p := newPlatform(t)
	p.discoveryMode = mode
	old := p.addHost("h1", 7)
	p.start()
	p.submitAccepted("status", "a", "20")
	p.nextCall()
	old.Health = draining
	fresh := p.addHost("h2", 7)
	var calledHost string
	p.update(func() {
		p.respond = func(r *http.Request) int {
			calledHost = r.Host
			return http.StatusOK
		}
	})
	p.watchLines <- endpointUpdate(t, 42, old)
	p.watchLines <- endpointUpdate(t, 43, fresh)
	n := 0
	p.waitUntil("the new endpoint gets a message", func() bool {
		n++
		p.submitAccepted("status", "b"+strings.Repeat("b", n), "20")
		p.nextCall()
		return calledHost == fresh.Dial
	})
	for range 5 {
		n++
		p.submitAccepted("status", "b"+strings.Repeat("b", n), "20")
		if p.nextCall(); calledHost != fresh.Dial {
			t.Fatal("a draining endpoint got a new message")
		}
	}
}

// testTimeout is how long a test waits for something before it fails. It is longer than any wait of a passing test.
const testTimeout = 20 * time.Second

// receive returns the next value from a channel. It fails the test if none comes within testTimeout.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for a value on a channel")
		panic("not reached")
	}
}

// Guards against a restart that sends messages to a draining endpoint: discovery is down, and the configuration's list is older
// than the one in which the endpoint drains.
func TestDrainingSurvivesRestart(t *testing.T) {
	p := newPlatform(t)
	old := p.addHost("h1", 7)
	c := p.start()
	old.Health = draining
	p.watchLines <- endpointUpdate(t, 42, old)
	p.waitUntil("version 42 of the list is stored", func() bool {
		_, seq := readStoredList(t, p.stateDir)
		return seq == 42
	})
	p.kill(c)
	p.update(func() { p.failWatches = true })
	p.start()
	p.submitAccepted("status", "m", "0.5")
	p.waitUntil("the notification of the expired message is received", func() bool { return len(p.notifications()) == 1 })
	if calls := p.calls(); len(calls) != 0 {
		t.Errorf("calls to a draining endpoint: %v, want none", calls)
	}
}

// Guards against a reload that leaves the watch or the notifications at discovery's old address, or that ends the process when
// the file is malformed.
func TestReloadMovesDiscovery(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	c := p.start()
	next := newPlatform(t)
	next.addr = p.addr
	fresh := next.addHost("h2", 8)
	text, err := os.ReadFile(next.writeConfig())
	if err != nil {
		t.Fatal(err)
	}
	reload := func(text []byte) {
		t.Helper()
		if err := os.WriteFile(c.config, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := c.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	reload([]byte("{")) // malformed, so it has no effect
	p.submitAccepted("status", "a", "20")
	p.nextCall()
	reload(text)
	p.waitUntil("the list from the new address is stored", func() bool {
		hosts, _ := readStoredList(t, p.stateDir)
		return len(hosts) == 1 && hosts[0].Host == fresh.Host
	})
	next.respond = func(*http.Request) int { return 0 }
	r := p.submit("order", "b", "0.4", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=8") })
	if r.StatusCode != http.StatusAccepted {
		t.Errorf("message b got %s, want 202", r.Status)
	}
	p.waitUntil("the notification is received at the new address", func() bool { return len(next.notifications()) == 1 })
	if n := p.notifications(); len(n) != 0 {
		t.Errorf("notifications at the old address: %v, want none", n)
	}
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, c.exited); err != nil {
		t.Errorf("relay exited with an error: %v", err)
	}
}
