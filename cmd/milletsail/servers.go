package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"milletsail/internal/relay"
)

// serversCommand shows the rollout of servers, which each relay carries out by itself.
func serversCommand() *cobra.Command {
	var raw bool
	c := &cobra.Command{Use: "servers ADDRESS...", Short: "Say how endpoints that are new on the list prove themselves",
		Long: "Say how endpoints that are new on the list prove themselves, by each relay's admin endpoint (the address `admin`). Relays\n" +
			"have them do so where that is on (`newcomers` in the configuration, or $NODE_NEWCOMERS=on). Exit status 1 where one does not answer.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, addresses []string) error {
			head := "relay\tendpoint\tof\tstage\tshare\tfor s\theld s\tholds\tdoubt\t"
			return askRelays(c, addresses, "servers", head, raw, func(w io.Writer, s relay.ServersStatus) {
				for _, n := range s.Servers {
					note := ""
					if !n.Proving {
						note = "alone: no older one serves"
					}
					fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%.0f%%\t%.1f\t%.1f\t%d\t%.2f\t%s\n", s.Self, n.Endpoint, n.Destination, n.Stage+1, 100*n.Share,
						n.ForS, n.HeldS, n.Holds, n.Doubt, note)
				}
			})
		}}
	c.Flags().BoolVar(&raw, "json", false, "a line of JSON for each relay")
	return c
}
