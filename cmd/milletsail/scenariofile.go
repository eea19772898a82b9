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

// readFileOr returns the text of a file or, if there is no such file, what embedded returns for the name.
func readFileOr(name string, embedded func(string) ([]byte, error)) ([]byte, error) {
	if isFile(name) {
		return os.ReadFile(name)
	}
	return embedded(name)
}

// findScenario returns the scenario in a file or, if there is no such file, the embedded scenario of that name.
func findScenario(name string) (*scenario.Scenario, error) {
	if isFile(name) {
		return scenario.LoadFile(name)
	}
	text, err := scenarios.Get(name)
	if err != nil {
		return nil, fmt.Errorf("there is no file or scenario %s; the scenarios that come with the program are %s", name, strings.Join(scenarios.Names(), ", "))
	}
	return scenario.Parse(name+".toml", text)
}

// findCampaign returns the campaign in a file or, if there is no such file, the embedded campaign of that name. The scenario that
// the campaign is based on is found in the same way.
func findCampaign(name string) (*campaign.Plan, error) {
	text, err := readFileOr(name, scenarios.Campaign)
	if err != nil {
		return nil, fmt.Errorf("there is no file or campaign %s", name)
	}
	return campaign.Read(name, text, func(base string) ([]byte, error) { return readFileOr(base, scenarios.Get) })
}

// measure runs a scenario with the relay program at a path and returns the metrics of the run.
func measure(ctx context.Context, s *scenario.Scenario, relay string) (*report.Figures, error) {
	result, err := lab.Play(ctx, s, lab.Options{Binary: relay})
	if err != nil {
		return nil, err
	}
	return report.Of(result.Events, result.Verdict), nil
}
