package lab

import (
	"testing"
	"time"

	"milletsail/internal/lab/history"
)

// clockStepped and firstOutage bound the span of scenario clock in which wall clocks are stepped and nothing else is wrong.
const clockStepStart, firstOutageStart = 3300 * time.Millisecond, 4900 * time.Millisecond

// keepsAllRules fails a test for each rule that a play breaks.
func requireNoViolations(t *testing.T, r *Result) {
	t.Helper()
	for _, x := range r.Verdict.Violations {
		t.Errorf("%s: relay %d, message %s: %s (lines %v)", x.Rule, x.Relay, x.ID, x.Text, x.Lines)
	}
	if r.Verdict.Messages < 300 || r.Verdict.Calls < 300 {
		t.Errorf("%d messages followed to their end, %d calls: the play shows little", r.Verdict.Messages, r.Verdict.Calls)
	}
}

// refusedBetween counts the messages that were handed in within a span and refused.
func refusedBetween(events []history.Event, from, to time.Duration) (refused int) {
	handedIn := map[string]bool{}
	for _, e := range events {
		switch {
		case e.Kind == history.HandIn && e.T >= history.M(from) && e.T < history.M(to):
			handedIn[e.ID] = true
		case e.Kind == history.Answer && handedIn[e.ID] && e.Status != "202":
			refused++
		}
	}
	return refused
}

// A relay whose wall clock is stepped, forward or back, gives every message its end in time, refuses none for it, and sends
// nothing outside its window, also over kills, restarts and handovers.
func TestSteppedClocks(t *testing.T) {
	runs := map[string]*pendingRun{}
	for _, name := range []string{"clock", "clock-upgrade"} {
		runs[name] = startRun(t, name, Options{Binary: shimBinary})
	}
	for name, p := range runs {
		t.Run(name, func(t *testing.T) {
			r := p.wait(t)
			requireNoViolations(t, r)
			if n := refusedBetween(r.Events, clockStepStart, firstOutageStart); name == "clock" && n > 0 {
				t.Errorf("%d messages are refused while nothing but clocks is wrong", n)
			}
		})
	}
}

// System calls that fail for a moment or for seconds end no relay, use up no attempt, and leave nothing without its end.
func TestFailingSystemCalls(t *testing.T) {
	r := startRun(t, "syscalls", Options{Binary: shimBinary}).wait(t)
	requireNoViolations(t, r)
	if n := refusedBetween(r.Events, 0, time.Minute); n > 0 {
		t.Errorf("%d messages are refused, where only calls of the system fail", n)
	}
}

// A folder that fails to be opened, read, written, synced or renamed in, for a call or for seconds, at starts, in drains and
// beside kills, ends no relay, and what was told and accepted still binds.
func TestFailingFolder(t *testing.T) {
	requireNoViolations(t, startRun(t, "folder", Options{Binary: shimBinary}).wait(t))
}
