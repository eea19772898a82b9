package relay

import (
	"context"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/config"
	"milletsail/internal/relay/notifier"
)

// Guards against calls without a response that delay a graceful shutdown until the platform kills the process: their messages
// must stay in the journal, and the next process repeats each call only if its class allows that. Further signals have no effect.
func TestShutdownWithHangingCalls(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.respond = func(*http.Request) int { return 0 }
	old := p.start()
	want := []string{"status", "payment", "order"}
	for _, class := range want {
		p.submitAccepted(class, class, "25")
		p.nextCall()
	}
	signaled := time.Now()
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := old.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err := old.waitForExit(t); err != nil {
		t.Errorf("relay exited with an error: %v", err)
	}
	if took := time.Since(signaled); took < finishCallsPhaseEnd {
		t.Errorf("the relay exited after %v, want finishCallsPhaseEnd at least for calls in flight", took)
	}
	if finishCallsPhaseEnd+responseWriteTimeout > exitDeadline || exitDeadline >= 3700*time.Millisecond {
		t.Errorf("exitDeadline is %v, want it after the earlier phases and before the kill at 3.7 s", exitDeadline)
	}
	entries := readEntries(t, p.stateDir)
	if len(entries) != len(want) || slices.ContainsFunc(entries, func(e *journal.Entry) bool {
		return e.PendingNotification != nil || len(e.Attempts) != 1 || e.Attempts[0].Ended && e.Attempts[0].NotExecuted
	}) {
		t.Fatalf("journal entries %v, want one per class with one attempt that may have been executed", entries)
	}
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
	p.start()
	p.waitUntil("the journal is empty", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	calls := p.calls()[len(want):]
	slices.Sort(calls)
	if !slices.Equal(calls, []string{"payment", "status"}) {
		t.Errorf("repeated calls %v, want payment and status", calls)
	}
	if n := p.notifications(); len(n) != 1 || n[0] != (journal.Notification{ID: "order", Status: notifier.StatusUndeliverable}) {
		t.Errorf("notifications %v, want a single one that message order is undeliverable", n)
	}
}

// Guards against a notification that is delayed or lost when a message expires during a graceful shutdown, in which a reload
// changes discovery's address: it must be posted to the new address before the process exits.
func TestNotificationDuringShutdown(t *testing.T) {
	p, next := newPlatform(t), newPlatform(t)
	p.addHost("h1", 7)
	p.respond = func(*http.Request) int { return 0 }
	p.failingPosts = 1 << 30
	old := p.start()
	p.submitAccepted("order", "m", "2.5")
	p.nextCall()
	next.addr = p.addr
	text, err := os.ReadFile(next.writeConfig())
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(old.config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		if err := old.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err := old.waitForExit(t); err != nil {
		t.Errorf("relay exited with an error: %v", err)
	}
	if n := next.notifications(); len(n) != 1 || n[0].ID != "m" {
		t.Errorf("notifications at the new address: %v, want a single one for message m", n)
	}
	if e := readEntries(t, p.stateDir); len(e) != 0 {
		t.Errorf("journal entries after the exit: %v, want none", e)
	}
}

// Guards against a process that can't be stopped, or exits with an error, while it waits for another one to release the state
// directory.
func TestShutdownBeforeStart(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	owner, err := journal.AcquireOwnership(p.stateDir)
	if err != nil {
		t.Fatal(err)
	}
	defer owner.Release()
	cfg, err := config.Read(p.writeConfig())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, cfg, p.stateDir, nil) }()
	stop()
	if err := receive(t, ended); err != nil {
		t.Errorf("Run returned %v, want nil", err)
	}
}

// Guards against messages that are lost or end twice when the process is killed between two of their steps. Each case is the
// state of the journal at such a kill; the class is not idempotent.
func TestKilledAtEachStep(t *testing.T) {
	for _, tt := range []struct {
		name                 string
		entry                journal.Entry
		calls, notifications int
	}{
		{"accepted, no attempt", journal.Entry{}, 1, 0},
		{"attempt started, perhaps not sent", journal.Entry{Attempts: []journal.Attempt{{Host: "h1",
			StartedAt: clock.Now()}}}, 0, 1},
		{"attempt ended, not executed", journal.Entry{Attempts: []journal.Attempt{{Host: "h1", StartedAt: clock.Now(),
			Ended: true, NotExecuted: true}}}, 1, 0},
		{"attempt ended, message not ended", journal.Entry{Attempts: []journal.Attempt{{Host: "h1", StartedAt: clock.Now(),
			Ended: true}}}, 0, 1},
		{"notification pending, perhaps received", journal.Entry{PendingNotification: &journal.Notification{ID: "m",
			Status: notifier.StatusUndeliverable}}, 0, 1},
	} {
		t.Run(strings.ReplaceAll(tt.name, " ", "_"), func(t *testing.T) {
			p := newPlatform(t)
			p.addHost("h1", 7)
			j := openTestJournal(t, p.stateDir, 3)
			e := &journal.Entry{ID: "m", Class: "order", Dest: 7, ExpiresAt: clock.Now().Add(time.Minute), Body: []byte("m")}
			j.Accept(e)
			for _, a := range tt.entry.Attempts {
				j.StartAttempt(e, a.Host, a.StartedAt)
				if a.Ended {
					j.EndAttempt(e, a.NotExecuted)
				}
			}
			if tt.entry.PendingNotification != nil {
				j.RecordPendingNotification(e, *tt.entry.PendingNotification)
			}
			commit(t, j)
			p.start()
			p.waitUntil("the journal is empty", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
			if calls, notifications := p.calls(), p.notifications(); len(calls) != tt.calls ||
				len(notifications) != tt.notifications {
				t.Errorf("calls %v and notifications %v, want %d and %d of them", calls, notifications, tt.calls, tt.notifications)
			}
		})
	}
}

// Guards against a burst of clients that disconnect before their responses are decided and thereby withdraw messages of other
// clients, or block the relay.
func TestBurstOfDisconnectingClients(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	hold := make(chan bool)
	var held atomic.Int64
	p.respond = func(r *http.Request) int {
		held.Add(1)
		return p.respondAfter(hold)(r)
	}
	p.start()
	p.submitAccepted("status", "stays", "25")
	p.nextCall()
	for range 30 {
		c := p.connectClient()
		_, _ = c.Write([]byte(encodedRequest("burst" + c.LocalAddr().String()))) // closed unread, which resets the connection
		_ = c.Close()
	}
	close(hold)
	p.waitUntil("the journal is empty", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	p.submitAccepted("status", "after", "25")
	p.waitUntil("a later message is delivered", func() bool { return slices.Contains(p.calls(), "after") })
	for _, n := range p.notifications() {
		if !strings.HasPrefix(n.ID, "burst") {
			t.Errorf("got notification %v, want none for messages of other clients", n)
		}
	}
}
