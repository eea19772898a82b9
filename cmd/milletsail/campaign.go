package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"milletsail/internal/lab/campaign"
	"milletsail/internal/lab/report"
	"milletsail/internal/lab/scenario"
	"milletsail/scenarios"
)

func campaignCommand() *cobra.Command {
	var relay, out string
	var cases, figures []string
	var atOnce, seeds int
	c := &cobra.Command{Use: "campaign CAMPAIGN", Short: "Play a campaign: cases of one scenario, over seeds and variants",
		Long: "Play a campaign (a file, or the name of one that comes with the program): cases made from one scenario, each over\n" +
			"several seeds and variants, and hold the figures against what each case expects.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			p, err := findCampaign(args[0])
			if err != nil {
				return err
			}
			if atOnce > 0 {
				p.AtOnce = atOnce
			}
			if seeds > 0 {
				p.Seeds = seeds
				for i := range p.Cases {
					p.Cases[i].Seeds = 0
				}
			}
			for _, name := range figures {
				if campaign.Figures[name] == nil {
					return fmt.Errorf("--figures: there is none called %q", name)
				}
			}
			path, done, err := binary(c.Context(), relay)
			defer done()
			if err != nil {
				return err
			}
			lines := io.Discard
			if out != "" {
				file, err := os.Create(out)
				if err != nil {
					return err
				}
				defer file.Close()
				lines = file
			}
			player := func(ctx context.Context, s *scenario.Scenario) (*report.Figures, error) {
				return figuresOf(ctx, s, path)
			}
			plays, err := p.Run(c.Context(), cases, player, func(one campaign.Play) {
				_ = json.NewEncoder(lines).Encode(one) // the sum below does not need it
				fmt.Fprintf(c.ErrOrStderr(), "%s, %s, seed %d: served %.1f%%%s\n", one.Case, one.Variant, one.Seed, 100*one.Figures["served"], said(one))
			})
			if err != nil {
				return err
			}
			return sum(c.OutOrStdout(), p, plays, figures)
		}}
	c.Flags().StringVar(&relay, "relay", "", "the relay's `binary` (default as for run)")
	c.Flags().StringVar(&out, "out", "", "`file` for the plays, a line of JSON each")
	c.Flags().StringSliceVar(&cases, "case", nil, "`names` of cases (default all)")
	c.PersistentFlags().StringSliceVar(&figures, "figures", []string{"served", "late", "local_part", "evacuations", "returns", "fell", "carried", "zone_back", "accused"}, "`names` of figures for the table")
	c.Flags().IntVar(&atOnce, "at-once", 0, "plays side by side (default as the campaign has it)")
	c.Flags().IntVar(&seeds, "seeds", 0, "seeds of each case, from 1 on (default as the campaign has it)")
	c.AddCommand(sumCommand(&figures))
	return c
}

// findCampaign reads a campaign: a file, else one that comes with the program; its scenario is found in the same way.
func findCampaign(name string) (*campaign.Plan, error) {
	text, err := textOf(name, scenarios.Campaign)
	if err != nil {
		return nil, fmt.Errorf("there is no file %s, and no campaign of that name", name)
	}
	return campaign.Read(name, text, func(base string) ([]byte, error) { return textOf(base, scenarios.Get) })
}

// sumCommand sums plays up that were written before, of one run or of several.
func sumCommand(figures *[]string) *cobra.Command {
	return &cobra.Command{Use: "sum CAMPAIGN FILE...", Short: "Sum up plays that were written with --out", Args: cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			p, err := findCampaign(args[0])
			if err != nil {
				return err
			}
			var plays []campaign.Play
			for _, path := range args[1:] {
				file, err := os.Open(path)
				if err != nil {
					return err
				}
				defer file.Close()
				for in := json.NewDecoder(bufio.NewReader(file)); ; {
					var one campaign.Play
					if err := in.Decode(&one); err == io.EOF {
						break
					} else if err != nil {
						return fmt.Errorf("%s: %w", path, err)
					}
					plays = append(plays, one)
				}
			}
			return sum(c.OutOrStdout(), p, plays, *figures)
		}}
}

// said is what a play has to say beside its figures.
func said(one campaign.Play) string {
	if one.Void != "" {
		return "; void: " + one.Void
	}
	parts := slices.Concat(one.Broken, one.Missed)
	if len(parts) == 0 {
		return ""
	}
	if len(parts) > mostShown {
		parts = append(parts[:mostShown], fmt.Sprintf("and %d more", len(parts)-mostShown))
	}
	return "; " + strings.Join(parts, "; ")
}

// sum writes the table of a campaign and what did not hold, and gives that as the exit status.
func sum(to io.Writer, p *campaign.Plan, plays []campaign.Play, figures []string) error {
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "case\tfigure\tvariant\tplays\tmean\tfrom\tto\tpaired difference, 95%")
	for _, r := range p.Table(plays, figures) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.4g\t%.4g\t%.4g", r.Case, r.Figure, r.Variant, r.Plays, r.Mean, r.Low, r.High)
		if r.Pairs > 0 {
			fmt.Fprintf(w, "\t%+.3g (%+.3g to %+.3g)", r.Diff, r.DiffLow, r.DiffUpp)
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	var voids, brokens, missed int
	for _, one := range plays {
		switch {
		case one.Void != "":
			voids++
		case len(one.Broken) > 0:
			brokens++
		case len(one.Missed) > 0:
			missed++
		}
		if text := said(one); text != "" {
			fmt.Fprintf(to, "%s, %s, seed %d%s\n", one.Case, one.Variant, one.Seed, text)
		}
	}
	fmt.Fprintf(to, "%d plays: %d broke a rule, %d stayed void, %d missed what was expected\n", len(plays), brokens, voids, missed)
	switch {
	case brokens+missed > 0:
		return exit(broken)
	case voids > 0:
		return exit(void)
	}
	return nil
}
