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

// setDiskFull has a relay's files not grow any more, or lets them.
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

// With a full disk nothing is taken on and the operators are told why, but what is held and may be repeated is
// delivered; the rest goes once there is room again, and nothing is lost.
func TestFullDisk(t *testing.T) {
	p := newPlatform(t)
	hold := make(chan bool)
	p.respond = p.respondAfter(hold)
	p.addHost("h1", 7)
	p.admin = closedAddress(t)
	c := p.start()
	for _, id := range []string{"a", "b", "c", "d"} { // all slots that one destination may have
		p.submitAccepted("status", id, "25")
	}
	p.waitUntil("all slots are taken", func() bool { return len(p.calls()) == 4 })
	p.submitAccepted("order", "unsafe", "25")
	p.submitAccepted("status", "safe", "25")
	c.setDiskFull(t, true)
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
	close(hold)
	p.waitUntil("what may be repeated goes out", func() bool { return slices.Contains(p.calls(), "safe") })
	p.waitUntil("the operators are told", func() bool {
		return strings.HasPrefix(sendAdminCommand(t, p.admin, "health\n"),
			"ERR nothing is taken on")
	})
	resp := p.submit("status", "late", "25")
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("with a full disk: %s, Retry-After %q", resp.Status, resp.Header.Get("Retry-After"))
	}
	if slices.Contains(p.calls(), "unsafe") {
		t.Error("a message that may not be repeated goes out without a record")
	}
	c.setDiskFull(t, false)
	p.waitUntil("it is taken on again", func() bool { return sendAdminCommand(t, p.admin, "health\n") == "OK\n" })
	p.waitUntil("the rest goes out", func() bool { return slices.Contains(p.calls(), "unsafe") })
	p.submitAccepted("status", "after", "25")
	p.waitUntil("all are over", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
	if n := p.notifications(); len(n) != 0 {
		t.Errorf("notices %v", n)
	}
}

// The tools can tell a folder that a running relay owns, and one that is free.
func TestOwned(t *testing.T) {
	p := newPlatform(t)
	c := p.start()
	if owned, err := journal.IsOwned(p.stateDir); !owned || err != nil {
		t.Errorf("while it runs: %v, %v", owned, err)
	}
	p.kill(c)
	if owned, err := journal.IsOwned(p.stateDir); owned || err != nil {
		t.Errorf("after its end: %v, %v", owned, err)
	}
	if owned, err := journal.IsOwned(t.TempDir()); owned || err != nil {
		t.Errorf("never used: %v, %v", owned, err)
	}
}

// A wall clock that was an hour ahead when the folder was written, or an hour behind, makes no attempt younger than it is: a
// keyed message whose window is over is not sent again, and another one has just the time that it had left.
func TestClockSetBack(t *testing.T) {
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
				t.Errorf("%v ahead: %s has %v left", ahead, e.ID, left)
			}
		}
		p.start()
		if id := p.nextCall(); id != "status" {
			t.Errorf("%v ahead: %s is sent", ahead, id)
		}
		p.waitUntil("both are over", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
		if n := p.notifications(); len(n) != 1 || n[0].ID != "payment" {
			t.Errorf("%v ahead: notices %v", ahead, n)
		}
	}
}

// BenchmarkStart is the time from the start of a process to its first 202, with so many live messages in its folder: of
// a destination that answers, or whose time was up while the machine was off. Notices is when the last of those is told.
func BenchmarkStart(b *testing.B) {
	for _, c := range []struct {
		name string
		live int
		left time.Duration
	}{{"empty", 0, 0}, {"live/10000", 10_000, time.Minute}, {"expired/10000", 10_000, -time.Minute}} {
		b.Run(c.name, func(b *testing.B) {
			var notices time.Duration
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
				begun := time.Now()
				child := p.start()
				for id := 0; ; id++ {
					resp := p.submit("order", fmt.Sprint("new", id), "25", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=7") })
					if resp.StatusCode == http.StatusAccepted || resp.StatusCode == http.StatusTooManyRequests && c.left > 0 {
						break // with so much held before it, it is refused at once, which is an answer too
					}
				}
				b.StopTimer()
				if c.left < 0 {
					p.waitUntil("all notices are there", func() bool { return len(p.notifications()) >= c.live })
					notices += time.Since(begun)
				}
				p.kill(child)
				b.StartTimer()
			}
			if notices > 0 {
				b.ReportMetric(notices.Seconds()/float64(b.N), "s-to-last-notice")
			}
		})
	}
}
