package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"milletsail/internal/endpoints"
)

// The list of a configuration is read in batches wherever it stands, is no part of what a reload builds, and an error in
// it says where it is.
func TestKnownListOfAConfiguration(t *testing.T) {
	const rest = `"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
	 "limits":{"cores":1,"memory_mb":192,"sockets":1024,"disk_mb":3},"settings":`
	fields := rest + testSettings
	known := endpointListJSON(t, 40, 1000)
	for _, tt := range []struct{ name, text, want string }{
		{"first", `{"known":` + known + `,` + fields + `}`, ""},
		{"last", `{` + fields + `,"known":` + known + `}`, ""},
		{"a field of a wrong type", `{` + fields + `,"known":` + strings.Replace(known, `"block":1500`, `"block":"x"`, 1) + `}`,
			"known: unreadable list at byte"},
		{"no list", `{` + fields + `,"known":7}`, "known"},
		{"cut off in the list", `{` + fields + `,"known":` + known[:len(known)/2], "known: unexpected"},
		{"cut off behind it", `{` + fields + `,"known":` + known, "unexpected"},
		{"more behind the object", `{` + fields + `,"known":` + known + `} {`, "more behind"},
	} {
		path := filepath.Join(t.TempDir(), "c.json")
		if err := os.WriteFile(path, []byte(tt.text), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Read(path)
		if tt.want != "" {
			if err == nil || !strings.Contains(err.Error(), tt.want) || !strings.Contains(err.Error(), path) {
				t.Errorf("%s: error %v, want %q", tt.name, err, tt.want)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: %v", tt.name, err)
			continue
		}
		n := 0
		err = c.KnownEndpoints.Read(func(b endpoints.Batch) error {
			n += len(b.Entries)
			return nil
		})
		if err != nil || n != 1000 || c.KnownEndpoints.Version != 40 {
			t.Errorf("%s: %d hosts of version %d, %v", tt.name, n, c.KnownEndpoints.Version, err)
		}
	}
}
