package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"milletsail/internal/lab/campaign"
	"milletsail/internal/lab/report"
	"milletsail/internal/lab/scenario"
)

// defaultMetrics are the columns of a campaign's table where none are named.
var defaultMetrics = []string{"served", "late", "local_part", "evacuations", "returns", "fell", "carried", "zone_back", "accused"}

// campaignRun is the flags of a campaign.
type campaignRun struct {
	relay   string
	out     string
	cases   []string
	metrics []string
	atOnce  int
	seeds   int
}

func campaignCommand() *cobra.Command {
	var run campaignRun
	command := &cobra.Command{Use: "campaign CAMPAIGN", Short: "Play a campaign: cases of one scenario, over seeds and variants",
		Long: "Play a campaign (a file, or the name of one that comes with the program): cases made from one scenario, each over\n" +
			"several seeds and variants, and hold the figures against what each case expects.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error { return run.run(command, args[0]) }}
	command.Flags().StringVar(&run.relay, "relay", "", "the relay's `binary` (default as for run)")
	command.Flags().StringVar(&run.out, "out", "", "`file` for the plays, a line of JSON each")
	command.Flags().StringSliceVar(&run.cases, "case", nil, "`names` of cases (default all)")
	command.PersistentFlags().StringSliceVar(&run.metrics, "figures", defaultMetrics, "`names` of figures for the table")
	command.Flags().IntVar(&run.atOnce, "at-once", 0, "plays side by side (default as the campaign has it)")
	command.Flags().IntVar(&run.seeds, "seeds", 0, "seeds of each case, from 1 on (default as the campaign has it)")
	command.AddCommand(run.sumCommand())
	return command
}

func (r *campaignRun) run(command *cobra.Command, name string) error {
	plan, err := findCampaign(name)
	if err != nil {
		return err
	}
	r.adjust(plan)
	for _, metric := range r.metrics {
		if campaign.Figures[metric] == nil {
			return fmt.Errorf("--figures: there is none called %q", metric)
		}
	}
	relay, err := findRelay(command.Context(), r.relay)
	if err != nil {
		return err
	}
	defer relay.remove()
	results, err := r.runCases(command, plan, relay.path)
	if err != nil {
		return err
	}
	return showCampaign(command, plan, results, r.metrics)
}

// adjust puts the flags in the place of what a campaign says itself.
func (r *campaignRun) adjust(plan *campaign.Plan) {
	if r.atOnce > 0 {
		plan.Parallel = r.atOnce
	}
	if r.seeds == 0 {
		return
	}
	plan.Seeds = r.seeds
	for i := range plan.Cases {
		plan.Cases[i].Seeds = 0
	}
}

// runCases runs the cases, and writes each result to the file for them as it comes.
func (r *campaignRun) runCases(command *cobra.Command, plan *campaign.Plan, relay string) (results []campaign.RunResult, err error) {
	written := io.Discard
	if r.out != "" {
		file, err := os.Create(r.out)
		if err != nil {
			return nil, err
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		written = file
	}
	encoder := json.NewEncoder(written)
	runOne := func(ctx context.Context, s *scenario.Scenario) (*report.Figures, error) {
		return measure(ctx, s, relay)
	}
	return plan.Run(command.Context(), r.cases, runOne, func(result campaign.RunResult) {
		_ = encoder.Encode(result) // the table does not need it
		command.PrintErrf("%s, %s, seed %d: served %.1f%%%s\n", result.Case, result.Variant, result.Seed, 100*result.Figures["served"],
			remarks(result))
	})
}

// sumCommand sums up results that were written before, of one run or of several.
func (r *campaignRun) sumCommand() *cobra.Command {
	return &cobra.Command{Use: "sum CAMPAIGN FILE...", Short: "Sum up plays that were written with --out", Args: cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			plan, err := findCampaign(args[0])
			if err != nil {
				return err
			}
			var results []campaign.RunResult
			for _, path := range args[1:] {
				read, err := readResults(path)
				if err != nil {
					return err
				}
				results = append(results, read...)
			}
			return showCampaign(command, plan, results, r.metrics)
		}}
}

// readResults reads a file that a campaign wrote with --out.
func readResults(path string) (results []campaign.RunResult, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // nothing was written to it
	decoder := json.NewDecoder(file)
	for {
		var result campaign.RunResult
		err := decoder.Decode(&result)
		if errors.Is(err, io.EOF) {
			return results, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		results = append(results, result)
	}
}

// remarks is what there is to say of a result beside its metrics.
func remarks(result campaign.RunResult) string {
	if result.InvalidReason != "" {
		return "; void: " + result.InvalidReason
	}
	parts := slices.Concat(result.Violations, result.UnmetExpectations)
	if len(parts) == 0 {
		return ""
	}
	if len(parts) > maxShownViolations {
		parts = append(parts[:maxShownViolations], fmt.Sprintf("and %d more", len(parts)-maxShownViolations))
	}
	return "; " + strings.Join(parts, "; ")
}

// campaignCounts counts the results of a campaign that did not hold.
type campaignCounts struct{ invalid, broken, missed int }

func (c *campaignCounts) add(result campaign.RunResult) {
	switch {
	case result.InvalidReason != "":
		c.invalid++
	case len(result.Violations) > 0:
		c.broken++
	case len(result.UnmetExpectations) > 0:
		c.missed++
	}
}

// showCampaign prints the table of a campaign and what did not hold, and gives that as the exit status.
func showCampaign(command *cobra.Command, plan *campaign.Plan, results []campaign.RunResult, metrics []string) error {
	if err := showTable(command, plan, results, metrics); err != nil {
		return err
	}
	var counts campaignCounts
	for _, result := range results {
		counts.add(result)
		if text := remarks(result); text != "" {
			command.Printf("%s, %s, seed %d%s\n", result.Case, result.Variant, result.Seed, text)
		}
	}
	command.Printf("%d plays: %d broke a rule, %d stayed void, %d missed what was expected\n", len(results), counts.broken, counts.invalid,
		counts.missed)
	switch {
	case counts.broken+counts.missed > 0:
		return errFailed
	case counts.invalid > 0:
		return errInvalid
	}
	return nil
}

func showTable(command *cobra.Command, plan *campaign.Plan, results []campaign.RunResult, metrics []string) error {
	rows := newTable(command.OutOrStdout(), 0)
	rows.printf("case\tfigure\tvariant\tplays\tmean\tfrom\tto\tpaired difference, 95%%\n")
	for _, row := range plan.Table(results, metrics) {
		rows.printf("%s\t%s\t%s\t%d\t%.4g\t%.4g\t%.4g", row.Case, row.Figure, row.Variant, row.Runs, row.Mean, row.Low, row.High)
		if row.Pairs > 0 {
			rows.printf("\t%+.3g (%+.3g to %+.3g)", row.Diff, row.DiffLow, row.DiffHigh)
		}
		rows.printf("\n")
	}
	return rows.flush()
}
