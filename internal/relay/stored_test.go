package relay

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
)

// setDiskFull sets or removes a limit on the relay process under which none of its files can grow, as on a full disk.
func (c *child) setDiskFull(t *testing.T, full bool) {
	t.Helper()
	var old unix.Rlimit
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	err := unix.Prlimit(c.Process.Pid, unix.RLIMIT_FSIZE, nil, &old)
	if limit.Max = old.Max; full {
		limit.Cur = 0
	}
	if err == nil {
		err = unix.Prlimit(c.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// A relay that can't write its journal must neither accept messages that a crash would lose nor send fragile ones without a
// record. It has to reject new messages, to report the error at the admin endpoint and to deliver retryable messages meanwhile;
// the fragile ones follow once the disk has space again.
func TestFullDisk(t *testing.T) {
	p := newPlatform(t)
	hold := make(chan bool)
	p.respond = p.respondAfter(hold)
	p.addHost("h1", 7)
	p.admin = closedAddress(t)
	c := p.start()
	for _, id := range []string{"a", "b", "c", "d"} { // as many as one destination may have slots
		p.submitAccepted("status", id, "25")
	}
	p.waitUntil("all slots are taken", func() bool { return len(p.calls()) == 4 })
	p.submitAccepted("order", "unsafe", "25")
	p.submitAccepted("status", "safe", "25")
	c.setDiskFull(t, true)
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
	close(hold)
	p.waitUntil("the retryable message is sent", func() bool { return slices.Contains(p.calls(), "safe") })
	p.waitUntil("the admin endpoint reports the error", func() bool {
		return strings.HasPrefix(sendAdminCommand(t, p.admin, "health\n"),
			"ERR nothing is taken on")
	})
	resp := p.submit("status", "late", "25")
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("with a full disk, a message got %s with Retry-After %q; want 503 with a Retry-After",
			resp.Status, resp.Header.Get("Retry-After"))
	}
	if slices.Contains(p.calls(), "unsafe") {
		t.Error("a fragile message was sent without a record of the attempt")
	}
	c.setDiskFull(t, false)
	p.waitUntil("the relay accepts messages again", func() bool { return sendAdminCommand(t, p.admin, "health\n") == "OK\n" })
	p.waitUntil("the fragile message is sent", func() bool { return slices.Contains(p.calls(), "unsafe") })
	p.submitAccepted("status", "after", "25")
	p.waitUntil("all messages have ended", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	if n := p.notifications(); len(n) != 0 {
		t.Errorf("notifications %v, want none", n)
	}
}

// A tool that changed the state directory of a running relay would damage its journal. journal.IsOwned has to report ownership
// while a relay runs, and none after it was killed or in an unused directory.
func TestIsOwnedWhileRelayRuns(t *testing.T) {
	p := newPlatform(t)
	c := p.start()
	if owned, err := journal.IsOwned(p.stateDir); !owned || err != nil {
		t.Errorf("IsOwned while the relay runs: %v, error %v; want true", owned, err)
	}
	p.kill(c)
	if owned, err := journal.IsOwned(p.stateDir); owned || err != nil {
		t.Errorf("IsOwned after the relay was killed: %v, error %v; want false", owned, err)
	}
	if owned, err := journal.IsOwned(t.TempDir()); owned || err != nil {
		t.Errorf("IsOwned of an unused directory: %v, error %v; want false", owned, err)
	}
}

// A wall clock that was set by an hour between the writing and the reading of the journal must not shift the times there. A keyed
// message whose idempotency window is over must not be sent again, and another message has to keep exactly the time that it had
// left.
func TestWallClockSetBetweenProcesses(t *testing.T) {
	for _, ahead := range []time.Duration{time.Hour, -time.Hour} {
		p := newPlatform(t)
		p.addHost("h1", 7)
		clocks := journal.SystemClocks
		clocks.Wall = func() clock.Wall { return clock.ReadWall() + clock.Wall(ahead) }
		j, _, err := journal.Open(p.stateDir, journal.Options{DiskMB: 3, Clocks: clocks})
		if err != nil {
			t.Fatal(err)
		}
		sent := clock.Now().Add(-time.Minute)
		for _, class := range []string{"payment", "status"} {
			e := &journal.Entry{ID: class, Class: class, Dest: 7, Key: "k", ExpiresAt: clock.Now().Add(25 * time.Second), AcceptedAt: sent}
			j.Accept(e)
			j.StartAttempt(e, "h1", sent)
		}
		commit(t, j)
		for _, e := range readEntries(t, p.stateDir) {
			if left := clock.Until(e.ExpiresAt); left > 25*time.Second || left < 20*time.Second {
				t.Errorf("wall clock %v ahead: message %s has %v left, want 20 s to 25 s", ahead, e.ID, left)
			}
		}
		p.start()
		if id := p.nextCall(); id != "status" {
			t.Errorf("wall clock %v ahead: message %s was sent, want only the retryable one", ahead, id)
		}
		p.waitUntil("both messages have ended", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
		if n := p.notifications(); len(n) != 1 || n[0].ID != "payment" {
			t.Errorf("wall clock %v ahead: notifications %v, want one for the keyed message", ahead, n)
		}
	}
}

// BenchmarkStart measures the time from the start of a process to its first response of 202 or 429, with a number of live
// messages in its journal. Their deadline is either in the future or has passed while no relay ran; for expired ones,
// s-to-last-notice is the time until the notification of the last of them.
func BenchmarkStart(b *testing.B) {
	for _, c := range []struct {
		name string
		live int
		left time.Duration
	}{{"empty", 0, 0}, {"live/10000", 10_000, time.Minute}, {"expired/10000", 10_000, -time.Minute}} {
		b.Run(c.name, func(b *testing.B) {
			var notificationTime time.Duration
			for b.Loop() {
				b.StopTimer()
				p := newPlatform(b)
				p.diskMB = 64
				p.addHost("h1", 7)
				j := openTestJournal(b, p.stateDir, 64)
				for i := range c.live {
					e := &journal.Entry{ID: fmt.Sprintf("%016x", i), Class: "status", Dest: 7, ExpiresAt: clock.Now().Add(c.left),
						Body: make([]byte, 200)}
					j.Accept(e)
					j.StartAttempt(e, "h1", clock.Now())
					j.EndAttempt(e, true)
				}
				commit(b, j)
				_ = j.Close()
				b.StartTimer()
				start := time.Now()
				child := p.start()
				for id := 0; ; id++ {
					resp := p.submit("order", fmt.Sprint("new", id), "25", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=7") })
					if resp.StatusCode == http.StatusAccepted || resp.StatusCode == http.StatusTooManyRequests && c.left > 0 {
						break // with so many messages before it, the new one is rejected at once, which counts as served
					}
				}
				b.StopTimer()
				if c.left < 0 {
					p.waitUntil("all notifications are received", func() bool { return len(p.notifications()) >= c.live })
					notificationTime += time.Since(start)
				}
				p.kill(child)
				b.StartTimer()
			}
			if notificationTime > 0 {
				b.ReportMetric(notificationTime.Seconds()/float64(b.N), "s-to-last-notice")
			}
		})
	}
}
