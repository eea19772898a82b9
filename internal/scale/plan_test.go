package scale

import (
	"strings"
	"testing"

	"milletsail/scenarios"
)

const plainPlan = `title = "x"
sweep = "destinations"
points = [300, 3000]

[load]
changes = "16/s"
down = "1%"

[phases]
idle = "1s"

[relay]
memory = "256MB"
`

// An invalid plan is reported as a one-line error with the file name and the line of the offending key.
func TestPlanErrors(t *testing.T) {
	for _, c := range []struct{ name, old, new, at, what string }{
		{"unknown key", `title = "x"`, `colour = "x"`, ":1:", `unknown key "colour"`},
		{"unknown key in a table", `changes = "16/s"`, `rate = "16/s"`, ":6:", `unknown key "load.rate"`},
		{"rate without a unit", `"16/s"`, `"16"`, ":6:", "is not a rate with its unit"},
		{"rate as a number", `"16/s"`, `16`, ":6:", "load.changes"},
		{"negative rate", `"16/s"`, `"-1/s"`, ":6:", "is not a rate"},
		{"share without a unit", `"1%"`, `"0.01"`, ":7:", "is not a share with its unit"},
		{"share above all", `"1%"`, `"101%"`, ":7:", "is not a share"},
		{"time without a unit", `"1s"`, `"1"`, ":10:", "is not a time with its unit"},
		{"time too long", `"1s"`, `"1h"`, ":10:", "phases.idle"},
		{"time as a number", `"1s"`, `1`, ":10:", "phases.idle"},
		{"share as a number", `"1%"`, `0.01`, ":7:", "load.down"},
		{"size as a number", `"256MB"`, `256`, ":13:", "relay.memory"},
		{"size without a unit", `"256MB"`, `"256"`, ":13:", "is not a size with its unit"},
		{"sweep", `"destinations"`, `"colours"`, ":2:", `"colours" is not`},
		{"one point", "[300, 3000]", "[300]", ":3:", "points: are 1"},
		{"order of points", "[300, 3000]", "[3000, 300]", ":3:", "rising order"},
		{"point twice", "[300, 3000]", "[300, 300]", ":3:", "rising order"},
		{"point too large", "[300, 3000]", "[300, 30000000]", ":3:", "is not 300 to"},
		{"point too small", "[300, 3000]", "[30, 3000]", ":3:", "is not 300 to"},
		{"no TOML", `[load]`, `[load`, ":5:", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, err := ParsePlan("x.toml", []byte(strings.Replace(plainPlan, c.old, c.new, 1)))
			if err == nil {
				t.Fatalf("ParsePlan accepted an invalid plan: %+v", p)
			}
			if got := err.Error(); !strings.HasPrefix(got, "x.toml"+c.at) || !strings.Contains(got, c.what) || strings.Contains(got, "\n") {
				t.Errorf("error is %s, want one line that begins with x.toml%s and contains %s", got, c.at, c.what)
			}
		})
	}
}

// Every built-in plan can be parsed and has at least five points, and each dimension is swept by one of them.
func TestBuiltinPlans(t *testing.T) {
	swept := map[string]bool{}
	for _, name := range scenarios.ScaleNames() {
		text, err := scenarios.Scale(name)
		if err != nil {
			t.Fatal(err)
		}
		p, err := ParsePlan(name, text)
		if err != nil {
			t.Error(err)
			continue
		}
		if len(p.Points) < 5 {
			t.Errorf("plan %s has %d points, want at least 5", name, len(p.Points))
		}
		swept[p.Sweep] = true
	}
	for sweep := range axes {
		if !swept[sweep] {
			t.Errorf("no built-in plan sweeps the dimension %s", sweep)
		}
	}
}

// A plan that exceeds its bounds on memory or processes is rejected before any process is started.
func TestPlanAboveItsBoundsIsRejected(t *testing.T) {
	p, err := ParsePlan("x.toml", []byte(plainPlan))
	if err != nil {
		t.Fatal(err)
	}
	if err := p.checkRoom(); err != nil {
		t.Fatalf("checkRoom rejected a plan within its bounds: %v", err)
	}
	small := *p
	small.Bounds.MemoryShare = Share{0.0001}
	if err := small.checkRoom(); err == nil || !strings.Contains(err.Error(), "of memory") {
		t.Errorf("error of a plan above its memory bound is %v, want one that contains \"of memory\"", err)
	}
	many := *p
	many.Sweep, many.Points, many.Bounds.Processes = SweepRelays, []int{60, 1200}, 3
	if err := many.checkRoom(); err == nil || !strings.Contains(err.Error(), "processes") {
		t.Errorf("error of a plan above its process bound is %v, want one that contains \"processes\"", err)
	}
}
