package main

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"milletsail/internal/admin"
)

// adminTimeout bounds connecting to an admin endpoint, and separately the exchange of command and reply.
const adminTimeout = 2 * time.Second

// adminQuery sends a command to the admin endpoints of relays, which reply in JSON, and prints the replies as a table.
type adminQuery[T any] struct {
	line   string                    // command line that is sent to each relay
	header string                    // header of the table, with tabs between the columns
	raw    bool                      // whether replies are printed unchanged instead of as a table
	rows   func(out *table, reply T) // adds the rows of one reply to the table
}

// run queries the relays one after the other. Errors of single relays are printed on standard error, and run returns
// errProblemFound after the last relay if there were any.
func (q adminQuery[T]) run(command *cobra.Command, addresses []string) error {
	out := newTable(command.OutOrStdout(), 0)
	if !q.raw {
		out.printf("%s\n", q.header)
	}
	failed := 0
	for _, address := range addresses {
		text, reply, err := q.query(command.Context(), address)
		switch {
		case err != nil:
			command.PrintErrf("%s: %v\n", address, err)
			failed++
		case q.raw:
			out.printf("%s\n", text)
		default:
			q.rows(out, reply)
		}
	}
	if err := out.flush(); err != nil {
		return err
	}
	if failed > 0 {
		return errProblemFound
	}
	return nil
}

// query returns the reply of one relay, both unchanged and decoded.
func (q adminQuery[T]) query(ctx context.Context, address string) (text string, reply T, err error) {
	text, err = callRelay(ctx, address, q.line)
	if err != nil {
		return "", reply, err
	}
	return text, reply, json.Unmarshal([]byte(text), &reply)
}

// rejectedError is the error for a command that a relay has rejected.
type rejectedError struct{ reason string }

func (e *rejectedError) Error() string { return "the relay rejected the command: " + e.reason }

// callRelay sends one command line to the admin endpoint at address and returns the reply. It returns a *rejectedError if the
// relay rejects the command.
func callRelay(ctx context.Context, address, line string) (string, error) {
	reply, err := admin.Call(ctx, address, line, adminTimeout)
	if err != nil {
		return "", err
	}
	text := strings.TrimSpace(reply)
	if reason, rejected := strings.CutPrefix(text, "ERR "); rejected {
		return "", &rejectedError{reason}
	}
	return text, nil
}
