package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The test guards against a relay that starts with a configuration it can't work with: Read has to reject each invalid value with
// a one-line error that names the key.
func TestReadRejectsInvalidConfiguration(t *testing.T) {
	valid := `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964","limits":
	 {"cores":1,"memory_mb":192,"sockets":1024,"disk_mb":3},"settings":` + testSettings + `}`
	tests := []struct{ name, old, new, want string }{
		{"valid file", "", "", ""},
		{"not a JSON object", `{"name"`, `["name"`, "invalid"},
		{"no listen address", `"listen":"127.0.0.1:1",`, "", "listen"},
		{"no discovery address", `"discovery":"127.0.0.1:2",`, "", "discovery"},
		{"seed not hexadecimal", "8c1f30d27a5be964", "seed", "seed"},
		{"no cores", `"cores":1`, `"cores":0`, "cores"},
		{"no memory", `"memory_mb":192`, `"memory_mb":-1`, "memory_mb"},
		{"no sockets", `"sockets":1024`, `"sockets":0`, "sockets"},
		{"no disk", `"disk_mb":3`, `"disk_mb":0`, "disk_mb"},
		{"unknown idempotency class", "fragile", "fragrant", "idempotency"},
		{"no instances", `"n_instances":1`, `"n_instances":0`, "FleetSize"},
	}
	for _, tt := range tests {
		path := filepath.Join(t.TempDir(), "c.json")
		if err := os.WriteFile(path, []byte(strings.Replace(valid, tt.old, tt.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Read(path)
		if tt.want == "" {
			if err != nil {
				t.Errorf("%s: Read failed: %v", tt.name, err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: Read returned error %v, want one line containing %q", tt.name, err, tt.want)
		}
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("Read of a missing file succeeded, want an error")
	}
}
