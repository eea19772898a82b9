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
	fleet := &cobra.Command{Use: "fleet", Short: "See what relays know of one another"}
	fleet.AddCommand(fleetShowCommand())
	return fleet
}

func fleetShowCommand() *cobra.Command {
	var raw bool
	show := &cobra.Command{Use: "show ADDRESS...", Short: "Ask relays at their admin endpoints what each believes, from whom, and how old that is",
		Long: "Ask relays at their admin endpoints (the address `admin`) what each believes, from whom, and how old that is.\n" +
			"They tell it where sharing is on (`fleet` in the configuration, or $NODE_FLEET=on). Exit status 1 where one does not answer.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, addresses []string) error {
			views, failed := fetchViews(command, addresses)
			if err := showViews(command.OutOrStdout(), views, raw); err != nil {
				return err
			}
			if failed > 0 {
				return errFailed
			}
			return nil
		}}
	show.Flags().BoolVar(&raw, "json", false, "a line of JSON for each relay")
	return show
}

// fetchViews fetches the views of relays, and counts those that give none; these are named on standard error.
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

// fetchView fetches the view of one relay.
func fetchView(ctx context.Context, address string) (view live.View, err error) {
	reply, err := admin.Call(ctx, address, "fleet", adminTimeout)
	if err != nil {
		return view, err
	}
	if text := strings.TrimSpace(reply); strings.HasPrefix(text, "ERR") {
		return view, fmt.Errorf("%s: is sharing on there?", text)
	}
	return view, json.Unmarshal([]byte(reply), &view)
}

// showViews prints views as a table, or each as a line of JSON.
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
	rows.printf("relay\tkind\tof\tsaid by\tvalue\tage s\tbound s\t\n")
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
