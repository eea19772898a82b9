package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/journal"
	"milletsail/internal/relay/notifier"
)

// The tests of this file force the order of events at the end of something, on real connections: docs/endings.md lists
// the rows that they belong to.

// resetDelay is how long an endpoint works on a call before it resets the connection: longer than every limit of a call
// that is not its own time-out (connecting, a stalled answer).
const resetDelay = 2 * time.Second

// readCall reads one whole request.
func readCall(in *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(in)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return r, err
}

// startResettingEndpoint is an endpoint of destination 7 that holds the first call of each message until reset is closed, and then
// resets its connection; it answers further calls 200 and gives when they came.
func (p *platform) startResettingEndpoint(t *testing.T, reset <-chan bool) (again <-chan time.Time) {
	t.Helper()
	repeats := make(chan time.Time, 9)
	addr := serveRaw(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			r, err := readCall(in)
			if err != nil {
				return
			}
			id := r.Header.Get("Request-Id")
			var first bool
			p.update(func() {
				first = !slices.Contains(p.callIDs, id)
				p.callIDs = append(p.callIDs, id)
			})
			if first {
				p.callStarted <- id
				<-reset
				if tcp, ok := c.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				return
			}
			repeats <- time.Now()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p.hosts = []Member{{Host: "h1", Dial: addr, Site: "a", Class: "m2", Block: 7, Health: "SERVING", Share: 100}}
	return repeats
}

// distinctNotifications gives the notices that the platform received from a relay that is gone, without those that the relay posted
// again: it does so, and its log tells it, where the platform does not answer a post within postTime, as on a busy machine.
func (p *platform) distinctNotifications(killed *child) []journal.Notification {
	p.t.Helper()
	notices, log := p.notifications(), fmt.Sprint(killed.Stderr)
	distinct := slices.Compact(slices.Clone(notices))
	if repeats := len(notices) - len(distinct); repeats > strings.Count(log, "not received") {
		p.t.Errorf("notices %v; log:\n%s", notices, log)
	}
	return distinct
}

// Messages whose calls are reset seconds after they began end as their class says: a fragile one by its notice and without
// a second call, the others by a second call.
func TestCallResetAfterDelay(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	reset := make(chan bool)
	p.startResettingEndpoint(t, reset)
	c := p.start()
	for _, class := range []string{"status", "payment", "order"} {
		p.submitAccepted(class, class, "25")
		p.nextCall()
	}
	time.Sleep(resetDelay)
	close(reset)
	p.waitUntil("all are over", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	p.kill(c)
	calls := p.calls()
	slices.Sort(calls)
	if want := []string{"order", "payment", "payment", "status", "status"}; !slices.Equal(calls, want) {
		t.Errorf("calls %v, want %v", calls, want)
	}
	if n := p.distinctNotifications(c); len(n) != 1 || n[0] != (journal.Notification{ID: "order", Status: notifier.StatusUndeliverable}) {
		t.Errorf("notices %v", n)
	}
}

// A new process takes over while a keyed message's window for repeats (1 s) runs and its call is out in the old one. The
// window counts from the first sending: an end of the call within it may be followed by a second call, one after it ends
// the message.
func TestIdempotencyWindowAcrossHandover(t *testing.T) {
	const window = time.Second
	for _, tt := range []struct {
		name                   string
		windowEnded, oldKilled bool
	}{
		{"reset within the window", false, false},
		{"reset after the window", true, false},
		{"old process killed after the window", true, true},
	} {
		t.Run(strings.ReplaceAll(tt.name, " ", "_"), func(t *testing.T) {
			p := newPlatform(t)
			p.idempotencyWindow = window.Seconds()
			reset := make(chan bool)
			endCall := sync.OnceFunc(func() { close(reset) })
			t.Cleanup(endCall)
			again := p.startResettingEndpoint(t, reset)
			p.openClientSocket()
			old := p.start()
			p.submitAccepted("payment", "m", "25")
			p.nextCall()
			sent := time.Now()
			successor := p.startSuccessor()
			if took := time.Since(sent); took >= window {
				t.Logf("the handover took %v: the window had ended before it", took)
			}
			if tt.windowEnded {
				time.Sleep(time.Until(sent.Add(window)))
			}
			if tt.oldKilled {
				p.kill(old)
			}
			endCall()
			p.waitUntil("the message is over", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
			p.kill(successor)
			calls, notices := p.calls(), p.distinctNotifications(successor)
			if len(calls)+len(notices) != 2 { // a second call, or the end of the message
				t.Errorf("calls %v, notices %v", calls, notices)
			}
			if tt.windowEnded && (len(notices) != 1 || notices[0].Status != notifier.StatusDeferred) {
				t.Errorf("calls %v, notices %v", calls, notices)
			}
			if len(again) > 0 {
				if late := (<-again).Sub(sent); late > window {
					t.Errorf("sent again %v after the first sending", late)
				}
			}
		})
	}
}

// terminate tells a relay to end, and waits until its answers say that it does.
func (p *platform) terminate(t *testing.T, c *child) {
	t.Helper()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.waitUntil("it drains", func() bool {
		resp, err := p.getHealth()
		return err == nil && resp.Close
	})
}

// A message whose call is out at SIGTERM and is reset during the planned end gets its end in that process, as its class
// says: its notice, or a second call.
func TestCallResetDuringShutdown(t *testing.T) {
	for class, want := range map[string]struct{ calls, notices int }{"order": {1, 1}, "payment": {2, 0}, "status": {2, 0}} {
		t.Run(class, func(t *testing.T) {
			p := newPlatform(t)
			reset := make(chan bool)
			p.startResettingEndpoint(t, reset)
			old := p.start()
			p.submitAccepted(class, "m", "25")
			p.nextCall()
			p.terminate(t, old)
			close(reset)
			if err := old.waitForExit(t); err != nil {
				t.Errorf("exit: %v", err)
			}
			if calls, notices := p.calls(), p.distinctNotifications(old); len(calls) != want.calls || len(notices) != want.notices {
				t.Errorf("calls %v, notices %v, want %d and %d", calls, notices, want.calls, want.notices)
			}
			if e := readEntries(t, p.stateDir); len(e) != 0 {
				t.Errorf("left in the journal: %v", e)
			}
		})
	}
}

// A notice that the platform does not receive before SIGTERM, nor during the planned end, is posted by the next process.
func TestUnreceivedNotificationAtShutdown(t *testing.T) {
	p := newPlatform(t)
	p.failingPosts = 1 << 30
	reset := make(chan bool)
	close(reset)
	p.startResettingEndpoint(t, reset)
	old := p.start()
	p.submitAccepted("order", "m", "25")
	pending := func() bool {
		e := readEntries(t, p.stateDir)
		return len(e) == 1 && e[0].PendingNotification != nil
	}
	p.waitUntil("its notice is in the journal", pending)
	p.terminate(t, old)
	if err := old.waitForExit(t); err != nil {
		t.Errorf("exit: %v", err)
	}
	if !pending() || len(p.notifications()) != 0 {
		t.Fatalf("left for the next process: %v; notices %v", readEntries(t, p.stateDir), p.notifications())
	}
	p.update(func() { p.failingPosts = 0 })
	next := p.start()
	p.waitUntil("the journal forgets it", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	p.kill(next)
	if calls, notices := p.calls(), p.distinctNotifications(next); len(calls) != 1 || len(notices) != 1 ||
		notices[0] != (journal.Notification{ID: "m", Status: notifier.StatusUndeliverable}) {
		t.Errorf("calls %v, notices %v", calls, notices)
	}
}
