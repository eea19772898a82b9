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

// The tests of this file force a certain order of events at the end of a call, a message or a process, on real connections.
// docs/endings.md lists these orders.

// resetDelay is how long an endpoint holds a call before it resets the connection. It is longer than all time limits of a call
// other than the timeout of the call itself (those for connecting and for a stalled response).
const resetDelay = 2 * time.Second

// readCall reads one complete request, body included.
func readCall(in *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(in)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return r, err
}

// startFailingEndpoint starts an endpoint of destination 7. It ends the connection of the first call of each message by failFirst
// and a close. It answers further calls 200 and sends the time of each to the returned channel.
func (p *platform) startFailingEndpoint(t *testing.T, failFirst func(net.Conn)) (again <-chan time.Time) {
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
				failFirst(c)
				return
			}
			repeats <- time.Now()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p.hosts = []Member{{Host: "h1", Dial: addr, Site: "a", Class: "m2", Block: 7, Health: "SERVING", Share: 100}}
	return repeats
}

// startResettingEndpoint is startFailingEndpoint for an endpoint that holds the first call of each message until reset is closed,
// and then resets the connection.
func (p *platform) startResettingEndpoint(t *testing.T, reset <-chan bool) (again <-chan time.Time) {
	t.Helper()
	return p.startFailingEndpoint(t, func(c net.Conn) {
		<-reset
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	})
}

// distinctNotifications returns the notifications that the platform received from a relay that has been killed, without
// repetitions. On a busy machine the platform may answer a post too late; the relay then logs that and posts the notification
// again. More repetitions than the log explains fail the test.
func (p *platform) distinctNotifications(killed *child) []journal.Notification {
	p.t.Helper()
	notifications, log := p.notifications(), fmt.Sprint(killed.Stderr)
	distinct := slices.Compact(slices.Clone(notifications))
	if repeats := len(notifications) - len(distinct); repeats > strings.Count(log, "not received") {
		p.t.Errorf("got more repeated notifications than the log explains: %v; log:\n%s", notifications, log)
	}
	return distinct
}

// Guards against a wrong retry decision when an endpoint resets a call after seconds of work: the message may have been executed,
// so one of a class that is not idempotent must end by a notification, and the others must be sent again.
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
	p.expectOnlyOrderEndedUndelivered(t, c)
}

// Guards against executing a message twice after an unreadable rejection (review case 1): a 503 without its complete body is no
// proof that the message was not executed.
func TestUnreadableRejectionIsNotRepeated(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	p.startFailingEndpoint(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 503 busy\r\nContent-Length: 64\r\n\r\nthe order is")
	})
	c := p.start()
	for _, class := range []string{"status", "payment", "order"} {
		p.submitAccepted(class, class, "25")
		p.nextCall()
	}
	p.expectOnlyOrderEndedUndelivered(t, c)
}

// expectOnlyOrderEndedUndelivered waits for the end of the messages status, payment and order, whose first call may have executed
// them, and kills the relay. The classes of the first two permit a second call; order, which is not idempotent, has to end by a
// notification.
func (p *platform) expectOnlyOrderEndedUndelivered(t *testing.T, relay *child) {
	t.Helper()
	p.waitUntil("the journal is empty", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	p.kill(relay)
	calls := p.calls()
	slices.Sort(calls)
	if want := []string{"order", "payment", "payment", "status", "status"}; !slices.Equal(calls, want) {
		t.Errorf("calls for messages %v, want %v", calls, want)
	}
	if n := p.distinctNotifications(relay); len(n) != 1 ||
		n[0] != (journal.Notification{ID: "order", Status: notifier.StatusUndeliverable}) {
		t.Errorf("notifications %v, want a single one that message order is undeliverable", n)
	}
}

// Guards against a handover that restarts the idempotency window (1 s here) of a message whose call is in flight in the old
// process. The window counts from the first attempt: if the call fails within it, a second call may follow; later the message
// ends.
func TestIdempotencyWindowAcrossHandover(t *testing.T) {
	const window = time.Second
	for _, tt := range []struct {
		name                   string
		windowEnded, oldKilled bool
	}{
		{"call reset within the window", false, false},
		{"call reset after the window", true, false},
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
				t.Logf("the handover took %v, longer than the idempotency window", took)
			}
			if tt.windowEnded {
				time.Sleep(time.Until(sent.Add(window)))
			}
			if tt.oldKilled {
				p.kill(old)
			}
			endCall()
			p.waitUntil("the journal is empty", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
			p.kill(successor)
			calls, notifications := p.calls(), p.distinctNotifications(successor)
			if len(calls)+len(notifications) != 2 { // either a second call or a notification
				t.Errorf("calls %v and notifications %v, want a second call or one notification", calls, notifications)
			}
			if tt.windowEnded && (len(notifications) != 1 || notifications[0].Status != notifier.StatusDeferred) {
				t.Errorf("calls %v and notifications %v, want one notification of a deferred message", calls, notifications)
			}
			if len(again) > 0 {
				if late := (<-again).Sub(sent); late > window {
					t.Errorf("second attempt %v after the first one, want it within the idempotency window", late)
				}
			}
		})
	}
}

// terminate sends a relay SIGTERM, and waits until its responses announce that connections close.
func (p *platform) terminate(t *testing.T, c *child) {
	t.Helper()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.waitUntil("the relay is draining", func() bool {
		resp, err := p.getHealth()
		return err == nil && resp.Close
	})
}

// Guards against a message that is left for the next process although its call, in flight at SIGTERM, is reset during the
// graceful shutdown: the same process has to notify the platform or to make a second call, as the message's class requires.
func TestCallResetDuringShutdown(t *testing.T) {
	for class, want := range map[string]struct{ calls, notifications int }{"order": {1, 1}, "payment": {2, 0}, "status": {2, 0}} {
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
				t.Errorf("relay exited with an error: %v", err)
			}
			if calls, notifications := p.calls(), p.distinctNotifications(old); len(calls) != want.calls ||
				len(notifications) != want.notifications {
				t.Errorf("calls %v and notifications %v, want %d and %d of them", calls, notifications, want.calls,
					want.notifications)
			}
			if e := readEntries(t, p.stateDir); len(e) != 0 {
				t.Errorf("journal entries after the exit: %v, want none", e)
			}
		})
	}
}

// Guards against the loss of a notification that the platform has not received by the end of a graceful shutdown: the next
// process has to post it.
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
	p.waitUntil("the notification is in the journal", pending)
	p.terminate(t, old)
	if err := old.waitForExit(t); err != nil {
		t.Errorf("relay exited with an error: %v", err)
	}
	if !pending() || len(p.notifications()) != 0 {
		t.Fatalf("journal entries %v and received notifications %v, want one pending notification and none received",
			readEntries(t, p.stateDir), p.notifications())
	}
	p.update(func() { p.failingPosts = 0 })
	next := p.start()
	p.waitUntil("the journal is empty", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	p.kill(next)
	if calls, notifications := p.calls(), p.distinctNotifications(next); len(calls) != 1 || len(notifications) != 1 ||
		notifications[0] != (journal.Notification{ID: "m", Status: notifier.StatusUndeliverable}) {
		t.Errorf("calls %v and notifications %v, want one call and a notification of an undeliverable message", calls,
			notifications)
	}
}
