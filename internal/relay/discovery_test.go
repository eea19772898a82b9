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

// endpointUpdate is a change of one host, as a watch tells it.
func endpointUpdate(t *testing.T, seq int64, m Member) string {
	t.Helper()
	line, err := json.Marshal(Members{Seq: seq, Hosts: []Member{m}})
	if err != nil {
		t.Fatal(err)
	}
	return string(line)
}

// A host that drains gets nothing new, and one that is not of a destination nothing at all. That holds as well
// where the settings say that changes come unasked.
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
	p.waitUntil("the new host is used", func() bool {
		n++
		p.submitAccepted("status", "b"+strings.Repeat("b", n), "20")
		p.nextCall()
		return calledHost == fresh.Dial
	})
	for range 5 {
		n++
		p.submitAccepted("status", "b"+strings.Repeat("b", n), "20")
		if p.nextCall(); calledHost != fresh.Dial {
			t.Fatal("a draining host got new work")
		}
	}
}

// testTimeout is longer than anything that a test waits for in vain.
const testTimeout = 20 * time.Second

// receive waits for a value.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatal("waited in vain")
		panic("not reached")
	}
}

// A host that was told to drain gets nothing from the next process either, though the configuration's list is
// older than that and discovery is down.
func TestDrainingSurvivesRestart(t *testing.T) {
	p := newPlatform(t)
	old := p.addHost("h1", 7)
	c := p.start()
	old.Health = draining
	p.watchLines <- endpointUpdate(t, 42, old)
	p.waitUntil("the change is noted", func() bool {
		_, seq := readStoredList(t, p.stateDir)
		return seq == 42
	})
	p.kill(c)
	p.update(func() { p.failWatches = true })
	p.start()
	p.submitAccepted("status", "m", "0.5")
	p.waitUntil("it has its end", func() bool { return len(p.notifications()) == 1 })
	if calls := p.calls(); len(calls) != 0 {
		t.Errorf("calls at a draining host: %v", calls)
	}
}

// A reload moves the watch and the notices to the new address, and what is held stays.
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
	reload([]byte("{")) // changes nothing
	p.submitAccepted("status", "a", "20")
	p.nextCall()
	reload(text)
	p.waitUntil("the new list is in force", func() bool {
		hosts, _ := readStoredList(t, p.stateDir)
		return len(hosts) == 1 && hosts[0].Host == fresh.Host
	})
	next.respond = func(*http.Request) int { return 0 }
	r := p.submit("order", "b", "0.4", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=8") })
	if r.StatusCode != http.StatusAccepted {
		t.Errorf("b: %s", r.Status)
	}
	p.waitUntil("the notice comes to the new address", func() bool { return len(next.notifications()) == 1 })
	if n := p.notifications(); len(n) != 0 {
		t.Errorf("notices at the old address: %v", n)
	}
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, c.exited); err != nil {
		t.Errorf("exit: %v", err)
	}
}
