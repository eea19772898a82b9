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
	command := &cobra.Command{Use: "scale", Short: "Measure how the cost of a relay grows with the size of the platform"}
	command.AddCommand(scaleRunCommand(), scaleReportCommand(), scaleListCommand(), scaleHollowCommand())
	return command
}

// scaleRun holds the flags of scale run.
type scaleRun struct {
	relay, relayB  string
	labelA, labelB string
	out            string
	seed           uint64
	quiet          bool
	points         []int
}

func scaleRunCommand() *cobra.Command {
	var run scaleRun
	command := &cobra.Command{Use: "run PLAN", Short: "Run a plan (a file, or the name of one that comes with the program)",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error { return run.run(command, args[0]) }}
	command.Flags().StringVar(&run.relay, "relay", "", "the relay's `binary` (default: relay next to this program, or else built from the source)")
	command.Flags().StringVar(&run.relayB, "relay-b", "", "`binary` of another version, measured alternately with the first at each point")
	command.Flags().StringVar(&run.labelA, "label", firstLabel, "`name` of the version in the report")
	command.Flags().StringVar(&run.labelB, "label-b", secondLabel, "`name` of the other version in the report")
	command.Flags().StringVar(&run.out, "out", "scale-runs", "`folder` for the results")
	command.Flags().Uint64Var(&run.seed, "seed", 0, "seed that replaces the plan's; 0 keeps it")
	command.Flags().IntSliceVar(&run.points, "points", nil, "`points` that replace the plan's")
	command.Flags().BoolVar(&run.quiet, "quiet", false, "print no progress")
	return command
}

// findPlan returns the plan in a file or, if there is no such file, the embedded plan of that name.
func findPlan(name string) (*scale.Plan, error) {
	text, err := readFileOr(name, scenarios.Scale)
	if err != nil {
		return nil, fmt.Errorf("there is no file or plan %s; the plans that come with the program are %s", name, strings.Join(scenarios.ScaleNames(), ", "))
	}
	return scale.ParsePlan(name, text)
}

func (r *scaleRun) run(command *cobra.Command, name string) error {
	plan, err := r.findPlan(name)
	if err != nil {
		return err
	}
	relay, err := findRelay(command.Context(), r.relay)
	if err != nil {
		return err
	}
	defer relay.remove()
	options, err := r.options(command, relay.path)
	if err != nil {
		return err
	}
	run, file, err := plan.Run(command.Context(), options)
	if run != nil {
		if err := report.Table(command.OutOrStdout(), run); err != nil {
			return err
		}
	}
	if file != "" {
		command.Printf("result in %s\n", file)
	}
	return scaleStatus(command, run, err)
}

// findPlan returns a plan with its values replaced by those of flags that are set.
func (r *scaleRun) findPlan(name string) (*scale.Plan, error) {
	plan, err := findPlan(name)
	if err != nil {
		return nil, err
	}
	if r.seed != 0 {
		plan.Seed = r.seed
	}
	if len(r.points) == 0 {
		return plan, nil
	}
	if err := plan.SetPoints(r.points); err != nil {
		return nil, fmt.Errorf("--points: %w", err)
	}
	return plan, nil
}

func (r *scaleRun) options(command *cobra.Command, relay string) (scale.Options, error) {
	self, err := os.Executable()
	if err != nil {
		return scale.Options{}, err
	}
	options := scale.Options{
		Versions: []scale.Version{{Label: r.labelA, Binary: relay}},
		Out:      r.out,
		Program:  programRevision(),
		Self:     self,
	}
	if r.relayB != "" {
		other, err := namedBinary("--relay-b", r.relayB)
		if err != nil {
			return scale.Options{}, err
		}
		options.Versions = append(options.Versions, scale.Version{Label: r.labelB, Binary: other})
	}
	if !r.quiet {
		options.Progress = func(line string) { command.PrintErrln(line) }
	}
	return options, nil
}

// scaleStatus returns the exit status of a scale run as an error.
func scaleStatus(command *cobra.Command, run *scale.Run, err error) error {
	switch {
	case errors.Is(err, context.Canceled):
		command.PrintErrln("milletsail: interrupted; the results of completed points are kept")
		return errInvalidRun
	case err != nil:
		return err
	case run.Invalid != "":
		return errInvalidRun
	}
	return nil
}

func scaleReportCommand() *cobra.Command {
	return &cobra.Command{Use: "report DIR", Short: "Print the tables of the runs in a directory, and write their plots into it", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return writeScaleReport(command.OutOrStdout(), args[0])
		}}
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
		RunE: func(command *cobra.Command, _ []string) error {
			for _, name := range scenarios.ScaleNames() {
				plan, err := findPlan(name)
				if err != nil {
					return err
				}
				command.Printf("%-14s %s\n", name, plan.Title)
			}
			return nil
		}}
}

// scaleHollowCommand returns the hidden command that a scale run starts as a process for its simulated (hollow) relays.
func scaleHollowCommand() *cobra.Command {
	return &cobra.Command{Use: scale.HollowCommand, Short: "Run simulated relays for a scale run", Hidden: true, Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return hollow.Run(command.Context(), command.InOrStdin(), command.OutOrStdout())
		}}
}
