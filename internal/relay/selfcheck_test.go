package relay

import (
	"strings"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/metrics"
	"milletsail/policy"
)

// Guards against faults that operators can't see, or that are counted repeatedly: a step of the wall clock and a message that has
// not ended after its expiry.
func TestDiagnostics(t *testing.T) {
	l := &loop{metrics: metrics.New([]policy.Class{{Name: "status"}}), messages: map[string]*message{}}
	l.checkClocks() // the first reading has none to be compared with
	for _, by := range []time.Duration{time.Hour, -10 * time.Second, 10 * time.Millisecond} {
		l.lastClocks = clock.ReadPair()
		l.lastClocks.Wall -= clock.Wall(by)
		l.checkClocks()
	}
	l.messages["late"] = &message{Entry: &journal.Entry{ID: "late", Class: "status", ExpiresAt: clock.Now().Add(-time.Second)}}
	l.messages["in time"] = &message{Entry: &journal.Entry{ID: "in time", Class: "status", ExpiresAt: clock.Now().Add(time.Minute)}}
	l.messages["over"] = &message{Entry: &journal.Entry{ID: "over", Class: "status", ExpiresAt: clock.Now().Add(-time.Second)},
		ended: true}
	l.checkOverdue()
	l.checkOverdue()
	l.metrics.Reasons.Increment("relay_undelivered", policy.ReasonBacklog)
	want := []string{`relay_overdue{reason="status"} 1`, `relay_undelivered{reason="backlog"} 1`,
		`relay_wall_clock_steps{reason="back"} 1`,
		`relay_wall_clock_steps{reason="forward"} 1`, "END"}
	if got := l.metrics.Reasons.Text(); got != strings.Join(want, "\n") {
		t.Errorf("unexpected text of the counters:\n%s", got)
	}
}
