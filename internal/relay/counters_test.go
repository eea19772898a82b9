package relay

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against wrong counters at the admin endpoint. Every message of a call with several has to be counted.
func TestRelayCounters(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.admin = closedAddress(t)
	p.maxBatch = 10
	hold := make(chan bool)
	p.respond = p.respondAfter(hold)
	p.start()
	if got := sendAdminCommand(t, p.admin, "health\n"); got != "OK\n" {
		t.Errorf("admin command health returned %q, want OK", got)
	}
	reports := func(lines ...string) func() bool {
		return func() bool {
			text := sendAdminCommand(t, p.admin, "counters\n")
			for _, l := range lines {
				if !strings.Contains(text, l+"\n") {
					return false
				}
			}
			return true
		}
	}
	for _, id := range []string{"a", "b", "c"} {
		p.submitAccepted("status", id, "20")
	}
	p.submit("order", "d", "20", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=9") })
	p.submit("order", "malformed", "20", func(r *http.Request) { r.Header.Set("X-Envelope", "") })
	p.waitUntil("counters report three pending messages and one rejected", reports("relay_pending 3", "relay_members 1",
		`relay_downstream_requests{lane="order",result="rejected"} 1`,
		`relay_downstream_requests{lane="status",result="completed"} 0`))
	close(hold)
	p.waitUntil("counters report three delivered messages", reports("relay_pending 0", "relay_upstream_requests 3",
		`relay_downstream_requests{lane="status",result="completed"} 3`, "relay_members_unavailable 0"))
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusInternalServerError } })
	p.submitAccepted("order", "e", "20")
	p.waitUntil("counters report one failed message", reports("relay_pending 0", "relay_upstream_requests 4",
		`relay_downstream_requests{lane="order",result="failed"} 1`,
		`relay_downstream_requests{lane="order",result="completed"} 0`))
}
