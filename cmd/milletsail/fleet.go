package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"milletsail/internal/admin"
	"milletsail/internal/fleet/live"
)

func fleetCommand() *cobra.Command {
	fleet := &cobra.Command{Use: "fleet", Short: "Show what relays know of one another"}
	fleet.AddCommand(fleetShowCommand())
	return fleet
}

func fleetShowCommand() *cobra.Command {
	var raw bool
	show := &cobra.Command{Use: "show ADDRESS...", Short: "Show the facts that relays hold, with their origins and ages",
		Long: "Show the facts about the platform that relays hold, each with its origin and age, as the relays' admin endpoints report\n" +
			"them (the address `admin` of the configuration). Sharing of facts has to be enabled: `fleet` in the configuration, or\n" +
			"$NODE_FLEET=on. The exit status is 1 if a relay does not answer.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, addresses []string) error {
			views, failed := fetchViews(command, addresses)
			if err := showViews(command.OutOrStdout(), views, raw); err != nil {
				return err
			}
			if failed > 0 {
				return errProblemFound
			}
			return nil
		}}
	show.Flags().BoolVar(&raw, "json", false, "print a line of JSON for each relay")
	return show
}

// fetchViews fetches the views of relays. Failures are printed on standard error and counted in failed.
func fetchViews(command *cobra.Command, addresses []string) (views []live.View, failed int) {
	for _, address := range addresses {
		view, err := fetchView(command.Context(), address)
		if err != nil {
			command.PrintErrf("%s: %v\n", address, err)
			failed++
			continue
		}
		views = append(views, view)
	}
	return views, failed
}

// fetchView fetches the view of the relay whose admin endpoint is at address.
func fetchView(ctx context.Context, address string) (view live.View, err error) {
	reply, err := admin.Call(ctx, address, "fleet", adminTimeout)
	if err != nil {
		return view, err
	}
	if text := strings.TrimSpace(reply); strings.HasPrefix(text, "ERR") {
		return view, fmt.Errorf("%s; sharing of facts may be disabled on this relay", text)
	}
	return view, json.Unmarshal([]byte(reply), &view)
}

// showViews prints views as a table or, if raw is set, each as a line of JSON.
func showViews(out io.Writer, views []live.View, raw bool) error {
	if raw {
		encoder := json.NewEncoder(out)
		for _, view := range views {
			if err := encoder.Encode(view); err != nil {
				return err
			}
		}
		return nil
	}
	rows := newTable(out, 0)
	rows.printf("relay\tkind\tkey\torigin\tvalue\tage s\tbound s\t\n")
	for _, view := range views {
		rows.printf("%d\tlive\t%d relays, %d suspected\t\t\t\t\t\n", view.Self, len(view.Live), len(view.Suspected))
		for _, fact := range view.Facts {
			fading := ""
			if fact.Fading {
				fading = "fading"
			}
			rows.printf("%d\t%s\t%s\t%d\t%d\t%.3f\t%.0f\t%s\n", view.Self, fact.Kind, fact.Key, fact.Origin, fact.Value, fact.AgeS, fact.ExpiresAfterS, fading)
		}
	}
	return rows.flush()
}
