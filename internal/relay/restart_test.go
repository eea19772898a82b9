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

// A process is killed with a call out. The next one may make it again only as its class allows, and ends
// each message exactly once.
func TestKilledWithCallsInFlight(t *testing.T) {
	tests := []struct {
		name, class string
		memory      float64
		repeated    bool
	}{
		{"safe", "status", 15, true},
		{"keyed, remembered", "payment", 15, true},
		{"keyed, forgotten", "payment", 0.05, false},
		{"unsafe", "order", 15, false},
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
			time.Sleep(100 * time.Millisecond) // past the short memory
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
					t.Errorf("key %q", key)
				}
			}
			p.waitUntil("it is over", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
			want := map[bool]int{true: 2, false: 1}[tt.repeated]
			if got := p.calls(); len(got) != want {
				t.Errorf("calls %v, want %d", got, want)
			}
			if n := p.notifications(); len(n) != map[bool]int{true: 0, false: 1}[tt.repeated] {
				t.Errorf("notices %v", n)
			} else if tt.class == "order" && n[0].Status != notifier.StatusUndeliverable {
				t.Errorf("an unsafe message that may have run was handed back: %v", n)
			}
		})
	}
}

// A window for repeats of 1 s counts from the first sending, whatever ends the process: killed and back at once, the message
// goes out again within it; after a planned end, which takes longer while the call hangs, it ends as its class says.
func TestIdempotencyWindowAcrossRestart(t *testing.T) {
	for _, tt := range []struct {
		name     string
		signal   syscall.Signal
		wait     time.Duration
		repeated bool
	}{{"killed", syscall.SIGKILL, 0, true}, {"killed, back late", syscall.SIGKILL, time.Second, false}, {"told to end",
		syscall.SIGTERM, 0, false}} {
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
			p.waitUntil("it is over", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
			calls, told := p.calls(), p.notifications()
			if repeatedAfter > time.Second {
				t.Errorf("sent again after %v", repeatedAfter)
			}
			if !tt.repeated && (len(calls) != 1 || len(told) != 1 || told[0].Status != notifier.StatusDeferred) {
				t.Errorf("calls %v, notices %v", calls, told)
			}
			if tt.repeated && len(calls)+len(told) != 2 { // once more, or, on a machine too slow for that, its end
				t.Errorf("calls %v, notices %v", calls, told)
			}
		})
	}
}

// Attempts that never ran do not bind the next process, and a message keeps its time: one whose time ran
// out between two processes still gets its end.
func TestKilledWithPendingMessages(t *testing.T) {
	p := newPlatform(t)
	h := p.addHost("h1", 7)
	p.hosts[0].Dial, p.hosts[0].Share = closedAddress(t), 1 // tried rarely, so that attempts remain
	c := p.start()
	p.submitAccepted("order", "late", "0.6")
	p.submitAccepted("order", "kept", "25")
	p.waitUntil("an attempt is noted", func() bool {
		e := readEntries(t, p.stateDir)
		return len(e) > 0 && len(e[0].Attempts) > 0 && e[0].Attempts[0].NotExecuted
	})
	p.kill(c)
	time.Sleep(600 * time.Millisecond)
	p.update(func() { p.hosts[0] = h })
	p.start()
	if id := p.nextCall(); id != "kept" {
		t.Errorf("call for %s", id)
	}
	p.waitUntil("both are over", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	if n := p.notifications(); len(n) != 1 || n[0].ID != "late" {
		t.Errorf("notices %v", n)
	}
}

// A planned end: answers close their connections, nothing that was read goes unanswered, calls out come to
// their end, and the rest is for the next process.
func TestGracefulRestart(t *testing.T) {
	p := newPlatform(t)
	h := p.addHost("h1", 7)
	p.addHost("h8", 8)
	p.hosts[0].Dial, p.hosts[0].Share = closedAddress(t), 1 // tried rarely, so that attempts remain
	c := p.start()
	p.submitAccepted("order", "before", "25")
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	n := 0
	p.waitUntil("answers close connections", func() bool {
		n++
		resp := p.submit("status", "after"+string(rune('a'+n%26))+string(rune('a'+n/26%26)), "25",
			func(r *http.Request) { r.Header.Set("X-Envelope", "dest=8") })
		if resp.StatusCode != http.StatusAccepted {
			t.Fatalf("while it ends: %s", resp.Status)
		}
		return resp.Close
	})
	select {
	case err := <-c.exited:
		if err != nil {
			t.Errorf("exit: %v", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("no exit after SIGTERM")
	}
	if got := len(p.calls()); got != n {
		t.Errorf("%d of %d delivered before the end", got, n)
	}
	if e := readEntries(t, p.stateDir); len(e) != 1 || e[0].ID != "before" {
		t.Fatalf("left for the next process: %v", e)
	}
	p.update(func() { p.hosts[0] = h })
	p.start()
	p.waitUntil("the rest is delivered", func() bool { return slices.Contains(p.calls(), "before") })
}

// A notice that the platform has not received is owed by the next process too.
func TestPendingNotificationSurvivesRestart(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.respond = func(*http.Request) int { return 0 }
	p.failingPosts = 1 << 30
	c := p.start()
	p.submitAccepted("order", "m", "0.3")
	p.waitUntil("the notice is owed", func() bool {
		e := readEntries(t, p.stateDir)
		return len(e) == 1 && e[0].PendingNotification != nil
	})
	p.kill(c)
	p.update(func() { p.failingPosts = 0 })
	p.start()
	p.waitUntil("the notice is received", func() bool { return len(p.notifications()) == 1 })
	p.waitUntil("the journal forgets it", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	if n := p.calls(); len(n) != 1 {
		t.Errorf("calls: %v", n)
	}
}

// An outage that was seen outlasts the process, for a host that the configuration's list lacks as well.
func TestEjectionSurvivesRestart(t *testing.T) {
	for _, known := range []bool{true, false} {
		p := newPlatform(t)
		p.addHost("h1", 7)
		p.hosts[0].Share = 0.05 // a budget of one knock in many seconds
		up := p.hosts[0]
		p.hosts[0].Dial = closedAddress(t)
		c := p.start()
		p.submitAccepted("status", "a", "25")
		p.waitUntil("the outage is noted", func() bool { return readHealth(t, p.stateDir)["h1"].Ejected })
		p.kill(c)
		p.update(func() { p.hosts[0] = up })
		if !known {
			p.update(func() { p.omitEndpoints = true })
		}
		p.start()
		resp := p.submit("status", "b", "25")
		for ; resp.StatusCode == http.StatusServiceUnavailable; resp = p.submit("status", "b", "25") {
			time.Sleep(10 * time.Millisecond) // not listed yet
		}
		// A fresh relay would take it on and send at once; in an outage the next knock is too far off.
		if resp.StatusCode != http.StatusTooManyRequests {
			t.Errorf("known %v: %s", known, resp.Status)
		}
		if got := p.calls(); len(got) > 1 {
			t.Errorf("known %v: %v sent at once to a destination that was out", known, got)
		}
	}
}

// A message whose class the settings no longer have is ended all the same.
func TestClassRemovedFromSettings(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 3)
	j.Accept(&journal.Entry{ID: "m", Class: "parcel", Dest: 7, ExpiresAt: clock.Now().Add(time.Minute)})
	commit(t, j)
	p := newPlatform(t)
	p.stateDir = dir
	p.start()
	p.waitUntil("its notice is received", func() bool { return len(p.notifications()) == 1 })
	if n := p.notifications()[0]; n != (journal.Notification{ID: "m", Status: notifier.StatusUndeliverable}) {
		t.Errorf("notice %v", n)
	}
}
