package rollout

import (
	"errors"
	"testing"
	"time"

	"milletsail/internal/compat"
)

// Guards against a rollout or rollback that skips a relay or updates one more than once: a good version reaches all relays, and an
// order to roll back restores the old version on all of them.
func TestRolloutAndRollback(t *testing.T) {
	f := newTestFleet(t, 6)
	c := f.start(t)
	if err := run(t, c); err != nil || c.State().Phase != Done || f.running(t, f.newProgram) != 6 {
		t.Fatalf("rollout of 6 relays: got error %v, state %+v, %d relays on the new version; want all and phase done",
			err, c.State(), f.running(t, f.newProgram))
	}
	if err := c.HandleOrder(Order{Action: OrderRollback}); err != nil {
		t.Fatal(err)
	}
	if err := run(t, c); err != nil || c.State().Phase != RolledBack || f.running(t, f.oldProgram) != 6 {
		t.Fatalf("rollback of 6 relays: got error %v, state %+v, %d relays on the old version; want all",
			err, c.State(), f.running(t, f.oldProgram))
	}
	for i, runner := range f.runners {
		if runner.updates != 2 {
			t.Errorf("relay %d was updated %d times, want 2: once to the new version, once back", i, runner.updates)
		}
	}
}

// Guards against updates that lose messages or can't be undone. Start has to reject, before any update, a version that can't read
// the old version's journals, one whose journals the old version can't read, and one that does not report its formats; it accepts
// the last two if the plan allows a version without rollback.
func TestCompatibilityCheck(t *testing.T) {
	newJournals := compat.FormatVersions{Journal: compat.Format{Writes: 3, Reads: []int{2, 3}}, Gossip: defaultFormats.Gossip}
	unableToRead := compat.FormatVersions{Journal: compat.Format{Writes: 3, Reads: []int{3}}, Gossip: defaultFormats.Gossip}
	newGossip := compat.FormatVersions{Journal: defaultFormats.Journal, Gossip: compat.Format{Writes: 2, Reads: []int{2}}}
	for _, c := range []struct {
		name            string
		formats         compat.FormatVersions
		allowNoRollback bool
		isAccepted      bool
	}{
		{"new journals", newJournals, false, false},
		{"new journals, no rollback", newJournals, true, true},
		{"can't read the old journals", unableToRead, false, false},
		{"can't read the old journals, no rollback", unableToRead, true, false},
		{"not reported", compat.FormatVersions{}, false, false},
		{"not reported, no rollback", compat.FormatVersions{}, true, true},
		{"new gossip", newGossip, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t, 3)
			f.formats = map[string]compat.FormatVersions{"program new": c.formats}
			f.plan.AllowNoRollback = c.allowNoRollback
			controller, err := Start(t.Context(), f.stateDir(), f.plan)
			if c.isAccepted != (err == nil) {
				t.Fatalf("start of the rollout: got error %v, want one only if the version is to be rejected", err)
			}
			if err == nil {
				_ = controller.Close()
			}
			if f.updates() > 0 {
				t.Errorf("%d relays were updated by Start, want none", f.updates())
			}
		})
	}
}

// Guards against updates during a zone outage: a rollout pauses if several relays have evacuated a zone. One relay of twelve is
// not enough, and an order resumes the rollout.
func TestPausesForEvacuatedZone(t *testing.T) {
	f := newTestFleet(t, 12)
	c := f.start(t)
	f.runners[11].evacuate("b")
	f.runners[10].evacuate("b")
	if err := run(t, c); err != nil || c.State().Phase != Paused || f.running(t, f.oldProgram) != 12 {
		t.Fatalf("two relays have evacuated a zone: got error %v, state %+v; want phase paused and no update", err, c.State())
	}
	f.runners[10].evacuate()
	if err := c.HandleOrder(Order{Action: OrderResume}); err != nil {
		t.Fatal(err)
	}
	if err := run(t, c); err != nil || c.State().Phase != Done {
		t.Fatalf("resumed with one relay that has evacuated a zone: got error %v, state %+v; want phase done", err, c.State())
	}
}

// Guards against the spread of a version that does not start: the rollout stops at the first relay whose update fails.
func TestStopsForFailedUpdate(t *testing.T) {
	f := newTestFleet(t, 6)
	for _, runner := range f.runners {
		runner.broken = checksum(t, f.newProgram)
	}
	c := f.start(t)
	if err := run(t, c); err != nil || c.State().Phase != Stopped || f.running(t, f.oldProgram) != 6 {
		t.Fatalf("a version that does not start: got error %v, state %+v; want phase stopped, no relay updated",
			err, c.State())
	}
	if f.updates() != 1 {
		t.Errorf("%d relays were updated to a version that does not start, want 1", f.updates())
	}
}

// Guards against lost or repeated updates when a controller fails between two steps: the next controller completes the rollout and
// updates no relay twice. The first one gets ErrSuperseded if it is still running.
func TestFailover(t *testing.T) {
	for steps := 1; steps < 12; steps += 2 {
		f := newTestFleet(t, 4)
		f.plan.Stages = []Stage{{Share: 1}}
		f.plan.BakeTime = 0
		first := f.start(t)
		for range steps {
			if err := first.step(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := Open(f.stateDir(), false); !errors.Is(err, ErrLeaseHeld) {
			t.Fatalf("a second controller while the first holds the lease: got %v, want ErrLeaseHeld", err)
		}
		started := time.Now()
		second, err := Open(f.stateDir(), true)
		if err != nil {
			t.Fatal(err)
		}
		if took := time.Since(started); took > time.Second {
			t.Errorf("taking over took %v, want at most 1s", took)
		}
		if err := run(t, second); err != nil || f.running(t, f.newProgram) != 4 {
			t.Fatalf("second controller, after %d steps of the first: got error %v, state %+v; want all relays updated",
				steps, err, second.State())
		}
		if first.State().Phase == Running {
			if err := first.step(t.Context()); !errors.Is(err, ErrSuperseded) {
				t.Errorf("step of the first controller after the second took over: got %v, want ErrSuperseded", err)
			}
		}
		for i, runner := range f.runners {
			if runner.updates != 1 {
				t.Errorf("first controller ended after %d steps: relay %d was updated %d times, want once", steps, i, runner.updates)
			}
		}
	}
}

// Guards against a resumed rollout whose new plan contradicts its records: a plan with another program, with other relays, or with
// fewer relays than are updated already is an *InvalidPlanError.
func TestCheckPlanChange(t *testing.T) {
	f := newTestFleet(t, 4)
	s := State{
		Plan:        f.plan,
		NewVersion:  checksum(t, f.newProgram),
		OldVersions: map[int]string{0: "x", 1: "x", 2: "x", 3: "x"},
		Updated:     []int{0, 1},
		Stage:       1,
	}
	for name, change := range map[string]func(*Plan){
		"valid":           func(p *Plan) { p.BakeTime = Duration(time.Second) },
		"another program": func(p *Plan) { p.Version = f.oldProgram },
		"a relay less":    func(p *Plan) { p.Agents, p.Stages = p.Agents[1:], []Stage{{Relays: 1}, {Relays: 3}} },
		"too few updated": func(p *Plan) { p.Stages = []Stage{{Relays: 1}, {Relays: 1}, {Share: 1}} },
		"no stages":       func(p *Plan) { p.Stages = nil },
	} {
		plan := *f.plan
		change(&plan)
		var invalid *InvalidPlanError
		if err := s.checkPlanChange(&plan); (err == nil) != (name == "valid") || err != nil && !errors.As(err, &invalid) {
			t.Errorf("change to plan %q: got error %v", name, err)
		}
	}
}
