package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// relayPackage is the package that the relay is built from if there is no binary.
const relayPackage = "milletsail/cmd/relay"

// relayBinary is the relay program that lab runs start.
type relayBinary struct {
	path string
	dir  string // temporary directory that holds the program; empty if it was not built for this run
}

// findRelay returns the relay program at flagPath, the value of a flag. If that is empty, it returns the file relay next to this
// program, or else builds the relay from the source. The caller has to call remove after use.
func findRelay(ctx context.Context, flagPath string) (*relayBinary, error) {
	if flagPath != "" {
		path, err := namedBinary("--relay", flagPath)
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
		return nil, fmt.Errorf("no file relay next to this program, and the relay can't be built here: %w: %s", err, strings.TrimSpace(string(output)))
	}
	return built, nil
}

// remove removes the program if it was built for this run.
func (b *relayBinary) remove() {
	if b.dir != "" {
		_ = os.RemoveAll(b.dir)
	}
}

// namedBinary returns the absolute path of a binary that a flag names. Relays are started in directories of their own, where a
// relative path would not be found. flag is the name of the flag in errors.
func namedBinary(flag, path string) (string, error) {
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("%s: %w", flag, err)
	}
	return filepath.Abs(path)
}
