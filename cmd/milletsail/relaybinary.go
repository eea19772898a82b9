package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// relayPackage is what the relay is built from, where no binary of it is there.
const relayPackage = "milletsail/cmd/relay"

// relayBinary is a relay's program that lab runs start.
type relayBinary struct {
	path string
	dir  string // temporary directory that it was built into; empty for none
}

// findRelay returns the relay that a flag names; without one that beside this program, else one that is built from the source.
// The caller calls remove when it needs it no more.
func findRelay(ctx context.Context, named string) (*relayBinary, error) {
	if named != "" {
		path, err := namedBinary("--relay", named)
		return &relayBinary{path: path}, err
	}
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), "relay")
		if _, err := os.Stat(beside); err == nil {
			return &relayBinary{path: beside}, nil
		}
	}
	return buildRelay(ctx)
}

func buildRelay(ctx context.Context) (*relayBinary, error) {
	dir, err := os.MkdirTemp("", "milletsail-relay-")
	if err != nil {
		return nil, err
	}
	built := &relayBinary{path: filepath.Join(dir, "relay"), dir: dir}
	output, err := exec.CommandContext(ctx, "go", "build", "-o", built.path, relayPackage).CombinedOutput()
	if err != nil {
		built.remove()
		return nil, fmt.Errorf("no file relay beside this program, and it can't be built here: %w: %s", err, strings.TrimSpace(string(output)))
	}
	return built, nil
}

// remove removes the binary where it was built for this run.
func (b *relayBinary) remove() {
	if b.dir != "" {
		_ = os.RemoveAll(b.dir)
	}
}

// namedBinary gives the absolute path of a binary that a flag names: relays are started in folders of their own.
func namedBinary(flag, named string) (string, error) {
	if _, err := os.Stat(named); err != nil {
		return "", fmt.Errorf("%s: %w", flag, err)
	}
	return filepath.Abs(named)
}
