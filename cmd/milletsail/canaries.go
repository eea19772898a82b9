package main

import (
	"github.com/spf13/cobra"

	"milletsail/internal/relay"
)

// canariesCommand shows the canary analysis of new endpoints, which each relay carries out by itself. Its name on the command line
// stays "servers", as operators know it.
func canariesCommand() *cobra.Command {
	query := adminQuery[relay.CanaryStatus]{
		line:   "servers",
		header: "relay\tendpoint\tof\tstage\tshare\tfor s\theld s\tholds\tdoubt\t",
		rows:   canaryRows,
	}
	canaries := &cobra.Command{Use: "servers ADDRESS...", Short: "Say how endpoints that are new on the list prove themselves",
		Long: "Say how endpoints that are new on the list prove themselves, by each relay's admin endpoint (the address `admin`). Relays\n" +
			"have them do so where that is on (`newcomers` in the configuration, or $NODE_NEWCOMERS=on). Exit status 1 where one does not answer.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, addresses []string) error { return query.run(command, addresses) }}
	canaries.Flags().BoolVar(&query.raw, "json", false, "a line of JSON for each relay")
	return canaries
}

func canaryRows(out *table, status relay.CanaryStatus) {
	for _, canary := range status.Endpoints {
		remark := ""
		if !canary.HasBaseline {
			remark = "alone: no older one serves"
		}
		out.printf("%d\t%s\t%d\t%d\t%.0f%%\t%.1f\t%.1f\t%d\t%.2f\t%s\n", status.Self, canary.Endpoint, canary.Destination, canary.Stage+1,
			100*canary.Share, canary.StageSeconds, canary.SuspendedSeconds, canary.Suspensions, canary.RegressionScore, remark)
	}
}
