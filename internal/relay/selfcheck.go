package relay

import (
	"log/slog"
	"time"

	"milletsail/internal/clock"
)

// The counters of what should not happen, by direction of a clock's step and by class.
const (
	wallClockSteps  = "relay_wall_clock_steps"
	overdueMessages = "relay_overdue"
)

const (
	// minClockStep is how far the wall clock has to move against the monotonic one within a second to count as stepped: time
	// servers slew it by far less.
	minClockStep = 100 * time.Millisecond
	// overdueAfter is how long after its expiry a message is reported: its notification is due after 300 ms.
	overdueAfter = 250 * time.Millisecond
)

// checkClocks reports a step of the wall clock. Nothing in the relay goes by that clock but what is written for people and
// for the next boot.
func (l *loop) checkClocks() {
	now := clock.ReadPair()
	by := l.lastClocks.SteppedBy(now)
	known := l.lastClocks != (clock.Pair{})
	l.lastClocks = now
	if !known || by.Abs() < minClockStep {
		return
	}
	direction := "forward"
	if by < 0 {
		direction = "back"
	}
	slog.Warn("wall clock stepped", "step", by, "messages", len(l.messages), "uptime", clock.Uptime())
	l.metrics.Reasons.Add(wallClockSteps, direction, 1)
}

// checkOverdue reports the messages that have expired and not ended: there should never be any.
func (l *loop) checkOverdue() {
	now := clock.Now()
	for _, m := range l.messages {
		if m.ended || m.reportedOverdue || now.Sub(m.ExpiresAt) < overdueAfter {
			continue
		}
		m.reportedOverdue = true
		slog.Error("message overdue", "request_id", m.ID, "destination", m.Dest, "class", m.Class, "attempts", len(m.Attempts),
			"overdue_by", now.Sub(m.ExpiresAt), "call_in_flight", m.cancel != nil)
		l.metrics.Reasons.Add(overdueMessages, m.Class, 1)
	}
}
