package scale

import (
	"context"
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

// quickPlan returns a plan whose points take a few seconds each; text sets its sweep and points.
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

// testOptions returns options under which the test binary runs as the relay and as the program for hollow relays.
func testOptions(t *testing.T) Options {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Options{Versions: []Version{{Label: "a", Binary: self}}, Out: t.TempDir(), Self: self}
}

// wantFigures reports an error if a point failed, and for each figure that it lacks.
func wantFigures(t *testing.T, point Point, names ...string) {
	t.Helper()
	if point.Failed != "" {
		t.Errorf("the point at %d failed: %s", point.X, point.Failed)
	}
	for _, name := range names {
		if _, ok := point.Get(name); !ok {
			t.Errorf("figure %q is missing at point %d", name, point.X)
		}
	}
}

// A cancelled run keeps the points that are complete, writes them to its file and leaves no process behind.
func TestCancelledRunKeepsItsPoints(t *testing.T) {
	p := quickPlan(t, "sweep = \"destinations\"\npoints = [300, 400, 500]\n")
	o := testOptions(t)
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
		t.Errorf("error of the cancelled run is %v, want context.Canceled", err)
	}
	for end := time.Now().Add(time.Second); len(children(os.Getpid())) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("child processes still run 1 s after the cancelled run: %v", children(os.Getpid()))
		}
	}
	runs, err := ReadRuns(o.Out)
	if err != nil || file == "" {
		t.Fatalf("the cancelled run wrote no readable result, file %q: %v", file, err)
	}
	if run := runs[0]; run.Complete || len(run.Points) != 1 || run.Machine.Cores == 0 || run.Plan.Seed != 1 {
		t.Fatalf("result is %+v, want an incomplete run with one point, the machine and the plan's seed", run)
	}
	wantFigures(t, runs[0].Points[0], "start to ready", "start to list in force", "control processor", "split deviation", "resident idle",
		"live heap idle", "control received", "bytes written a change", "answer both p99", "in force all", "restart to ready",
		"restart control received")
}

// A point that can't be measured is reported with its reason, and the run continues with the next.
func TestFailedPointDoesNotEndTheRun(t *testing.T) {
	p := quickPlan(t, "sweep = \"destinations\"\npoints = [300, 400]\n")
	o := testOptions(t)
	o.Versions[0].Binary = "/bin/false"
	run, _, err := p.Run(t.Context(), o)
	if err != nil || !run.Complete || len(run.Points) != 2 {
		t.Fatalf("result is %+v (error %v), want a complete run with two points", run, err)
	}
	for _, point := range run.Points {
		if !strings.Contains(point.Failed, "the relay's process ended") {
			t.Errorf("point %d failed with %q, want that the relay's process ended", point.X, point.Failed)
		}
	}
}

// A fact that a hollow relay shares reaches the others in a fleet of real and hollow relays, and a relay that stops
// is not dropped within the test's one second.
func TestFactsReachRealAndHollowRelays(t *testing.T) {
	p := quickPlan(t, "sweep = \"relays\"\npoints = [5, 12]\n")
	p.Points = p.Points[1:]
	run, _, err := p.Run(t.Context(), testOptions(t))
	if err != nil || len(run.Points) != 1 {
		t.Fatalf("result is %+v (error %v), want one point", run, err)
	}
	point := run.Points[0]
	wantFigures(t, point, "hollow relay processor", "real relay processor", "sent a relay", "received a relay", "fact in force all",
		"dead relay dropped all")
	if undelivered, _ := point.Get("facts that did not arrive"); undelivered.Value > 0 {
		t.Errorf("%v%% of the facts were not delivered, want none lost", undelivered.Value)
	}
	if dropTime, _ := point.Get("dead relay dropped all"); !dropTime.AtLeast || dropTime.Value != 1 {
		t.Errorf("time until a dead relay is dropped is %+v, want a lower bound of 1 s, since it takes five missed heartbeats", dropTime)
	}
}
