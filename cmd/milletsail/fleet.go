package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"milletsail/internal/admin"
	"milletsail/internal/fleet/live"
)

func fleetCommand() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "See what relays know of one another"}
	var raw bool
	show := &cobra.Command{Use: "show ADDRESS...", Short: "Ask relays at their admin endpoints what each believes, from whom, and how old that is",
		Long: "Ask relays at their admin endpoints (the address `admin`) what each believes, from whom, and how old that is.\n" +
			"They tell it where sharing is on (`fleet` in the configuration, or $NODE_FLEET=on). Exit status 1 where one does not answer.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, addresses []string) error {
			var silent int
			var views []live.View
			for _, address := range addresses {
				v, err := askView(c.Context(), address)
				if err != nil {
					fmt.Fprintf(c.ErrOrStderr(), "%s: %v\n", address, err)
					silent++
					continue
				}
				views = append(views, v)
			}
			if err := showViews(c.OutOrStdout(), views, raw); err != nil {
				return err
			}
			if silent > 0 {
				return exit(broken)
			}
			return nil
		}}
	show.Flags().BoolVar(&raw, "json", false, "a line of JSON for each relay")
	c.AddCommand(show)
	return c
}

// askView asks one relay.
func askView(ctx context.Context, address string) (v live.View, err error) {
	reply, err := admin.Call(ctx, address, "fleet", adminTimeout)
	if err != nil {
		return v, err
	}
	if text := strings.TrimSpace(reply); strings.HasPrefix(text, "ERR") {
		return v, fmt.Errorf("%s: is sharing on there?", text)
	}
	return v, json.Unmarshal([]byte(reply), &v)
}

func showViews(to io.Writer, views []live.View, raw bool) error {
	if raw {
		out := json.NewEncoder(to)
		for _, v := range views {
			if err := out.Encode(v); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "relay\tkind\tof\tsaid by\tvalue\tage s\tbound s\t")
	for _, v := range views {
		fmt.Fprintf(w, "%d\tlive\t%d relays, %d suspected\t\t\t\t\t\n", v.Self, len(v.Live), len(v.Suspected))
		for _, b := range v.Facts {
			fading := ""
			if b.Fading {
				fading = "fading"
			}
			fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%d\t%.3f\t%.0f\t%s\n", v.Self, b.Kind, b.Key, b.Origin, b.Value, b.AgeS, b.BoundS, fading)
		}
	}
	return w.Flush()
}
