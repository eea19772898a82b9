package policy

import "testing"

// TestProvesNotExecuted lists every outcome: only those that come before the endpoint can have accepted the
// call prove that it never ran.
func TestProvesNotExecuted(t *testing.T) {
	want := map[Outcome]bool{OK: false, Failed: false, Rejected: true, TimedOut: false, ConnectError: true,
		Reset:    false,
		Canceled: false, NotSent: true, NotStarted: true}
	if len(want) != len(outcomeNames) {
		t.Fatalf("%d outcomes tested, %d exist", len(want), len(outcomeNames))
	}
	for outcome, proves := range want {
		if got := outcome.ProvesNotExecuted(); got != proves {
			t.Errorf("%v: %v, want %v", outcome, got, proves)
		}
	}
}
