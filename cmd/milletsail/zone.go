package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"milletsail/internal/relay"
)

func zoneCommand() *cobra.Command {
	c := &cobra.Command{Use: "zone", Short: "Have relays leave a zone, return to it, or say how zones fare",
		Long: "Have relays leave a zone, return to it, or say how zones fare, each at its admin endpoint (the address `admin`).\n" +
			"They do so where zones are on (`zones` in the configuration, or $NODE_ZONES=on). Exit status 1 where one refuses or does not answer."}
	var last time.Duration
	evacuate := &cobra.Command{Use: "evacuate ZONE ADDRESS...", Short: "Leave a zone for a time", Args: cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			return order(c, fmt.Sprintf("zone evacuate %s %s", args[0], last), args[1:])
		}}
	evacuate.Flags().DurationVar(&last, "for", 10*time.Minute, "how long: after it the zone returns by itself")
	restore := &cobra.Command{Use: "restore ZONE ADDRESS...", Short: "Return to a zone, on the ramp of what was out", Args: cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error { return order(c, "zone restore "+args[0], args[1:]) }}
	var raw bool
	status := &cobra.Command{Use: "status ADDRESS...", Short: "Say how zones fare", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, addresses []string) error {
			head := "relay\tin\tzone\tstate\tfor s\torder s\tendpoints\tevacuations\treturns\t"
			return askRelays(c, addresses, "zone status", head, raw, func(w io.Writer, s relay.ZoneStatus) {
				for _, z := range s.Zones {
					note := ""
					if s.CutOff && z.Zone != s.Zone {
						note = "cut off from it"
					}
					fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%.1f\t%.0f\t%d\t%d\t%d\t%s\n", s.Self, s.Zone, z.Zone, z.State, z.ForS, z.UntilS, z.Endpoints,
						z.Evacuations, z.Returns, note)
				}
			})
		}}
	status.Flags().BoolVar(&raw, "json", false, "a line of JSON for each relay")
	c.AddCommand(evacuate, restore, status)
	return c
}

// order gives an order to relays, one after the other, and says what each answers.
func order(c *cobra.Command, line string, addresses []string) error {
	refused := 0
	for _, address := range addresses {
		reply, err := askRelay(c.Context(), address, line)
		if err != nil {
			reply = err.Error()
			refused++
		}
		fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", address, reply)
	}
	if refused > 0 {
		return exit(broken)
	}
	return nil
}
