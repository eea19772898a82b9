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

// While calls hang, a planned end leaves their messages on disk for the next process, in time before the platform kills the
// process, and each is made again only as its class allows. Further signals change nothing.
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
		t.Errorf("exit: %v", err)
	}
	if took := time.Since(signaled); took < finishCallsPhaseEnd {
		t.Errorf("calls that were out had only %v", took)
	}
	if finishCallsPhaseEnd+responseWriteTimeout > exitDeadline || exitDeadline >= 3700*time.Millisecond {
		t.Errorf("it ends %v after the signal, and is killed after 3.7 s", exitDeadline)
	}
	entries := readEntries(t, p.stateDir)
	if len(entries) != len(want) || slices.ContainsFunc(entries, func(e *journal.Entry) bool {
		return e.PendingNotification != nil || len(e.Attempts) != 1 || e.Attempts[0].Ended && e.Attempts[0].NotExecuted
	}) {
		t.Fatalf("left for the next process: %v", entries)
	}
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
	p.start()
	p.waitUntil("each has its end", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	calls := p.calls()[len(want):]
	slices.Sort(calls)
	if !slices.Equal(calls, []string{"payment", "status"}) {
		t.Errorf("made again: %v", calls)
	}
	if n := p.notifications(); len(n) != 1 || n[0] != (journal.Notification{ID: "order", Status: notifier.StatusUndeliverable}) {
		t.Errorf("notices %v", n)
	}
}

// A message whose time is up during a planned end gets its notice then, at the address that discovery has by then.
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
		t.Errorf("exit: %v", err)
	}
	if n := next.notifications(); len(n) != 1 || n[0].ID != "m" {
		t.Errorf("notices at the new address: %v", n)
	}
	if e := readEntries(t, p.stateDir); len(e) != 0 {
		t.Errorf("left in the journal: %v", e)
	}
}

// A process that is told to end while it still waits for the folder ends at once, with nothing begun.
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
		t.Errorf("ended with %v", err)
	}
}

// A message is killed with its process between any two of its steps; the next process ends it once, as its class allows.
func TestKilledAtEachStep(t *testing.T) {
	for _, tt := range []struct {
		name                 string
		entry                journal.Entry
		calls, notifications int
	}{
		{"taken on, not sent", journal.Entry{}, 1, 0},
		{"its call noted, perhaps not written", journal.Entry{Attempts: []journal.Attempt{{Host: "h1", StartedAt: clock.Now()}}}, 0, 1},
		{"its call's end noted as never run", journal.Entry{Attempts: []journal.Attempt{{Host: "h1", StartedAt: clock.Now(),
			Ended: true, NotExecuted: true}}}, 1, 0},
		{"its call's end noted, its own not", journal.Entry{Attempts: []journal.Attempt{{Host: "h1", StartedAt: clock.Now(),
			Ended: true}}}, 0, 1},
		{"its notice owed, perhaps received", journal.Entry{PendingNotification: &journal.Notification{ID: "m",
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
			p.waitUntil("it has its end", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
			if calls, told := p.calls(), p.notifications(); len(calls) != tt.calls || len(told) != tt.notifications {
				t.Errorf("calls %v, notices %v, want %d and %d", calls, told, tt.calls, tt.notifications)
			}
		})
	}
}

// Clients that leave in a burst, before their answers are decided, take back what is theirs and nothing else.
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
		_, _ = c.Write([]byte(encodedRequest("burst" + c.LocalAddr().String()))) // its answer is not read, and the close resets it
		_ = c.Close()
	}
	close(hold)
	p.waitUntil("all have their end", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	p.submitAccepted("status", "after", "25")
	p.waitUntil("a later one is delivered", func() bool { return slices.Contains(p.calls(), "after") })
	for _, n := range p.notifications() {
		if !strings.HasPrefix(n.ID, "burst") {
			t.Errorf("notice %v", n)
		}
	}
}
