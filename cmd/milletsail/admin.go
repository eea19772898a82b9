package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"milletsail/internal/admin"
)

// adminTimeout bounds connecting to an admin endpoint, and the exchange after it.
const adminTimeout = 2 * time.Second

// askRelays sends one command line to the admin endpoints at addresses, and writes a table of their JSON replies, or the
// replies unchanged if raw. A relay that refuses or does not answer is named, and gives exit status 1.
func askRelays[T any](c *cobra.Command, addresses []string, line, head string, raw bool, rows func(io.Writer, T)) error {
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
	if !raw {
		fmt.Fprintln(w, head)
	}
	silent := 0
	for _, address := range addresses {
		reply, err := askRelay(c.Context(), address, line)
		var said T
		if err == nil {
			err = json.Unmarshal([]byte(reply), &said)
		}
		switch {
		case err != nil:
			fmt.Fprintf(c.ErrOrStderr(), "%s: %v\n", address, err)
			silent++
		case raw:
			fmt.Fprintln(w, reply)
		default:
			rows(w, said)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if silent > 0 {
		return exit(broken)
	}
	return nil
}

// askRelay sends one command line to the admin endpoint at address, and returns its reply. A refusal by the relay is an error.
func askRelay(ctx context.Context, address, line string) (string, error) {
	reply, err := admin.Call(ctx, address, line, adminTimeout)
	if err != nil {
		return "", err
	}
	text := strings.TrimSpace(reply)
	if what, bad := strings.CutPrefix(text, "ERR "); bad {
		return "", fmt.Errorf("refused: %s", what)
	}
	return text, nil
}
