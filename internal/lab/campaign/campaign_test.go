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

// Values of the case and the variant must override the scenario's, and all others must stay.
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
		t.Errorf("scenario of case one, variant b, seed 9 does not combine base and overrides: %+v", s)
	}
	if other, err := p.Scenario("one", "a", 9); err != nil || other.Fleet.Relays != base.Fleet.Relays {
		t.Errorf("scenario of variant a does not keep the base's number of relays: %v, error %v", other, err)
	}
}

// A plan with a value that can't be run or checked must be rejected by Read, before any run starts.
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
			t.Errorf("plan with %s: got error %v, want one that begins with the file name", to, err)
		}
	}
}

// Each run must count once, invalid runs must be repeated and left out of the figures, expectations must apply to each run, and
// differences must be paired by seed.
func TestRun(t *testing.T) {
	p := read(t, sampleCampaign)
	var mu sync.Mutex
	attempts := map[string]int{}
	runner := func(_ context.Context, s *scenario.Scenario) (*report.Figures, error) {
		mu.Lock()
		defer mu.Unlock()
		side := "a"
		if s.Fleet.Relays == 7 {
			side = "b"
		}
		key := side + string(rune('0'+s.Seed))
		attempts[key]++
		f := &report.Figures{Served: 0.8 + 0.01*float64(s.Seed)}
		if side == "b" {
			f.Served += 0.1
		}
		switch {
		case side == "b" && s.Seed == 2 && attempts[key] < 3:
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
		t.Fatalf("got %d results and error %v, want 9 and none", len(results), err)
	}
	invalid, unmet, violations := 0, 0, 0
	for _, result := range results {
		if result.InvalidReason != "" {
			invalid++
		}
		unmet += len(result.UnmetExpectations)
		violations += len(result.Violations)
	}
	if invalid != 1 || unmet != 2 || violations != 1 || attempts["b2"] != 3 {
		t.Errorf("got %d invalid, %d unmet expectations, %d violations, %d attempts at a run that is invalid twice; want 1, 2, 1, 3", invalid, unmet, violations, attempts["b2"])
	}
	for _, row := range p.Table(results, []string{"served"}) {
		if row.Case == "one" && row.Variant == "b" {
			// The difference is +0.1 for seeds 1 and 2 and −0.34 for seed 4; seed 3 has no pair.
			if row.Runs != 4 || row.Pairs != 3 || math.Abs(row.Diff-(0.1+0.1-0.34)/3) > 1e-9 || row.Low != 0.5 {
				t.Errorf("row of variant b: got %+v, want 4 runs, 3 pairs and the mean of their differences", row)
			}
		}
	}
	if _, err := p.Run(t.Context(), []string{"three"}, runner, func(RunResult) {}); err == nil {
		t.Error("running a case that does not exist returned no error")
	}
	failing := errors.New("no sockets")
	if _, err := p.Run(t.Context(), nil, func(context.Context, *scenario.Scenario) (*report.Figures, error) { return nil, failing }, func(RunResult) {}); !errors.Is(err, failing) {
		t.Errorf("got error %v, want the error of the failed run", err)
	}
}

// Only zones without a fault count as accused, and only zones with a fault can recover.
func TestZoneFigures(t *testing.T) {
	back := 2.5
	f := &report.Figures{Zones: []report.ZoneFigures{{Zone: "a", LeftBy: 3}, {Zone: "b", LeftBy: 20, Faulted: true, Recovery: &back}}}
	if v := Figures["zone_back"](f); v != back {
		t.Errorf("zone_back: got %v, want the recovery time of zone b", v)
	}
	if v := Figures["accused"](f); v != 3 {
		t.Errorf("accused: got %v, want the 3 relays that evacuated the zone without a fault", v)
	}
	f.Zones[1].Recovery = nil
	if v := Figures["zone_back"](f); !math.IsInf(v, 1) {
		t.Errorf("zone_back of a zone that never recovered: got %v, want +Inf", v)
	}
}

// Every campaign that ships with the program must be valid.
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
