// Command simulator-adapter connects package policy to the simulator: it reads batches of events from standard input and writes
// the decisions as replies to standard output.
package main

import (
	"fmt"
	"os"

	"milletsail/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}
