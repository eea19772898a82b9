package rollout

import (
	"errors"
	"testing"
	"time"

	"milletsail/internal/compat"
)

// A good version is rolled out to all relays, and rolled back from all by an order.
func TestRolloutAndRollback(t *testing.T) {
	f := newTestFleet(t, 6)
	c := f.start(t)
	if err := run(t, c); err != nil || c.State().Phase != Done || f.running(t, f.newProgram) != 6 {
		t.Fatalf("%v, %+v, %d on the new version", err, c.State(), f.running(t, f.newProgram))
	}
	if err := c.HandleOrder(Order{Action: OrderRollback}); err != nil {
		t.Fatal(err)
	}
	if err := run(t, c); err != nil || c.State().Phase != RolledBack || f.running(t, f.oldProgram) != 6 {
		t.Fatalf("%v, %+v, %d on the old version", err, c.State(), f.running(t, f.oldProgram))
	}
	for i, runner := range f.runners {
		if runner.updates != 2 {
			t.Errorf("relay %d was updated %d times", i, runner.updates)
		}
	}
}

// A version that can't read the old one's journals, one whose journals the old one can't read, and one that does not report its
// formats are rejected before any update; the last two are accepted if the plan allows that there is no rollback.
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
				t.Fatalf("start: %v", err)
			}
			if err == nil {
				_ = controller.Close()
			}
			if f.updates() > 0 {
				t.Errorf("%d relays were updated", f.updates())
			}
		})
	}
}

// A rollout pauses, with the reason, if the fleet evacuates a zone, but not if one relay of many does; an order resumes it.
func TestPausesForEvacuatedZone(t *testing.T) {
	f := newTestFleet(t, 12)
	c := f.start(t)
	f.runners[11].evacuate("b")
	f.runners[10].evacuate("b")
	if err := run(t, c); err != nil || c.State().Phase != Paused || f.running(t, f.oldProgram) != 12 {
		t.Fatalf("%v, %+v", err, c.State())
	}
	f.runners[10].evacuate()
	if err := c.HandleOrder(Order{Action: OrderResume}); err != nil {
		t.Fatal(err)
	}
	if err := run(t, c); err != nil || c.State().Phase != Done {
		t.Fatalf("%v, %+v", err, c.State())
	}
}

// A version that does not start stops the rollout at the first relay.
func TestStopsForFailedUpdate(t *testing.T) {
	f := newTestFleet(t, 6)
	for _, runner := range f.runners {
		runner.broken = checksum(t, f.newProgram)
	}
	c := f.start(t)
	if err := run(t, c); err != nil || c.State().Phase != Stopped || f.running(t, f.oldProgram) != 6 {
		t.Fatalf("%v, %+v", err, c.State())
	}
	if f.updates() != 1 {
		t.Errorf("%d relays were updated", f.updates())
	}
}

// A controller that fails at any step is followed by one that completes the rollout, without updating a relay twice. The first
// one, if it goes on, is superseded.
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
			t.Fatalf("a second controller beside the first: %v", err)
		}
		started := time.Now()
		second, err := Open(f.stateDir(), true)
		if err != nil {
			t.Fatal(err)
		}
		if took := time.Since(started); took > time.Second {
			t.Errorf("taken over after %v", took)
		}
		if err := run(t, second); err != nil || f.running(t, f.newProgram) != 4 {
			t.Fatalf("after %d steps: %v, %+v", steps, err, second.State())
		}
		if first.State().Phase == Running {
			if err := first.step(t.Context()); !errors.Is(err, ErrSuperseded) {
				t.Errorf("the first one goes on: %v", err)
			}
		}
		for i, runner := range f.runners {
			if runner.updates != 1 {
				t.Errorf("after %d steps relay %d was updated %d times", steps, i, runner.updates)
			}
		}
	}
}

// A plan can be replaced by one that includes what was done so far, and has the same program and relays.
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
			t.Errorf("%q: %v", name, err)
		}
	}
}
