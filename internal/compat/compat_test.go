package compat

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A program that does not report its formats, reports invalid ones, prints too much, or does not exit is an error, in time.
func TestAsk(t *testing.T) {
	for _, c := range []struct {
		name, script string
		good         bool
	}{
		{"good", `echo '{"journal":{"writes":2,"reads":[1,2]},"notes":{"writes":1,"reads":[1]}}'`, true},
		{"an older version", "echo unknown flag >&2; exit 2", false},
		{"nothing", "exit 0", false},
		{"half", `printf '{"journal":{"writes":2'`, false},
		{"reads not what it writes", `echo '{"journal":{"writes":2,"reads":[1]},"notes":{"writes":1,"reads":[1]}}'`, false},
		{"endless output", "while :; do echo aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa; done", false},
		{"silent", "while :; do :; done", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "program")
			if err := os.WriteFile(path, []byte("#!/bin/sh\n"+c.script+"\n"), 0o700); err != nil {
				t.Fatal(err)
			}
			ctx := t.Context()
			if c.name == "silent" || c.name == "endless output" {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, 300*time.Millisecond)
				defer cancel()
			}
			if f, err := QueryProgram(ctx, path); (err == nil) != c.good {
				t.Errorf("%+v, %v", f, err)
			}
		})
	}
}
