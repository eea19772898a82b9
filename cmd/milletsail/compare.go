package main

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"milletsail/internal/lab/compare"
	"milletsail/internal/lab/report"
)

const (
	// defaultPairs is the default number of seeds to compare.
	defaultPairs = 5
	// minPairs is the minimum number of pairs for a confidence interval.
	minPairs = 2
)

// comparison holds the flags of lab compare.
type comparison struct {
	relayA, relayB string
	scenarioB      string
	seeds          int
}

func compareCommand() *cobra.Command {
	var flags comparison
	command := &cobra.Command{Use: "compare SCENARIO", Short: "Compare two relays, or two scenarios, on the same seeds",
		Long: "Run a scenario with two relays (--a, --b), or two scenarios (--scenario-b) with one relay, alternately on the same\n" +
			"seeds, and print the paired differences, b minus a, with confidence intervals of 95%.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error { return flags.run(command, args[0]) }}
	command.Flags().StringVar(&flags.relayA, "a", "", "the first relay's `binary` (default as for lab run)")
	command.Flags().StringVar(&flags.relayB, "b", "", "the second relay's `binary`")
	command.Flags().StringVar(&flags.scenarioB, "scenario-b", "", "the `scenario` that b runs (default the same)")
	command.Flags().IntVar(&flags.seeds, "seeds", defaultPairs, "number of seeds, from 1 on")
	return command
}

func (f *comparison) run(command *cobra.Command, scenarioA string) error {
	if f.relayB == "" && f.scenarioB == "" {
		return errors.New("nothing to compare: set --b or --scenario-b")
	}
	if f.seeds < minPairs {
		return fmt.Errorf("--seeds: got %d, want at least %d for a confidence interval", f.seeds, minPairs)
	}
	scenarioB := f.scenarioB
	if scenarioB == "" {
		scenarioB = scenarioA
	}
	relayA, err := findRelay(command.Context(), f.relayA)
	if err != nil {
		return err
	}
	defer relayA.remove()
	relayB := relayA
	if f.relayB != "" {
		if relayB, err = findRelay(command.Context(), f.relayB); err != nil {
			return err
		}
		defer relayB.remove()
	}
	sides := [2]compare.Side{
		comparedSide(command.Context(), "a", scenarioA, relayA.path),
		comparedSide(command.Context(), "b", scenarioB, relayB.path),
	}
	result, err := compare.Pairs(sides, f.seeds, func(seed uint64, side int, metrics *report.Figures) {
		command.PrintErrf("seed %d, %s: served %.1f%%, %s\n", seed, sides[side].Name, 100*metrics.Served, metrics.Verdict.String())
	})
	if err != nil {
		return err
	}
	return showComparison(command, result)
}

// comparedSide returns one side of a comparison: a function that runs a scenario with a relay on a given seed.
func comparedSide(ctx context.Context, label, scenarioName, relay string) compare.Side {
	return compare.Side{Name: label + ": " + filepath.Base(relay), Play: func(seed uint64) (*report.Figures, error) {
		scenario, err := findScenario(scenarioName)
		if err != nil {
			return nil, err
		}
		scenario.Seed = seed
		return measure(ctx, scenario, relay)
	}}
}

// showComparison prints the paired differences and returns the exit status as an error.
func showComparison(command *cobra.Command, result *compare.Result) error {
	rows := newTable(command.OutOrStdout(), tabwriter.AlignRight)
	rows.printf("figure\ta\tb\tb - a\t95%% from\tto\t\n")
	for _, row := range result.Rows {
		rows.printf("%s\t%.4g\t%.4g\t%+.4g\t%+.4g\t%+.4g\t\n", row.Name, row.A, row.B, row.Diff, row.Low, row.High)
	}
	if err := rows.flush(); err != nil {
		return err
	}
	command.Printf("%d pairs; %d excluded because the lab was late; broken rules: a %d, b %d\n", result.Pairs, result.Void, result.Broken[0],
		result.Broken[1])
	switch {
	case result.Broken[0]+result.Broken[1] > 0:
		return errProblemFound
	case result.Pairs < minPairs:
		return errInvalidRun
	}
	return nil
}
