package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/clock"
)

func TestLeastPromise(t *testing.T) {
	now := clock.Now()
	ago := func(s stage, d time.Duration) *client { return &client{stage: s, heard: now.Add(-d)} }
	tests := []struct {
		name string
		open []*client // the first one goes, if any does
		none bool
	}{
		{"the oldest that sent nothing", []*client{ago(waiting, 3*time.Second), ago(waiting, time.Second)}, false},
		{"one that sent nothing before one that stalls", []*client{ago(waiting, time.Millisecond), ago(reading, 2*time.Second)}, false},
		{"the one stalled longest", []*client{ago(reading, 2*time.Second), ago(reading, time.Second), ago(answerDue, time.Minute)}, false},
		{"one whose last answer is out before one that stalls", []*client{ago(lingering, lingerLeast), ago(reading, 2*time.Second)}, false},
		{"none whose answer is on its way", []*client{ago(lingering, lingerLeast/2), ago(answerDue, time.Minute)}, true},
		{"none that writes on or is owed its answer", []*client{ago(reading, patience/2), ago(answerDue, time.Minute)}, true},
	}
	for _, tt := range tests {
		g := &gate{open: map[*client]bool{}}
		for _, c := range tt.open {
			g.open[c] = true
		}
		want := tt.open[0]
		if tt.none {
			want = nil
		}
		if got := g.leastPromise(now); got != want {
			t.Errorf("%s: got %+v", tt.name, got)
		}
	}
}

// Clients get what is left beside calls, idle connections and another process, within their share.
func TestClientRoom(t *testing.T) {
	for _, tt := range []struct{ sockets, slots, want int }{{1024, 33, 512}, {224, 33, 85}, {192, 33, 64}, {192, 100, 64}, {3, 9, 1}} {
		if got := clientRoom(tt.sockets, tt.slots); got != tt.want {
			t.Errorf("%d descriptors, %d slots: room %d, want %d", tt.sockets, tt.slots, got, tt.want)
		}
	}
}

// slowPost begins to hand a message in; the rest goes when finish is called, which gives the answer.
func slowPost(t *testing.T, p *platform, id string) (c net.Conn, finish func() (*http.Response, error)) {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, "POST /status HTTP/1.1\r\nHost: relay\r\nTenant: acme\r\nX-Envelope: dest=7\r\n"+
		"Request-Timeout: 25\r\nRequest-Id: "+id+"\r\nContent-Length: 2\r\nX-Slow: ")
	return c, func() (*http.Response, error) {
		_, _ = io.WriteString(c, "\r\n\r\nhi")
		return http.ReadResponse(bufio.NewReader(c), nil)
	}
}

// A crowd of silent connections, many times the limit, keeps neither new clients out nor slow ones.
func TestCrowd(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.sockets = 64
	p.start()
	slow, finish := slowPost(t, p, "slow")
	for range 3 {
		for i := range p.sockets {
			if i%16 == 0 { // it writes on, as slow clients do: on a busy machine the crowd takes longer than patience
				_, _ = io.WriteString(slow, "x")
			}
			c, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
		}
		c := p.keep()
		if resp := c.handIn(t, "status", "new"+c.LocalAddr().String()); resp.StatusCode != http.StatusAccepted {
			t.Errorf("a new client: %s", resp.Status)
		}
	}
	if resp, err := finish(); err != nil || resp.StatusCode != http.StatusAccepted {
		t.Errorf("a slow client: %v, %v", resp, err)
	}
}

// A planned end waits for a request that is still being written.
func TestPlannedEndWithSlowClient(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	old := p.start()
	_, finish := slowPost(t, p, "slow")
	p.take("status", "m", "25") // by then the slow one's first bytes are read
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.until("no new connection is taken", func() bool {
		c, err := net.Dial("tcp", p.addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	if resp, err := finish(); err != nil || resp.StatusCode != http.StatusAccepted || !resp.Close {
		t.Errorf("a slow client: %v, %v", resp, err)
	}
	if err := old.exit(t); err != nil {
		t.Error(err)
	}
}

// While discovery is down idle clients may fill the descriptors: calls, notices, the journal, the admin endpoint and honest
// clients still get theirs, and the list is followed at once when discovery is back.
func TestDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.sockets, p.limited, p.down, p.admin = 96, true, true, closedAddress(t)
	p.start()
	for range 3 * p.sockets {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	for _, id := range []string{"a", "b", "c"} {
		p.take("status", id, "20")
		if got := p.called(); got != id {
			t.Errorf("call for %s, want %s", got, id)
		}
	}
	p.set(func() { p.answer = func(*http.Request) int { return 0 } })
	p.take("order", "late", "0.3")
	p.until("its notice is received", func() bool { return len(p.told()) == 1 })
	if got := askOperator(t, p.admin, "health\n"); got != "OK\n" {
		t.Errorf("health: %q", got)
	}
	p.set(func() { p.down = false })
	p.until("the list is followed", func() bool {
		_, seq := storedList(t, p.dir)
		return seq == 41
	})
}
