package campaign

import (
	"context"
	"errors"
	"math"
	"strings"
	"sync"
	"testing"

	"milletsail/internal/lab/checker"
	"milletsail/internal/lab/report"
	"milletsail/internal/lab/scenario"
	"milletsail/scenarios"
)

const sampleCampaign = `
base = "calm"
seeds = 4
at_once = 3
[[variant]]
name = "a"
[[variant]]
name = "b"
set.fleet.relays = 7
[[case]]
name = "one"
set.load.rate = 50.0
set.fault = [{ at = "2s", for = "1s", kind = "burst", size = 2.0 }]
expect = [{ figure = "served", variant = "b", least = 0.9 }, { figure = "fell", most = 0.0 }]
[[case]]
name = "two"
seeds = 1
variants = ["a"]
`

func read(t *testing.T, text string) *Plan {
	t.Helper()
	p, err := Read("plan.toml", []byte(text), scenarios.Get)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Values of a case and a variant take the place of the scenario's, and the rest stays.
func TestScenario(t *testing.T) {
	p := read(t, sampleCampaign)
	s, err := p.Scenario("one", "b", 9)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := scenarios.Get("calm")
	base, err := scenario.Parse("calm", text)
	if err != nil {
		t.Fatal(err)
	}
	if s.Seed != 9 || s.Fleet.Relays != 7 || s.Load.Rate != 50 || len(s.Faults) != 1 || len(s.Hosts) != len(base.Hosts) || s.Length != base.Length {
		t.Errorf("%+v", s)
	}
	if other, err := p.Scenario("one", "a", 9); err != nil || other.Fleet.Relays != base.Fleet.Relays {
		t.Errorf("variant a: %v, %v", other, err)
	}
}

// What can't be played, or held, is an error before anything starts.
func TestReadRejectsInvalidPlans(t *testing.T) {
	for from, to := range map[string]string{
		`base = "calm"`:      `base = "none"`,
		"seeds = 4":          "seeds = 0",
		`set.load.rate = 50`: `set.load.rat = 50`,
		`kind = "burst"`:     `kind = "bust"`,
		`figure = "served"`:  `figure = "sered"`,
		`least = 0.9`:        `last = 0.9`,
		`variant = "b"`:      `variant = "c"`,
		`variants = ["a"]`:   `variants = ["z"]`,
		`name = "two"`:       `name = "one"`,
		`name = "b"`:         `name = "a"`,
		`, least = 0.9`:      ``,
	} {
		if _, err := Read("plan.toml", []byte(strings.Replace(sampleCampaign, from, to, 1)), scenarios.Get); err == nil || !strings.HasPrefix(err.Error(), "plan.toml") {
			t.Errorf("%s: %v", to, err)
		}
	}
}

// Each play counts once, void ones are played again and stay out of the figures, expectations hold for each play, and
// differences are paired by seed.
func TestRun(t *testing.T) {
	p := read(t, sampleCampaign)
	var mu sync.Mutex
	tries := map[string]int{}
	runner := func(_ context.Context, s *scenario.Scenario) (*report.Figures, error) {
		mu.Lock()
		defer mu.Unlock()
		side := "a"
		if s.Fleet.Relays == 7 {
			side = "b"
		}
		key := side + string(rune('0'+s.Seed))
		tries[key]++
		f := &report.Figures{Served: 0.8 + 0.01*float64(s.Seed)}
		if side == "b" {
			f.Served += 0.1
		}
		switch {
		case side == "b" && s.Seed == 2 && tries[key] < 3:
			f.Verdict.InvalidReason, f.Served = "late", 0
		case side == "a" && s.Seed == 3 && s.Load.Rate == 50:
			f.Verdict.InvalidReason = "late"
		case side == "b" && s.Seed == 4:
			f.Served, f.Overloaded = 0.5, 1
			f.Verdict.Violations = []checker.Violation{{Rule: checker.Lost}}
		}
		return f, nil
	}
	results, err := p.Run(t.Context(), nil, runner, func(RunResult) {})
	if err != nil || len(results) != 9 {
		t.Fatalf("%d plays, %v", len(results), err)
	}
	void, missed, broken := 0, 0, 0
	for _, result := range results {
		if result.InvalidReason != "" {
			void++
		}
		missed += len(result.UnmetExpectations)
		broken += len(result.Violations)
	}
	if void != 1 || missed != 2 || broken != 1 || tries["b2"] != 3 {
		t.Errorf("%d void, %d missed, %d broken, %d tries of a play that is void at first", void, missed, broken, tries["b2"])
	}
	for _, row := range p.Table(results, []string{"served"}) {
		if row.Case == "one" && row.Variant == "b" {
			// Seeds 1 and 2 are 0.1 up, 4 is 0.34 down; 3 has no pair.
			if row.Runs != 4 || row.Pairs != 3 || math.Abs(row.Diff-(0.1+0.1-0.34)/3) > 1e-9 || row.Low != 0.5 {
				t.Errorf("%+v", row)
			}
		}
	}
	if _, err := p.Run(t.Context(), []string{"three"}, runner, func(RunResult) {}); err == nil {
		t.Error("a case that is not there is played")
	}
	failing := errors.New("no sockets")
	if _, err := p.Run(t.Context(), nil, func(context.Context, *scenario.Scenario) (*report.Figures, error) { return nil, failing }, func(RunResult) {}); !errors.Is(err, failing) {
		t.Errorf("a play that can't be played: %v", err)
	}
}

// Of zones only those that a fault has struck can be accused rightly, or come back.
func TestZoneFigures(t *testing.T) {
	back := 2.5
	f := &report.Figures{Zones: []report.ZoneFigures{{Zone: "a", LeftBy: 3}, {Zone: "b", LeftBy: 20, Faulted: true, Recovery: &back}}}
	if v := Figures["zone_back"](f); v != back {
		t.Errorf("back after %v", v)
	}
	if v := Figures["accused"](f); v != 3 {
		t.Errorf("%v accuse a zone that is well", v)
	}
	f.Zones[1].Recovery = nil
	if v := Figures["zone_back"](f); !math.IsInf(v, 1) {
		t.Errorf("a zone that never came back is back after %v", v)
	}
}

// The campaigns that come with the program can be played.
func TestCampaigns(t *testing.T) {
	for _, name := range []string{"zones", "servers"} {
		text, err := scenarios.Campaign(name)
		if err == nil {
			_, err = Read(name, text, scenarios.Get)
		}
		if err != nil {
			t.Error(err)
		}
	}
}
