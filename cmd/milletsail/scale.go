package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"milletsail/internal/scale"
	"milletsail/internal/scale/hollow"
	"milletsail/internal/scale/report"
	"milletsail/scenarios"
)

// The labels of the versions that a scale run measures.
const (
	firstLabel  = "a"
	secondLabel = "b"
)

func scaleCommand() *cobra.Command {
	c := &cobra.Command{Use: "scale", Short: "Measure how the cost of control grows with the size of the platform"}
	c.AddCommand(scaleRunCommand(), scaleReportCommand(), scaleListCommand(), scaleHollowCommand())
	return c
}

// scaleRun is the flags of a scale run.
type scaleRun struct {
	relay, relayB  string
	labelA, labelB string
	out            string
	seed           uint64
	quiet          bool
	points         []int
}

func scaleRunCommand() *cobra.Command {
	var r scaleRun
	c := &cobra.Command{Use: "run PLAN", Short: "Run a plan (a file, or the name of one that comes with the program)", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return r.run(c, args[0]) }}
	c.Flags().StringVar(&r.relay, "relay", "", "the relay's `binary` (default relay beside this program, else built from the source here)")
	c.Flags().StringVar(&r.relayB, "relay-b", "", "`binary` of another version, measured in turn with the first at each point")
	c.Flags().StringVar(&r.labelA, "label", firstLabel, "`name` of the version in the report")
	c.Flags().StringVar(&r.labelB, "label-b", secondLabel, "`name` of the other version in the report")
	c.Flags().StringVar(&r.out, "out", "scale-runs", "`folder` for the result")
	c.Flags().Uint64Var(&r.seed, "seed", 0, "seed in place of the plan's; 0 for that one")
	c.Flags().IntSliceVar(&r.points, "points", nil, "`points` in place of the plan's")
	c.Flags().BoolVar(&r.quiet, "quiet", false, "no progress")
	return c
}

// findPlan gives a plan: a file, else one that comes with the program.
func findPlan(name string) (*scale.Plan, error) {
	text, err := textOf(name, scenarios.Scale)
	if err != nil {
		return nil, fmt.Errorf("there is no file %s, and no plan of that name: they are %s", name, strings.Join(scenarios.ScaleNames(), ", "))
	}
	return scale.ParsePlan(name, text)
}

func (r *scaleRun) run(c *cobra.Command, name string) error {
	plan, err := findPlan(name)
	if err != nil {
		return err
	}
	if r.seed != 0 {
		plan.Seed = r.seed
	}
	if len(r.points) > 0 {
		if err := plan.SetPoints(r.points); err != nil {
			return fmt.Errorf("--points: %w", err)
		}
	}
	path, done, err := binary(c.Context(), r.relay)
	defer done()
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	o := scale.Options{Versions: []scale.Version{{Label: r.labelA, Binary: path}}, Out: r.out, Program: programRevision(), Self: self}
	if r.relayB != "" {
		pathB, err := namedBinary("--relay-b", r.relayB)
		if err != nil {
			return err
		}
		o.Versions = append(o.Versions, scale.Version{Label: r.labelB, Binary: pathB})
	}
	if !r.quiet {
		o.Progress = func(line string) { fmt.Fprintln(c.ErrOrStderr(), line) }
	}
	run, file, err := plan.Run(c.Context(), o)
	if run != nil {
		if err := report.Table(c.OutOrStdout(), run); err != nil {
			return err
		}
	}
	if file != "" {
		fmt.Fprintf(c.OutOrStdout(), "result in %s\n", file)
	}
	return scaleStatus(run, err)
}

// scaleStatus is the exit status of a run.
func scaleStatus(run *scale.Run, err error) error {
	switch {
	case errors.Is(err, context.Canceled):
		fmt.Fprintln(os.Stderr, "milletsail: broken off; the points that are done are kept")
		return exit(void)
	case err != nil:
		return err
	case run.Invalid != "":
		return exit(void)
	}
	return nil
}

func scaleReportCommand() *cobra.Command {
	return &cobra.Command{Use: "report DIR", Short: "Write the tables of a folder's runs, and their plots into it", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return writeScaleReport(c.OutOrStdout(), args[0]) }}
}

func writeScaleReport(out io.Writer, dir string) error {
	runs, err := scale.ReadRuns(dir)
	if err != nil {
		return err
	}
	plots := 0
	for _, run := range runs {
		if err := report.Table(out, run); err != nil {
			return err
		}
		count, err := report.Plots(dir, run)
		if err != nil {
			return err
		}
		plots += count
	}
	_, err = fmt.Fprintf(out, "%d plots in %s\n", plots, dir)
	return err
}

func scaleListCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the plans that come with the program", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, name := range scenarios.ScaleNames() {
				plan, err := findPlan(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%-14s %s\n", name, plan.Title)
			}
			return nil
		}}
}

// scaleHollowCommand is what a scale run starts for its hollow relays.
func scaleHollowCommand() *cobra.Command {
	return &cobra.Command{Use: scale.HollowCommand, Short: "Run hollow relays, as a scale run has it", Hidden: true, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return hollow.Run(c.Context(), c.InOrStdin(), c.OutOrStdout())
		}}
}
