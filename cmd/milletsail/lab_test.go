package main

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against relays that can't be started, since the lab starts each in a directory of its own: namedBinary makes a relative
// path absolute, and returns an error for a file that does not exist.
func TestNamedBinary(t *testing.T) {
	dir := t.TempDir()
	t.Chdir(dir)
	if err := os.WriteFile("relay", nil, 0o700); err != nil {
		t.Fatal(err)
	}
	path, err := namedBinary("--relay", "relay")
	if err != nil || !filepath.IsAbs(path) {
		t.Errorf("binary with a relative path: got %q, error %v; want an absolute path", path, err)
	}
	if _, err := namedBinary("--relay", "none"); err == nil {
		t.Error("binary that does not exist: got no error, want one")
	}
}
