package relay

import (
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/notifier"
)

// Guards against calls that a restart repeats wrongly: after a kill with a call in flight, the next process may repeat the call
// only if the message's class and its idempotency window allow that, and otherwise notifies the platform once.
func TestKilledWithCallsInFlight(t *testing.T) {
	tests := []struct {
		name, class string
		memory      float64
		repeated    bool
	}{
		{"idempotent", "status", 15, true},
		{"idempotency key, window open", "payment", 15, true},
		{"idempotency key, window closed", "payment", 0.05, false},
		{"not idempotent", "order", 15, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPlatform(t)
			p.idempotencyWindow = tt.memory
			p.addHost("h1", 7)
			p.respond = func(*http.Request) int { return 0 }
			c := p.start()
			p.submitAccepted(tt.class, "m", "25")
			p.nextCall()
			p.kill(c)
			time.Sleep(100 * time.Millisecond) // longer than the short idempotency window
			var key string
			p.update(func() {
				p.respond = func(r *http.Request) int {
					key = r.Header.Get("Idempotency-Key")
					return http.StatusOK
				}
			})
			p.start()
			if tt.repeated {
				p.nextCall()
				if key != "key-m" {
					t.Errorf("repeated call has idempotency key %q, want key-m", key)
				}
			}
			p.waitUntil("the journal is empty", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
			want := map[bool]int{true: 2, false: 1}[tt.repeated]
			if got := p.calls(); len(got) != want {
				t.Errorf("calls %v, want %d of them", got, want)
			}
			if n := p.notifications(); len(n) != map[bool]int{true: 0, false: 1}[tt.repeated] {
				t.Errorf("unexpected notifications %v", n)
			} else if tt.class == "order" && n[0].Status != notifier.StatusUndeliverable {
				t.Errorf("a message that may have been executed was not reported as undeliverable: %v", n)
			}
		})
	}
}

// Guards against a restart that extends the idempotency window (1 s here), which counts from the first attempt. A message is sent
// again if the process is killed and restarted within it, but not after a later restart, nor after a graceful shutdown, which
// waits longer than that for the call in flight.
func TestIdempotencyWindowAcrossRestart(t *testing.T) {
	for _, tt := range []struct {
		name     string
		signal   syscall.Signal
		wait     time.Duration
		repeated bool
	}{{"killed, restarted at once", syscall.SIGKILL, 0, true}, {"killed, restarted late", syscall.SIGKILL, time.Second, false},
		{"graceful shutdown", syscall.SIGTERM, 0, false}} {
		t.Run(tt.name, func(t *testing.T) {
			p := newPlatform(t)
			p.idempotencyWindow = 1
			p.addHost("h1", 7)
			p.respond = func(*http.Request) int { return 0 }
			c := p.start()
			p.submitAccepted("payment", "m", "25")
			p.nextCall()
			sent := time.Now()
			if err := c.Process.Signal(tt.signal); err != nil {
				t.Fatal(err)
			}
			_ = receive(t, c.exited)
			time.Sleep(tt.wait)
			var repeatedAfter time.Duration
			p.update(func() {
				p.respond = func(*http.Request) int {
					repeatedAfter = time.Since(sent)
					return http.StatusOK
				}
			})
			p.start()
			p.waitUntil("the journal is empty", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
			calls, notifications := p.calls(), p.notifications()
			if repeatedAfter > time.Second {
				t.Errorf("sent again after %v", repeatedAfter)
			}
			if !tt.repeated && (len(calls) != 1 || len(notifications) != 1 || notifications[0].Status != notifier.StatusDeferred) {
				t.Errorf("calls %v and notifications %v, want one call and one notification of a deferred message", calls,
					notifications)
			}
			if tt.repeated && len(calls)+len(notifications) != 2 { // on a slow machine a notification
				t.Errorf("calls %v and notifications %v, want a second call or one notification", calls, notifications)
			}
		})
	}
}

// Guards against messages that a kill with pending attempts loses or delays: attempts that were not executed must not keep the
// next process from sending, and a message that expires while no process runs must still end by a notification.
func TestKilledWithPendingMessages(t *testing.T) {
	p := newPlatform(t)
	h := p.addHost("h1", 7)
	// With a share of 1, calls to h1 are rare, and their failures do not use up the attempts of a message.
	p.hosts[0].Dial, p.hosts[0].Share = closedAddress(t), 1
	c := p.start()
	p.submitAccepted("order", "late", "0.6")
	p.submitAccepted("order", "kept", "25")
	p.waitUntil("the journal has an attempt that was not executed", func() bool {
		e := readEntries(t, p.stateDir)
		return len(e) > 0 && len(e[0].Attempts) > 0 && e[0].Attempts[0].NotExecuted
	})
	p.kill(c)
	time.Sleep(600 * time.Millisecond)
	p.update(func() { p.hosts[0] = h })
	p.start()
	if id := p.nextCall(); id != "kept" {
		t.Errorf("got a call for message %s, want kept", id)
	}
	p.waitUntil("the journal is empty", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	if n := p.notifications(); len(n) != 1 || n[0].ID != "late" {
		t.Errorf("notifications %v, want a single one for message late", n)
	}
}

// Guards against messages that a graceful restart loses: requests during the shutdown must be accepted and delivered, responses
// must close their connections, and the next process must deliver what remains.
func TestGracefulRestart(t *testing.T) {
	p := newPlatform(t)
	h := p.addHost("h1", 7)
	p.addHost("h8", 8)
	// With a share of 1, calls to h1 are rare, and their failures do not use up the attempts of a message.
	p.hosts[0].Dial, p.hosts[0].Share = closedAddress(t), 1
	c := p.start()
	p.submitAccepted("order", "before", "25")
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	n := 0
	p.waitUntil("responses close their connections", func() bool {
		n++
		resp := p.submit("status", "after"+string(rune('a'+n%26))+string(rune('a'+n/26%26)), "25",
			func(r *http.Request) { r.Header.Set("X-Envelope", "dest=8") })
		if resp.StatusCode != http.StatusAccepted {
			t.Fatalf("message during the shutdown was answered %s, want 202", resp.Status)
		}
		return resp.Close
	})
	select {
	case err := <-c.exited:
		if err != nil {
			t.Errorf("relay exited with an error: %v", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("relay did not exit after SIGTERM")
	}
	if got := len(p.calls()); got != n {
		t.Errorf("%d of %d messages delivered before the exit, want all", got, n)
	}
	if e := readEntries(t, p.stateDir); len(e) != 1 || e[0].ID != "before" {
		t.Fatalf("journal entries %v, want only message before", e)
	}
	p.update(func() { p.hosts[0] = h })
	p.start()
	p.waitUntil("the remaining message is delivered", func() bool { return slices.Contains(p.calls(), "before") })
}

// Guards against a notification that is lost or a message that is sent again when the process is killed before the platform has
// received the notification.
func TestPendingNotificationSurvivesRestart(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.respond = func(*http.Request) int { return 0 }
	p.failingPosts = 1 << 30
	c := p.start()
	p.submitAccepted("order", "m", "0.3")
	p.waitUntil("the journal has a pending notification", func() bool {
		e := readEntries(t, p.stateDir)
		return len(e) == 1 && e[0].PendingNotification != nil
	})
	p.kill(c)
	p.update(func() { p.failingPosts = 0 })
	p.start()
	p.waitUntil("the notification is received", func() bool { return len(p.notifications()) == 1 })
	p.waitUntil("the journal is empty", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	if n := p.calls(); len(n) != 1 {
		t.Errorf("calls %v, want one", n)
	}
}

// Guards against a restart that forgets an ejected endpoint and sends to it at once, also if the list in the configuration lacks
// the endpoint.
func TestEjectionSurvivesRestart(t *testing.T) {
	for _, known := range []bool{true, false} {
		p := newPlatform(t)
		p.addHost("h1", 7)
		p.hosts[0].Share = 0.05 // allows one probe in many seconds
		up := p.hosts[0]
		p.hosts[0].Dial = closedAddress(t)
		c := p.start()
		p.submitAccepted("status", "a", "25")
		p.waitUntil("the ejection is recorded", func() bool { return readHealth(t, p.stateDir)["h1"].Ejected })
		p.kill(c)
		p.update(func() { p.hosts[0] = up })
		if !known {
			p.update(func() { p.omitEndpoints = true })
		}
		p.start()
		resp := p.submit("status", "b", "25")
		for ; resp.StatusCode == http.StatusServiceUnavailable; resp = p.submit("status", "b", "25") {
			time.Sleep(10 * time.Millisecond) // the endpoint is not listed yet
		}
		// A relay without the record would accept the message and send it at once. After an ejection the next probe is too late.
		if resp.StatusCode != http.StatusTooManyRequests {
			t.Errorf("endpoint in the configuration: %v: message was answered %s, want 429", known, resp.Status)
		}
		if got := p.calls(); len(got) > 1 {
			t.Errorf("endpoint in the configuration: %v: calls %v, want at most one to an ejected endpoint", known, got)
		}
	}
}

// Guards against a process that sends without a limit to an endpoint at which its killed predecessor met one error response,
// which ejects nothing: the endpoint may be in an outage.
func TestSingleFailureSurvivesRestart(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.hosts[0].Share = 0.05 // allows one probe in many seconds
	p.respond = func(*http.Request) int { return http.StatusInternalServerError }
	c := p.start()
	p.submitAccepted("order", "a", "25") // its class is not sent again after an error response
	p.waitUntil("the failure is recorded", func() bool { return readHealth(t, p.stateDir)["h1"].Ejected })
	p.kill(c)
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
	p.start()
	if resp := p.submit("status", "b", "25"); resp.StatusCode != http.StatusTooManyRequests {
		t.Errorf("message after the restart was answered %s, want 429, since the next probe is too late", resp.Status)
	}
}

// Guards against a message that never ends because the settings no longer have its class.
func TestClassRemovedFromSettings(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 3)
	j.Accept(&journal.Entry{ID: "m", Class: "parcel", Dest: 7, ExpiresAt: clock.Now().Add(time.Minute)})
	commit(t, j)
	p := newPlatform(t)
	p.stateDir = dir
	p.start()
	p.waitUntil("the notification is received", func() bool { return len(p.notifications()) == 1 })
	if n := p.notifications()[0]; n != (journal.Notification{ID: "m", Status: notifier.StatusUndeliverable}) {
		t.Errorf("got notification %v, want one that message m is undeliverable", n)
	}
}
