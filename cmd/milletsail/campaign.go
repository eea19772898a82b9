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

// defaultMetrics are the figures in the table of a campaign unless --figures names others.
var defaultMetrics = []string{"served", "late", "local_part", "evacuations", "returns", "fell", "carried", "zone_back", "accused"}

// campaignRun holds the flags of the campaign command.
type campaignRun struct {
	relay    string
	out      string
	cases    []string
	metrics  []string
	parallel int
	seeds    int
}

func campaignCommand() *cobra.Command {
	var run campaignRun
	command := &cobra.Command{Use: "campaign CAMPAIGN", Short: "Run a campaign: cases of one scenario, with several seeds and variants",
		Long: "Run a campaign (a file, or the name of one that comes with the program): cases that are derived from one scenario,\n" +
			"each with several seeds and variants, and compare the figures to what each case expects.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error { return run.run(command, args[0]) }}
	command.Flags().StringVar(&run.relay, "relay", "", "the relay's `binary` (default as for lab run)")
	command.Flags().StringVar(&run.out, "out", "", "`file` for the results, a line of JSON for each run")
	command.Flags().StringSliceVar(&run.cases, "case", nil, "`names` of the cases to run (default all)")
	command.PersistentFlags().StringSliceVar(&run.metrics, "figures", defaultMetrics, "`names` of the figures in the table")
	command.Flags().IntVar(&run.parallel, "at-once", 0, "number of concurrent runs (default at_once of the campaign)")
	command.Flags().IntVar(&run.seeds, "seeds", 0, "number of seeds of each case, from 1 on (default seeds of the campaign)")
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
			return fmt.Errorf("--figures: unknown figure %q", metric)
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

// adjust replaces values of the campaign by those of flags that are set.
func (r *campaignRun) adjust(plan *campaign.Plan) {
	if r.parallel > 0 {
		plan.AtOnce = r.parallel
	}
	if r.seeds == 0 {
		return
	}
	plan.Seeds = r.seeds
	for i := range plan.Cases {
		plan.Cases[i].Seeds = 0
	}
}

// runCases runs the cases and returns the results. Each result is also written to the file of --out, if there is one, as soon as it
// is known.
func (r *campaignRun) runCases(command *cobra.Command, plan *campaign.Plan, relay string) (results []campaign.Play, err error) {
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
	return plan.Run(command.Context(), r.cases, runOne, func(result campaign.Play) {
		_ = encoder.Encode(result) // the table is printed even if the file can't be written
		command.PrintErrf("%s, %s, seed %d: served %.1f%%%s\n", result.Case, result.Variant, result.Seed, 100*result.Figures["served"],
			remarks(result))
	})
}

// sumCommand returns the command that summarizes the result files of one or several runs of a campaign.
func (r *campaignRun) sumCommand() *cobra.Command {
	return &cobra.Command{Use: "sum CAMPAIGN FILE...", Short: "Summarize results that were written with --out", Args: cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			plan, err := findCampaign(args[0])
			if err != nil {
				return err
			}
			var results []campaign.Play
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

// readResults reads a result file of a campaign, as written with --out.
func readResults(path string) (results []campaign.Play, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file is only read
	decoder := json.NewDecoder(file)
	for {
		var result campaign.Play
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

// remarks describes why a result is invalid, or its broken rules and missed expectations, as the end of a line. It returns "" for a
// result without any.
func remarks(result campaign.Play) string {
	if result.Void != "" {
		return "; invalid: " + result.Void
	}
	parts := slices.Concat(result.Broken, result.Missed)
	if len(parts) == 0 {
		return ""
	}
	if len(parts) > maxShownViolations {
		parts = append(parts[:maxShownViolations], fmt.Sprintf("and %d more", len(parts)-maxShownViolations))
	}
	return "; " + strings.Join(parts, "; ")
}

// campaignCounts counts the results of a campaign that are invalid, break a rule, or miss an expectation.
type campaignCounts struct{ invalid, broken, missed int }

func (c *campaignCounts) add(result campaign.Play) {
	switch {
	case result.Void != "":
		c.invalid++
	case len(result.Broken) > 0:
		c.broken++
	case len(result.Missed) > 0:
		c.missed++
	}
}

// showCampaign prints the table of a campaign, the remarks on its results and their counts, and returns the exit status as an error.
func showCampaign(command *cobra.Command, plan *campaign.Plan, results []campaign.Play, metrics []string) error {
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
	command.Printf("%d runs: %d broke a rule, %d remained invalid, %d missed an expectation\n", len(results), counts.broken, counts.invalid,
		counts.missed)
	switch {
	case counts.broken+counts.missed > 0:
		return errProblemFound
	case counts.invalid > 0:
		return errInvalidRun
	}
	return nil
}

func showTable(command *cobra.Command, plan *campaign.Plan, results []campaign.Play, metrics []string) error {
	rows := newTable(command.OutOrStdout(), 0)
	rows.printf("case\tfigure\tvariant\truns\tmean\tfrom\tto\tpaired difference, 95%%\n")
	for _, row := range plan.Table(results, metrics) {
		rows.printf("%s\t%s\t%s\t%d\t%.4g\t%.4g\t%.4g", row.Case, row.Figure, row.Variant, row.Plays, row.Mean, row.Low, row.High)
		if row.Pairs > 0 {
			rows.printf("\t%+.3g (%+.3g to %+.3g)", row.Diff, row.DiffLow, row.DiffUpp)
		}
		rows.printf("\n")
	}
	return rows.flush()
}
