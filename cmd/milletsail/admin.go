package main

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"milletsail/internal/admin"
)

// adminTimeout bounds connecting to an admin endpoint, and the exchange after it.
const adminTimeout = 2 * time.Second

// adminQuery asks relays for a JSON reply at their admin endpoints, and shows the replies.
type adminQuery[T any] struct {
	line   string                    // the command line that each relay gets
	header string                    // of the table, with tabs between the columns
	raw    bool                      // replies are printed unchanged, without a table
	rows   func(out *table, reply T) // adds the lines of one reply
}

// run queries the relays one after the other. One that rejects the query or does not answer is named on standard error,
// and gives errFailed in the end.
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
		return errFailed
	}
	return nil
}

// query returns the reply of one relay, as it came and decoded.
func (q adminQuery[T]) query(ctx context.Context, address string) (text string, reply T, err error) {
	text, err = callRelay(ctx, address, q.line)
	if err != nil {
		return "", reply, err
	}
	return text, reply, json.Unmarshal([]byte(text), &reply)
}

// rejectedError says that a relay rejected a command.
type rejectedError struct{ reason string }

func (e *rejectedError) Error() string { return "refused: " + e.reason }

// callRelay sends one command line to the admin endpoint at address, and returns its reply. It returns a *rejectedError where
// the relay rejects the command.
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
