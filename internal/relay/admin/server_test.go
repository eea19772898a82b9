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

// newTestServer starts an admin endpoint for two classes in a process that serves clients. It is closed when the test ends.
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

// sendCommand sends text on a new connection and returns the whole reply.
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
		t.Fatalf("reply to %q not read to its end: %v", line, err)
	}
	return string(reply)
}

// The test guards the replies to health and counters, and that malformed and unknown commands get an error of one line.
func TestRepliesToCommands(t *testing.T) {
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
		t.Errorf("reply to counters differs from the expected text:\n%s", got)
	}
	if got := sendCommand(t, addr, "health\r\n"); got != "OK\n" {
		t.Errorf("reply to health: %q, want OK", got)
	}
	for _, bad := range []string{"\n", "HEALTH\n", "health now\n", strings.Repeat("x", maxCommandSize) + "\n",
		strings.Repeat("x", 10*maxCommandSize), "health\n"} {
		if bad == "health\n" {
			d.metrics.Serving.Store(false)
		}
		if got := sendCommand(t, addr, bad); !strings.HasPrefix(got, "ERR") || strings.Count(got, "\n") != 1 {
			t.Errorf("reply to %.20q: %q, want one line that begins with ERR", bad, got)
		}
	}
}

// Connections that send nothing, or only part of a line, must not keep an operator out: the oldest of them are evicted when all
// sessions are in use, and the newest can still complete its command.
func TestSilentSessionsAreEvicted(t *testing.T) {
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
		t.Errorf("reply to health with all sessions held by silent callers: %q, want OK", got)
	}
	// The newest silent session was not evicted and completes its command.
	last := silent[len(silent)-1]
	_, _ = io.WriteString(last, "th\n")
	if reply, err := io.ReadAll(last); string(reply) != "OK\n" {
		t.Errorf("reply to a command sent in two parts: %q, error %v; want OK", reply, err)
	}
}

// A close with unread data in the receive buffer resets the connection, and the caller loses what it has not read of the reply.
// The server has to discard data after the command, so that the caller gets the whole reply and a regular end of the connection.
func TestReplyCompleteDespiteDataAfterCommand(t *testing.T) {
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
		{"no data after the command", "short\n", "", len("xx\n")},
		{"second line read together with the command", "short\n", "short\n", len("xx\n")},
		{"more data than is read with the command", "short\n", strings.Repeat("short\n", 1000), len("xx\n")},
		{"more data than is read with the command, and a long reply", "long\n", strings.Repeat("short\n", 1000), replyLength + 1},
	} {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", d.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		write(t, c, tt.line+tt.more)
		receive(t, replying)
		// The caller starts to read only after the server has closed its session.
		eventually(t, tt.name+": the server closes the session", func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return len(d.open) == 0
		})
		_ = c.SetReadDeadline(time.Now().Add(long))
		if got, err := io.ReadAll(c); len(got) != tt.want || err != nil {
			t.Errorf("%s: received %d bytes of the reply, want %d (error %v)", tt.name, len(got), tt.want, err)
		}
		_ = c.Close()
	}
}

// long bounds every wait of a test. It is far longer than a passing test needs.
const long = 20 * time.Second

// receive returns the next value of a channel, and fails the test if none arrives in time.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(long):
		t.Fatal("timed out waiting for a value on a channel")
		panic("not reached")
	}
}

// write writes text to a connection, and fails the test if that fails.
func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// eventually waits until a condition holds, and fails the test if it does not hold in time; what describes the condition.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(long); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}
