package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"milletsail/internal/relay/metrics"
	"milletsail/policy"
)

// testAdmin opens an admin endpoint whose process takes clients.
func testAdmin(t *testing.T) *adminServer {
	t.Helper()
	m := metrics.New([]policy.Class{{Name: "a"}, {Name: "b"}})
	m.Serving.Store(true)
	d, err := openAdmin("127.0.0.1:0", m)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.listener.Close() })
	go d.serve()
	return d
}

// ask sends an operator's line and gives the whole reply.
func ask(t testing.TB, addr, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, line); err != nil {
		t.Fatal(err)
	}
	reply, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	return string(reply)
}

func TestAdminReplies(t *testing.T) {
	d := testAdmin(t)
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
	if got := ask(t, addr, "counters\n"); got != want {
		t.Errorf("counters:\n%s", got)
	}
	if got := ask(t, addr, "health\r\n"); got != "OK\n" {
		t.Errorf("health: %q", got)
	}
	for _, bad := range []string{"\n", "HEALTH\n", "health now\n", strings.Repeat("x", maxCall) + "\n",
		strings.Repeat("x", 10*maxCall), "health\n"} {
		if bad == "health\n" {
			d.metrics.Serving.Store(false)
		}
		if got := ask(t, addr, bad); !strings.HasPrefix(got, "ERR") || strings.Count(got, "\n") != 1 {
			t.Errorf("%.20q: %q", bad, got)
		}
	}
}

// Callers that say nothing, or stop in the middle of a line, take no place from others.
func TestAdminWithSilentCallers(t *testing.T) {
	d := testAdmin(t)
	addr := d.listener.Addr().String()
	var silent []net.Conn
	for i := range 3 * adminConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "heal"[:4*(i%2)])
		silent = append(silent, c)
	}
	if got := ask(t, addr, "health\n"); got != "OK\n" {
		t.Errorf("beside silent callers: %q", got)
	}
	// The last of them is still heard out.
	last := silent[len(silent)-1]
	_, _ = io.WriteString(last, "th\n")
	if reply, err := io.ReadAll(last); string(reply) != "OK\n" {
		t.Errorf("a slow call: %q, %v", reply, err)
	}
}

// What becomes of messages is counted where it happens, and a call with several messages counts each.
func TestFiguresOfARelay(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.admin = closedAddress(t)
	p.bundle = 10
	hold := make(chan bool)
	p.answer = p.held(hold)
	p.start()
	if got := ask(t, p.admin, "health\n"); got != "OK\n" {
		t.Errorf("health: %q", got)
	}
	has := func(lines ...string) func() bool {
		return func() bool {
			text := ask(t, p.admin, "counters\n")
			for _, l := range lines {
				if !strings.Contains(text, l+"\n") {
					return false
				}
			}
			return true
		}
	}
	for _, id := range []string{"a", "b", "c"} {
		p.take("status", id, "20")
	}
	p.handIn("order", "d", "20", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=9") })
	p.handIn("order", "malformed", "20", func(r *http.Request) { r.Header.Set("X-Envelope", "") })
	p.until("three are pending and one is refused", has("relay_pending 3", "relay_members 1",
		`relay_downstream_requests{lane="order",result="rejected"} 1`,
		`relay_downstream_requests{lane="status",result="completed"} 0`))
	close(hold)
	p.until("all are delivered", has("relay_pending 0", "relay_upstream_requests 3",
		`relay_downstream_requests{lane="status",result="completed"} 3`, "relay_members_unavailable 0"))
	p.set(func() { p.answer = func(*http.Request) int { return http.StatusInternalServerError } })
	p.take("order", "e", "20")
	p.until("one has failed", has("relay_pending 0", "relay_upstream_requests 4",
		`relay_downstream_requests{lane="order",result="failed"} 1`,
		`relay_downstream_requests{lane="order",result="completed"} 0`))
}
