package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"milletsail/internal/admin"
)

// askDoors puts one line to relays at their operators' doors, and writes a table of what they say in JSON, or that as it
// came. A relay that refuses or does not answer is named, and gives exit status 1.
func askDoors[T any](c *cobra.Command, doors []string, line, head string, raw bool, rows func(io.Writer, T)) error {
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
	if !raw {
		fmt.Fprintln(w, head)
	}
	silent := 0
	for _, address := range doors {
		reply, err := askDoor(address, line)
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

// askDoor gives a relay's operators' door one line, and its reply. An error of the relay's is one.
func askDoor(address, line string) (string, error) {
	reply, err := admin.Ask(address, line, doorTime)
	if err != nil {
		return "", err
	}
	text := strings.TrimSpace(reply)
	if what, bad := strings.CutPrefix(text, "ERR "); bad {
		return "", fmt.Errorf("refused: %s", what)
	}
	return text, nil
}
