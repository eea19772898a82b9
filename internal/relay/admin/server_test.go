package admin

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"milletsail/internal/relay/metrics"
	"milletsail/policy"
)

// newTestServer opens an admin endpoint whose process takes clients.
func newTestServer(t *testing.T) *Server {
	t.Helper()
	m := metrics.New([]policy.Class{{Name: "a"}, {Name: "b"}})
	m.Serving.Store(true)
	d, err := Listen(t.Context(), "127.0.0.1:0", m)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	go d.Serve()
	return d
}

// sendCommand sends an operator's line and gives the whole reply.
func sendCommand(t *testing.T, addr, line string) string {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, line); err != nil {
		t.Fatal(err)
	}
	reply, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	return string(reply)
}

func TestReplies(t *testing.T) {
	d := newTestServer(t)
	d.metrics.CountResult(1, metrics.Rejected)
	d.metrics.UpstreamRequests.Add(3)
	want := `relay_downstream_requests{lane="a",result="completed"} 0
relay_downstream_requests{lane="a",result="rejected"} 0
relay_downstream_requests{lane="a",result="failed"} 0
relay_downstream_requests{lane="b",result="completed"} 0
relay_downstream_requests{lane="b",result="rejected"} 1
relay_downstream_requests{lane="b",result="failed"} 0
relay_upstream_requests 3
relay_pending 0
relay_members 0
relay_members_unavailable 0
END
`
	addr := d.listener.Addr().String()
	if got := sendCommand(t, addr, "counters\n"); got != want {
		t.Errorf("counters:\n%s", got)
	}
	if got := sendCommand(t, addr, "health\r\n"); got != "OK\n" {
		t.Errorf("health: %q", got)
	}
	for _, bad := range []string{"\n", "HEALTH\n", "health now\n", strings.Repeat("x", maxCommandSize) + "\n",
		strings.Repeat("x", 10*maxCommandSize), "health\n"} {
		if bad == "health\n" {
			d.metrics.Serving.Store(false)
		}
		if got := sendCommand(t, addr, bad); !strings.HasPrefix(got, "ERR") || strings.Count(got, "\n") != 1 {
			t.Errorf("%.20q: %q", bad, got)
		}
	}
}

// Callers that say nothing, or stop in the middle of a line, take no place from others.
func TestSilentSessions(t *testing.T) {
	d := newTestServer(t)
	addr := d.listener.Addr().String()
	var silent []net.Conn
	for i := range 3 * maxConnections {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "heal"[:4*(i%2)])
		silent = append(silent, c)
	}
	if got := sendCommand(t, addr, "health\n"); got != "OK\n" {
		t.Errorf("beside silent callers: %q", got)
	}
	// The last of them is still heard out.
	last := silent[len(silent)-1]
	_, _ = io.WriteString(last, "th\n")
	if reply, err := io.ReadAll(last); string(reply) != "OK\n" {
		t.Errorf("a slow call: %q, %v", reply, err)
	}
}

// A caller of the admin endpoint gets its whole reply and the end of the connection, whatever it sent behind its line: a
// close over unread bytes would reset the connection, and with it what the caller has not read yet.
func TestAdminReplyOutlivesTheClose(t *testing.T) {
	const replyLength = 256 << 10
	d := newTestServer(t)
	replying := make(chan bool, 1)
	for word, length := range map[string]int{"short": 2, "long": replyLength} {
		d.Handle(word, func(string) string {
			replying <- true
			return strings.Repeat("x", length)
		})
	}
	for _, tt := range []struct {
		name, line, more string
		want             int // bytes of the reply
	}{
		{"nothing more", "short\n", "", len("xx\n")},
		{"a second line, read with the first", "short\n", "short\n", len("xx\n")},
		{"more than is read with the line", "short\n", strings.Repeat("short\n", 1000), len("xx\n")},
		{"the same, and a long reply", "long\n", strings.Repeat("short\n", 1000), replyLength + 1},
	} {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", d.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		write(t, c, tt.line+tt.more)
		receive(t, replying)
		// The caller reads only when the endpoint is through with it.
		eventually(t, tt.name+": the endpoint is through", func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return len(d.open) == 0
		})
		_ = c.SetReadDeadline(time.Now().Add(long))
		if got, err := io.ReadAll(c); len(got) != tt.want || err != nil {
			t.Errorf("%s: %d bytes of the reply, want %d (%v)", tt.name, len(got), tt.want, err)
		}
		_ = c.Close()
	}
}

// long is longer than anything that a test waits for in vain.
const long = 20 * time.Second

// receive waits for a value.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(long):
		t.Fatal("waited in vain")
		panic("not reached")
	}
}

// write sends bytes on a client's connection.
func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// eventually waits for a condition; how long that takes decides nothing.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(long); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}
