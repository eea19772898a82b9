package main

import (
	"os"
	"path/filepath"
	"testing"
)

// A relay that is named by a relative path is found from every folder; one that does not exist is an error.
func TestNamedBinary(t *testing.T) {
	dir := t.TempDir()
	t.Chdir(dir)
	if err := os.WriteFile("relay", nil, 0o700); err != nil {
		t.Fatal(err)
	}
	path, err := namedBinary("--relay", "relay")
	if err != nil || !filepath.IsAbs(path) {
		t.Errorf("%q, %v", path, err)
	}
	if _, err := namedBinary("--relay", "none"); err == nil {
		t.Error("a relay that does not exist is no error")
	}
}
