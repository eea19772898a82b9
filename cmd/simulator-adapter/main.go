// Command simulator-adapter runs the decisions of package policy on the simulator's wire: batches on standard
// input, replies on standard output.
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
