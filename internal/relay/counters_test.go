package relay

import (
	"net/http"
	"strings"
	"testing"
)

// What becomes of messages is counted where it happens, and a call with several messages counts each.
func TestRelayCounters(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.admin = closedAddress(t)
	p.bundle = 10
	hold := make(chan bool)
	p.answer = p.held(hold)
	p.start()
	if got := askOperator(t, p.admin, "health\n"); got != "OK\n" {
		t.Errorf("health: %q", got)
	}
	reports := func(lines ...string) func() bool {
		return func() bool {
			text := askOperator(t, p.admin, "counters\n")
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
	p.until("three are pending and one is refused", reports("relay_pending 3", "relay_members 1",
		`relay_downstream_requests{lane="order",result="rejected"} 1`,
		`relay_downstream_requests{lane="status",result="completed"} 0`))
	close(hold)
	p.until("all are delivered", reports("relay_pending 0", "relay_upstream_requests 3",
		`relay_downstream_requests{lane="status",result="completed"} 3`, "relay_members_unavailable 0"))
	p.set(func() { p.answer = func(*http.Request) int { return http.StatusInternalServerError } })
	p.take("order", "e", "20")
	p.until("one has failed", reports("relay_pending 0", "relay_upstream_requests 4",
		`relay_downstream_requests{lane="order",result="failed"} 1`,
		`relay_downstream_requests{lane="order",result="completed"} 0`))
}
