package compat

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A program that does not report its formats, reports invalid ones, prints too much or does not exit must be an error: a rollout
// must neither hang on it nor take it for compatible.
func TestQueryProgram(t *testing.T) {
	for _, c := range []struct {
		name, script string
		valid        bool
	}{
		{"valid", `echo '{"journal":{"writes":2,"reads":[1,2]},"notes":{"writes":1,"reads":[1]}}'`, true},
		{"older version", "echo unknown flag >&2; exit 2", false},
		{"no output", "exit 0", false},
		{"truncated", `printf '{"journal":{"writes":2'`, false},
		{"does not read what it writes", `echo '{"journal":{"writes":2,"reads":[1]},"notes":{"writes":1,"reads":[1]}}'`, false},
		{"endless output", "while :; do echo aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa; done", false},
		{"does not exit", "while :; do :; done", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "program")
			if err := os.WriteFile(path, []byte("#!/bin/sh\n"+c.script+"\n"), 0o700); err != nil {
				t.Fatal(err)
			}
			ctx := t.Context()
			if c.name == "does not exit" || c.name == "endless output" {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, 300*time.Millisecond)
				defer cancel()
			}
			if versions, err := QueryProgram(ctx, path); (err == nil) != c.valid {
				t.Errorf("got formats %+v, error %v", versions, err)
			}
		})
	}
}
