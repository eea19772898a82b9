package relay

import (
	"log/slog"
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

// checkClocks reports a step of the wall clock. Nothing in the relay goes by that clock but what is written for people and
// for the next boot.
func (l *loop) checkClocks() {
	now := clock.ReadPair()
	by := l.lastClocks.SteppedBy(now)
	known := l.lastClocks != (clock.Pair{})
	l.lastClocks = now
	if !known || by.Abs() < clockStep {
		return
	}
	direction := "forward"
	if by < 0 {
		direction = "back"
	}
	slog.Warn("wall clock stepped", "by", by, "messages", len(l.messages), "uptime", clock.Uptime())
	l.metrics.Reasons.Add("relay_wall_clock_steps", direction, 1)
}

// checkOverdue reports the messages whose time is up and that have no end: there should never be any.
func (l *loop) checkOverdue() {
	now := clock.Now()
	for _, m := range l.messages {
		if m.ended || m.reportedOverdue || now.Sub(m.ExpiresAt) < overdueAfter {
			continue
		}
		m.reportedOverdue = true
		slog.Error("held past its time", "id", m.ID, "dest", m.Dest, "class", m.Class, "attempts", len(m.Attempts), "by", now.Sub(m.ExpiresAt),
			"call out", m.cancel != nil)
		l.metrics.Reasons.Add("relay_overdue", m.Class, 1)
	}
}
