package relay

import (
	"log/slog"
	"time"

	"milletsail/internal/clock"
)

// The counters of conditions that indicate a fault.
const (
	// wallClockSteps counts steps of the wall clock, by direction.
	wallClockSteps = "relay_wall_clock_steps"
	// overdueMessages counts messages that expired without being ended in time, by class.
	overdueMessages = "relay_overdue"
)

const (
	// minClockStep is the smallest change of the wall clock against the monotonic clock between two checks, one second apart,
	// that counts as a step. Time synchronization slews the clock by far less.
	minClockStep = 100 * time.Millisecond
	// overdueAfter is how long after its expiry a message that has not ended is reported. The protocol requires its
	// notification within 300 ms of the expiry.
	overdueAfter = 250 * time.Millisecond
)

// checkClocks logs and counts a step of the wall clock since the last check. The relay uses the wall clock only for logs and for
// data that has to outlast a reboot.
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

// checkOverdue logs and counts, once each, the messages that have expired but not ended. Any such message indicates a fault.
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
