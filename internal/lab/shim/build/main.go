// Command build compiles the relay with package shim, for manual lab runs: go run ./internal/lab/shim/build FILE.
package main

import (
	"fmt"
	"os"

	"milletsail/internal/lab/shim"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("got %d arguments, want one: the file to write", len(args))
	}
	dir, err := os.MkdirTemp("", "shim-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	return shim.Build(dir, "milletsail/cmd/relay", args[0])
}
