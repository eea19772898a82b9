package lab

import (
	"testing"
	"time"

	"milletsail/internal/lab/history"
)

// clockStepStart and firstOutageStart bound the span of scenario clock in which stepped wall clocks are the only
// fault.
const clockStepStart, firstOutageStart = 3300 * time.Millisecond, 4900 * time.Millisecond

// requireNoViolations reports each rule violation of a run, and a run with too little traffic to be meaningful.
func requireNoViolations(t *testing.T, r *Result) {
	t.Helper()
	for _, x := range r.Verdict.Violations {
		t.Errorf("rule %s violated: relay %d, message %s: %s (history lines %v)", x.Rule, x.Relay, x.ID, x.Text, x.Lines)
	}
	if r.Verdict.Messages < 300 || r.Verdict.Calls < 300 {
		t.Errorf("%d messages with an outcome and %d calls, want at least 300 of each for a meaningful run", r.Verdict.Messages, r.Verdict.Calls)
	}
}

// refusedBetween counts the messages that were handed in within a span and refused.
func refusedBetween(events []history.Event, from, to time.Duration) (refused int) {
	handedIn := map[string]bool{}
	for _, e := range events {
		switch {
		case e.Kind == history.HandIn && e.Time >= history.ToMicros(from) && e.Time < history.ToMicros(to):
			handedIn[e.ID] = true
		case e.Kind == history.Answer && handedIn[e.ID] && e.Status != "202":
			refused++
		}
	}
	return refused
}

// Wall clock steps, forward or back, must not affect messages: each gets its outcome in time, none is refused because
// of a step, and no notification is sent outside its time window, also across kills, restarts and handovers.
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
				t.Errorf("%d messages refused while clock steps are the only fault, want 0", n)
			}
		})
	}
}

// System calls that fail once or for seconds must not end a relay, use up an attempt or leave a message without an
// outcome.
func TestFailingSystemCalls(t *testing.T) {
	r := startRun(t, "syscalls", Options{Binary: shimBinary}).wait(t)
	requireNoViolations(t, r)
	if n := refusedBetween(r.Events, 0, time.Minute); n > 0 {
		t.Errorf("%d messages refused while failing system calls are the only fault, want 0", n)
	}
}

// File operations in the state directory that fail once or for seconds, at starts, in drains and beside kills, must
// not end a relay; notifications sent and messages accepted remain valid.
func TestFailingFolder(t *testing.T) {
	requireNoViolations(t, startRun(t, "folder", Options{Binary: shimBinary}).wait(t))
}
