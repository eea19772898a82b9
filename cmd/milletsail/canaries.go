package main

import (
	"github.com/spf13/cobra"

	"milletsail/internal/relay"
)

// canariesCommand returns the command that shows the canary analysis of new endpoints, which each relay carries out by itself. On
// the command line its name is "servers", which operators' scripts use.
func canariesCommand() *cobra.Command {
	query := adminQuery[relay.CanaryStatus]{
		line:   "servers",
		header: "relay\tendpoint\tdestination\tstage\tshare\tstage s\tsuspended s\tsuspensions\tregression score\t",
		rows:   canaryRows,
	}
	canaries := &cobra.Command{Use: "servers ADDRESS...", Short: "Show the canary analysis of endpoints that are new on the list",
		Long: "Show the canary analysis of endpoints that are new on the list, as each relay's admin endpoint reports it (the address\n" +
			"`admin` of its configuration). The analysis has to be enabled: `newcomers` in the configuration, or $NODE_NEWCOMERS=on.\n" +
			"The exit status is 1 if a relay does not answer.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, addresses []string) error { return query.run(command, addresses) }}
	canaries.Flags().BoolVar(&query.raw, "json", false, "print a line of JSON for each relay")
	return canaries
}

func canaryRows(out *table, status relay.CanaryStatus) {
	for _, canary := range status.Endpoints {
		remark := ""
		if !canary.HasBaseline {
			remark = "no baseline: no older endpoint serves"
		}
		out.printf("%d\t%s\t%d\t%d\t%.0f%%\t%.1f\t%.1f\t%d\t%.2f\t%s\n", status.Self, canary.Endpoint, canary.Destination, canary.Stage+1,
			100*canary.Share, canary.StageSeconds, canary.SuspendedSeconds, canary.Suspensions, canary.RegressionScore, remark)
	}
}
