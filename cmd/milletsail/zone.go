package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"milletsail/internal/relay"
)

// defaultEvacuation is how long a zone is left where the operator names no time.
const defaultEvacuation = 10 * time.Minute

func zoneCommand() *cobra.Command {
	zone := &cobra.Command{Use: "zone", Short: "Have relays leave a zone, return to it, or say how zones fare",
		Long: "Have relays leave a zone, return to it, or say how zones fare, each at its admin endpoint (the address `admin`).\n" +
			"They do so where zones are on (`zones` in the configuration, or $NODE_ZONES=on). Exit status 1 where one refuses or does not answer."}
	zone.AddCommand(zoneEvacuateCommand(), zoneRestoreCommand(), zoneStatusCommand())
	return zone
}

func zoneEvacuateCommand() *cobra.Command {
	var duration time.Duration
	evacuate := &cobra.Command{Use: "evacuate ZONE ADDRESS...", Short: "Leave a zone for a time", Args: cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			return orderRelays(command, fmt.Sprintf("zone evacuate %s %s", args[0], duration), args[1:])
		}}
	evacuate.Flags().DurationVar(&duration, "for", defaultEvacuation, "how long: after it the zone returns by itself")
	return evacuate
}

func zoneRestoreCommand() *cobra.Command {
	return &cobra.Command{Use: "restore ZONE ADDRESS...", Short: "Return to a zone, on the ramp of what was out", Args: cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			return orderRelays(command, "zone restore "+args[0], args[1:])
		}}
}

func zoneStatusCommand() *cobra.Command {
	query := adminQuery[relay.ZoneStatus]{
		line:   "zone status",
		header: "relay\tin\tzone\tstate\tfor s\torder s\tendpoints\tevacuations\treturns\t",
		rows:   zoneRows,
	}
	status := &cobra.Command{Use: "status ADDRESS...", Short: "Say how zones fare", Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, addresses []string) error { return query.run(command, addresses) }}
	status.Flags().BoolVar(&query.raw, "json", false, "a line of JSON for each relay")
	return status
}

func zoneRows(out *table, status relay.ZoneStatus) {
	for _, zone := range status.Zones {
		remark := ""
		if status.Isolated && zone.Zone != status.Zone {
			remark = "cut off from it"
		}
		out.printf("%d\t%s\t%s\t%s\t%.1f\t%.0f\t%d\t%d\t%d\t%s\n", status.Self, status.Zone, zone.Zone, zone.State, zone.StateSeconds, zone.OrderSeconds,
			zone.Endpoints, zone.Evacuations, zone.Recoveries, remark)
	}
}

// orderRelays gives an order to relays, one after the other, and prints what each replies.
func orderRelays(command *cobra.Command, line string, addresses []string) error {
	failed := 0
	for _, address := range addresses {
		reply, err := callRelay(command.Context(), address, line)
		if err != nil {
			reply = err.Error()
			failed++
		}
		command.Printf("%s: %s\n", address, reply)
	}
	if failed > 0 {
		return errFailed
	}
	return nil
}
