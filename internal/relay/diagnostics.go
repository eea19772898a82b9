package relay

import (
	"bytes"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"milletsail/internal/clock"
)

const (
	// clockStep is how far the wall clock has to move against the monotonic one within a second to count as stepped: time
	// servers slew it by far less.
	clockStep = 100 * time.Millisecond
	// overdueAfter is how long a message may be held past its time before that is reported: its notice is due 300 ms after.
	overdueAfter = 250 * time.Millisecond
)

// diagnostics counts why things happened, for on-call staff. It is safe for concurrent use.
type diagnostics struct {
	mu     sync.Mutex
	counts map[string]int64
}

// count adds one to a figure, which has a name and a reason.
func (d *diagnostics) count(name string, reason fmt.Stringer) { d.add(name, reason.String(), 1) }

func (d *diagnostics) add(name, reason string, n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.counts == nil {
		d.counts = map[string]int64{}
	}
	d.counts[fmt.Sprintf("%s{reason=%q}", name, reason)] += n
}

// text is the figures, a line each, by name.
func (d *diagnostics) text() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var b bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(d.counts)) {
		fmt.Fprintf(&b, "%s %d\n", name, d.counts[name])
	}
	return b.String() + "END"
}

// checkClocks reports a step of the wall clock. Nothing in the relay goes by that clock but what is written for people and
// for the next boot.
func (l *loop) checkClocks() {
	now := clock.ReadPair()
	by := l.clocks.SteppedBy(now)
	known := l.clocks != (clock.Pair{})
	l.clocks = now
	if !known || by.Abs() < clockStep {
		return
	}
	direction := "forward"
	if by < 0 {
		direction = "back"
	}
	slog.Warn("wall clock stepped", "by", by, "messages", len(l.messages), "uptime", clock.Uptime())
	l.figures.why.add("relay_wall_clock_steps", direction, 1)
}

// checkOverdue reports the messages whose time is up and that have no end: there should never be any.
func (l *loop) checkOverdue() {
	now := clock.Now()
	for _, m := range l.messages {
		if m.over || m.overdue || now.Sub(m.ExpiresAt) < overdueAfter {
			continue
		}
		m.overdue = true
		slog.Error("held past its time", "id", m.ID, "dest", m.Dest, "class", m.Class, "attempts", len(m.Attempts), "by", now.Sub(m.ExpiresAt),
			"call out", m.cancel != nil)
		l.figures.why.add("relay_overdue", m.Class, 1)
	}
}
