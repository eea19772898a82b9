package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"milletsail/internal/lab"
	"milletsail/internal/lab/campaign"
	"milletsail/internal/lab/report"
	"milletsail/internal/lab/scenario"
	"milletsail/scenarios"
)

// isFile reports whether a name is that of a regular file.
func isFile(name string) bool {
	info, err := os.Stat(name)
	return err == nil && info.Mode().IsRegular()
}

// readFileOr returns the text of a file, or what embedded has under the name where there is no such file.
func readFileOr(name string, embedded func(string) ([]byte, error)) ([]byte, error) {
	if isFile(name) {
		return os.ReadFile(name)
	}
	return embedded(name)
}

// findScenario returns a scenario: a file, else one that comes with the program.
func findScenario(name string) (*scenario.Scenario, error) {
	if isFile(name) {
		return scenario.LoadFile(name)
	}
	text, err := scenarios.Get(name)
	if err != nil {
		return nil, fmt.Errorf("there is no file %s, and no scenario of that name: they are %s", name, strings.Join(scenarios.Names(), ", "))
	}
	return scenario.Parse(name+".toml", text)
}

// findCampaign returns a campaign: a file, else one that comes with the program; its scenario is found in the same way.
func findCampaign(name string) (*campaign.Plan, error) {
	text, err := readFileOr(name, scenarios.Campaign)
	if err != nil {
		return nil, fmt.Errorf("there is no file %s, and no campaign of that name", name)
	}
	return campaign.Read(name, text, func(base string) ([]byte, error) { return readFileOr(base, scenarios.Get) })
}

// measure runs a scenario with a relay, and returns the metrics.
func measure(ctx context.Context, s *scenario.Scenario, relay string) (*report.Figures, error) {
	result, err := lab.Run(ctx, s, lab.Options{Binary: relay})
	if err != nil {
		return nil, err
	}
	return report.Of(result.Events, result.Verdict), nil
}
