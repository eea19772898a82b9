package lab

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"milletsail/internal/lab/checker"
	"milletsail/internal/rollout"
)

// version builds the relay with a fault planted, or one that is equal but for its checksum, as a version of its own.
func buildVersion(t *testing.T, fault string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), fault)
	source := "milletsail/internal/lab/faulty"
	if fault == "equal" {
		source = "milletsail/cmd/relay"
	}
	if out, err := exec.Command("go", "build", "-ldflags", "-X main.planted="+fault, "-o", path, source).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// Stages is a plan for a play: one relay, a third, all.
func testPlan() rollout.Plan {
	return rollout.Plan{BakeTime: rollout.Duration(2 * time.Second), MaxBakeTime: rollout.Duration(20 * time.Second), MaxParallel: 3, ByZone: true, OnControllerFailure: "resume",
		Gate:   rollout.Gate{FalsePositiveRate: 0.01, FalseNegativeRate: 0.05, ErrorRateIncrease: 0.15, LatencyFactor: 2, MemoryFactor: 2.5, Interval: rollout.Duration(250 * time.Millisecond)},
		Stages: []rollout.Stage{{Relays: 1}, {Relays: 3}, {Share: 1}}}
}

// A version that is as good reaches all relays under load, with real processes, and no rule is broken; bad ones are
// stopped at the first stage, and taken back with nothing lost.
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
					t.Errorf("%s: relay %d, message %s: %s", x.Rule, x.Relay, x.ID, x.Text)
				}
			}
			s := r.State
			if fault == "equal" {
				if s.Phase != rollout.Done || len(s.Updated) != 9 {
					t.Errorf("%s: %s, %d relays changed, in stage %d", s.Phase, s.Reason, len(s.Updated), s.Stage+1)
				}
				return
			}
			if s.Phase != rollout.RolledBack || r.MaxUpdated > 1 || len(s.Updated) > 0 {
				t.Errorf("%s: %s, %d relays had it, %d still have", s.Phase, s.Reason, r.MaxUpdated, len(s.Updated))
			}
		})
	}
}
