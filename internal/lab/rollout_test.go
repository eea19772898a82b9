package lab

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"milletsail/internal/lab/checker"
	"milletsail/internal/rollout"
)

// buildVersion builds a relay with a fault injected; "equal" builds the released relay with another checksum.
func buildVersion(t *testing.T, fault string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), fault)
	source := "milletsail/internal/lab/faulty"
	if fault == "equal" {
		source = "milletsail/cmd/relay"
	}
	if out, err := exec.Command("go", "build", "-ldflags", "-X main.planted="+fault, "-o", path, source).CombinedOutput(); err != nil {
		t.Fatalf("building %s: %v: %s", source, err, out)
	}
	return path
}

// testPlan is a rollout plan with three stages: one relay, three relays, all.
func testPlan() rollout.Plan {
	return rollout.Plan{BakeTime: rollout.Duration(2 * time.Second), MaxBakeTime: rollout.Duration(20 * time.Second), MaxParallel: 3, ByZone: true, OnControllerFailure: "resume",
		Gate:   rollout.Gate{FalsePositiveRate: 0.01, FalseNegativeRate: 0.05, ErrorRateIncrease: 0.15, LatencyFactor: 2, MemoryFactor: 2.5, Interval: rollout.Duration(250 * time.Millisecond)},
		Stages: []rollout.Stage{{Relays: 1}, {Relays: 3}, {Share: 1}}}
}

// A rollout of an equivalent version reaches all relays under load and violates no rule. A faulty version is stopped
// at the first stage and rolled back, and no message is lost.
func TestRollouts(t *testing.T) {
	type rolled struct {
		*pendingRun
		RolloutResult
	}
	all := map[string]*rolled{}
	versions := map[string]string{}
	for _, fault := range []string{"equal", "one-class"} {
		versions[fault] = buildVersion(t, fault)
	}
	for fault, path := range versions {
		r := &rolled{}
		r.pendingRun = startRun(t, "rollout9", Options{Binary: relayBinary, DuringRun: RunRollout(path, testPlan(), time.Second, fault != "equal", &r.RolloutResult)})
		all[fault] = r
	}
	for fault, r := range all {
		t.Run(fault, func(t *testing.T) {
			for _, x := range r.wait(t).Verdict.Violations {
				if x.Rule != checker.Crash || fault == "equal" {
					t.Errorf("rule %s violated: relay %d, message %s: %s", x.Rule, x.Relay, x.ID, x.Text)
				}
			}
			s := r.State
			if fault == "equal" {
				if s.Phase != rollout.Done || len(s.Updated) != 9 {
					t.Errorf("rollout of an equal version ended in phase %s (%s) with %d relays updated, in stage %d; want done with 9", s.Phase, s.Reason, len(s.Updated), s.Stage+1)
				}
				return
			}
			if s.Phase != rollout.RolledBack || r.MaxUpdated > 1 || len(s.Updated) > 0 {
				t.Errorf("rollout of a faulty version ended in phase %s (%s): %d relays were updated, %d still are; want rolled back, at most 1 and 0", s.Phase, s.Reason, r.MaxUpdated, len(s.Updated))
			}
		})
	}
}
