package scale

import (
	"context"
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

// quickPlan is a plan whose points take some seconds each.
func quickPlan(t *testing.T, text string) *Plan {
	t.Helper()
	p, err := ParsePlan("quick.toml", []byte(text+`
[phases]
settle = "100ms"
idle = "500ms"
changes = "500ms"
messages = "500ms"
both = "500ms"
in_force = "500ms"
[fleet]
real = 1
loss = ["0%"]
facts = 3
measure = "1s"
dead_wait = "1s"
[relay]
memory = "256MB"
`))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// optionsOf has the test binary stand in for the relay and for the program.
func optionsOf(t *testing.T) Options {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Options{Versions: []Version{{Label: "a", Binary: self}}, Out: t.TempDir(), Self: self}
}

// wantFigures fails for each figure that a point lacks.
func wantFigures(t *testing.T, point Point, names ...string) {
	t.Helper()
	if point.Failed != "" {
		t.Errorf("the point at %d failed: %s", point.X, point.Failed)
	}
	for _, name := range names {
		if _, ok := point.Get(name); !ok {
			t.Errorf("no figure %q at %d", name, point.X)
		}
	}
}

// A run measures its points; one that is broken off keeps those that are done and leaves no process behind.
func TestRunIsBrokenOff(t *testing.T) {
	p := quickPlan(t, "sweep = \"destinations\"\npoints = [300, 400, 500]\n")
	o := optionsOf(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	steps := 0
	o.Progress = func(line string) {
		if strings.HasSuffix(strings.Split(line, " (")[0], ": changes") {
			if steps++; steps == 2 {
				cancel()
			}
		}
	}
	_, file, err := p.Run(ctx, o)
	if !errors.Is(err, context.Canceled) {
		t.Errorf("error: %v", err)
	}
	for end := time.Now().Add(time.Second); len(children(os.Getpid())) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("processes are left: %v", children(os.Getpid()))
		}
	}
	runs, err := ReadRuns(o.Out)
	if err != nil || file == "" {
		t.Fatalf("no result %q: %v", file, err)
	}
	if run := runs[0]; run.Complete || len(run.Points) != 1 || run.Machine.Cores == 0 || run.Plan.Seed != 1 {
		t.Fatalf("%+v", run)
	}
	wantFigures(t, runs[0].Points[0], "start to ready", "start to list in force", "control processor", "split deviation", "resident idle",
		"live heap idle", "control received", "bytes written a change", "answer both p99", "in force all", "restart to ready",
		"restart control received")
}

// A point that can't be measured has its reason, and the run goes on.
func TestFailedPoint(t *testing.T) {
	p := quickPlan(t, "sweep = \"destinations\"\npoints = [300, 400]\n")
	o := optionsOf(t)
	o.Versions[0].Binary = "/bin/false"
	run, _, err := p.Run(t.Context(), o)
	if err != nil || !run.Complete || len(run.Points) != 2 {
		t.Fatalf("%+v: %v", run, err)
	}
	for _, point := range run.Points {
		if !strings.Contains(point.Failed, "the relay's process ended") {
			t.Errorf("at %d: %q", point.X, point.Failed)
		}
	}
}

// Real and hollow relays share facts.
func TestFleetPoint(t *testing.T) {
	p := quickPlan(t, "sweep = \"relays\"\npoints = [5, 12]\n")
	p.Points = p.Points[1:]
	run, _, err := p.Run(t.Context(), optionsOf(t))
	if err != nil || len(run.Points) != 1 {
		t.Fatalf("%+v: %v", run, err)
	}
	point := run.Points[0]
	wantFigures(t, point, "hollow relay processor", "real relay processor", "sent a relay", "received a relay", "fact in force all",
		"dead relay dropped all")
	if missed, _ := point.Get("facts that did not arrive"); missed.Value > 0 {
		t.Errorf("%v%% of the facts did not arrive", missed.Value)
	}
	if dead, _ := point.Get("dead relay dropped all"); !dead.AtLeast || dead.Value != 1 {
		t.Errorf("a relay that died is dropped after %+v, and has five heartbeats", dead)
	}
}
