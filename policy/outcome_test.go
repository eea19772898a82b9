package policy

import "testing"

// Only outcomes that occur before the endpoint can have accepted a call prove that it was not executed. A new
// outcome must be added here, so that it is not classified by default.
func TestProvesNotExecuted(t *testing.T) {
	want := map[Outcome]bool{OK: false, Failed: false, Rejected: true, TimedOut: false, ConnectError: true,
		Reset:    false,
		Canceled: false, NotSent: true, NotStarted: true}
	if len(want) != len(outcomeNames) {
		t.Fatalf("test covers %d outcomes, want all %d", len(want), len(outcomeNames))
	}
	for outcome, proves := range want {
		if got := outcome.ProvesNotExecuted(); got != proves {
			t.Errorf("%v: ProvesNotExecuted returned %v, want %v", outcome, got, proves)
		}
	}
}
