package main

import (
	"fmt"
	"path/filepath"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"milletsail/internal/lab/compare"
	"milletsail/internal/lab/report"
)

func compareCommand() *cobra.Command {
	var a, b, scenarioB string
	var seeds int
	c := &cobra.Command{Use: "compare SCENARIO", Short: "Play two relays, or two scenarios, on the same seeds in turn",
		Long: "Play two relays (--a, --b) on a scenario, or one relay on two scenarios (--scenario-b), on the same seeds in turn,\n" +
			"and print the paired differences, b less a, with their confidence interval of 95%.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if b == "" && scenarioB == "" {
				return fmt.Errorf("nothing to compare with: give --b or --scenario-b")
			}
			if seeds < 2 {
				return fmt.Errorf("--seeds: %d is under 2: no interval could be given", seeds)
			}
			if scenarioB == "" {
				scenarioB = args[0]
			}
			pathA, done, err := binary(c.Context(), a)
			defer done()
			if err != nil {
				return err
			}
			pathB := pathA
			if b != "" {
				var doneB func()
				pathB, doneB, err = binary(c.Context(), b)
				defer doneB()
				if err != nil {
					return err
				}
			}
			sides := [2]compare.Side{{Name: "a: " + filepath.Base(pathA)}, {Name: "b: " + filepath.Base(pathB)}}
			for i, of := range []struct{ scenario, relay string }{{args[0], pathA}, {scenarioB, pathB}} {
				sides[i].Play = func(seed uint64) (*report.Figures, error) {
					s, err := find(of.scenario)
					if err != nil {
						return nil, err
					}
					s.Seed = seed
					return figuresOf(c.Context(), s, of.relay)
				}
			}
			result, err := compare.Pairs(sides, seeds, func(seed uint64, side int, f *report.Figures) {
				fmt.Fprintf(c.ErrOrStderr(), "seed %d, %s: served %.1f%%, %s\n", seed, sides[side].Name, 100*f.Served, f.Verdict.String())
			})
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintf(w, "figure\ta\tb\tb - a\t95%% from\tto\t\n")
			for _, r := range result.Rows {
				fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%+.4g\t%+.4g\t%+.4g\t\n", r.Name, r.A, r.B, r.Diff, r.Low, r.High)
			}
			if err := w.Flush(); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d pairs; %d left out since the lab was late; broken rules: a %d, b %d\n", result.Pairs, result.Void, result.Broken[0], result.Broken[1])
			switch {
			case result.Broken[0]+result.Broken[1] > 0:
				return exit(broken)
			case result.Pairs < 2:
				return exit(void)
			}
			return nil
		}}
	c.Flags().StringVar(&a, "a", "", "the first relay's `binary` (default as for run)")
	c.Flags().StringVar(&b, "b", "", "the second relay's `binary`")
	c.Flags().StringVar(&scenarioB, "scenario-b", "", "a second `scenario`, played by b")
	c.Flags().IntVar(&seeds, "seeds", 5, "how many seeds, from 1 on")
	return c
}
