package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"milletsail/internal/relay"
)

// defaultEvacuation is the default duration of an evacuation.
const defaultEvacuation = 10 * time.Minute

func zoneCommand() *cobra.Command {
	zone := &cobra.Command{Use: "zone", Short: "Make relays evacuate or restore a zone, or show the state of zones",
		Long: "Make relays evacuate or restore a zone, or show the state of zones, by the relays' admin endpoints (the address `admin` of\n" +
			"the configuration). Zones have to be enabled: `zones` in the configuration, or $NODE_ZONES=on. The exit status is 1 if a relay\n" +
			"rejects the command or does not answer."}
	zone.AddCommand(zoneEvacuateCommand(), zoneRestoreCommand(), zoneStatusCommand())
	return zone
}

func zoneEvacuateCommand() *cobra.Command {
	var duration time.Duration
	evacuate := &cobra.Command{Use: "evacuate ZONE ADDRESS...", Short: "Evacuate a zone for a limited time", Args: cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			return orderRelays(command, fmt.Sprintf("zone evacuate %s %s", args[0], duration), args[1:])
		}}
	evacuate.Flags().DurationVar(&duration, "for", defaultEvacuation, "duration of the evacuation, after which the relays return to the zone by themselves")
	return evacuate
}

func zoneRestoreCommand() *cobra.Command {
	return &cobra.Command{Use: "restore ZONE ADDRESS...", Short: "Return to an evacuated zone, with slow start", Args: cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			return orderRelays(command, "zone restore "+args[0], args[1:])
		}}
}

func zoneStatusCommand() *cobra.Command {
	query := adminQuery[relay.ZoneStatus]{
		line:   "zone status",
		header: "relay\town zone\tzone\tstate\tstate s\torder s\tendpoints\tevacuations\treturns\t",
		rows:   zoneRows,
	}
	status := &cobra.Command{Use: "status ADDRESS...", Short: "Show the state of zones", Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, addresses []string) error { return query.run(command, addresses) }}
	status.Flags().BoolVar(&query.raw, "json", false, "print a line of JSON for each relay")
	return status
}

func zoneRows(out *table, status relay.ZoneStatus) {
	for _, zone := range status.Zones {
		remark := ""
		if status.Isolated && zone.Zone != status.Zone {
			remark = "the relay's zone is isolated from it"
		}
		out.printf("%d\t%s\t%s\t%s\t%.1f\t%.0f\t%d\t%d\t%d\t%s\n", status.Self, status.Zone, zone.Zone, zone.State, zone.StateSeconds, zone.OrderSeconds,
			zone.Endpoints, zone.Evacuations, zone.Recoveries, remark)
	}
}

// orderRelays sends a command to relays, one after the other, and prints the reply or error of each.
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
		return errProblemFound
	}
	return nil
}
