package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"milletsail/internal/endpoints"
)

// Read has to find the endpoint list at any position among the fields of the file, and has to report the position of an error in
// the list or in the rest of the file.
func TestReadEndpointListInConfiguration(t *testing.T) {
	const rest = `"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
	 "limits":{"cores":1,"memory_mb":192,"sockets":1024,"disk_mb":3},"settings":`
	fields := rest + testSettings
	known := endpointListJSON(t, 40, 1000)
	for _, tt := range []struct{ name, text, want string }{
		{"list as first field", `{"known":` + known + `,` + fields + `}`, ""},
		{"list as last field", `{` + fields + `,"known":` + known + `}`, ""},
		{"list entry with a field of a wrong type", `{` + fields + `,"known":` + strings.Replace(known, `"block":1500`, `"block":"x"`, 1) + `}`,
			"known: unreadable list at byte"},
		{"number in place of the list", `{` + fields + `,"known":7}`, "known"},
		{"truncated within the list", `{` + fields + `,"known":` + known[:len(known)/2], "known: unexpected"},
		{"truncated after the list", `{` + fields + `,"known":` + known, "unexpected"},
		{"data after the object", `{` + fields + `,"known":` + known + `} {`, "data after the JSON object"},
	} {
		path := filepath.Join(t.TempDir(), "c.json")
		if err := os.WriteFile(path, []byte(tt.text), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Read(path)
		if tt.want != "" {
			if err == nil || !strings.Contains(err.Error(), tt.want) || !strings.Contains(err.Error(), path) {
				t.Errorf("%s: Read returned error %v, want one containing %q and the path", tt.name, err, tt.want)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: Read failed: %v", tt.name, err)
			continue
		}
		n := 0
		err = c.KnownEndpoints.Read(func(b endpoints.Batch) error {
			n += len(b.Entries)
			return nil
		})
		if err != nil || n != 1000 || c.KnownEndpoints.Version != 40 {
			t.Errorf("%s: read %d endpoints of version %d, error %v; want 1000 endpoints of version 40",
				tt.name, n, c.KnownEndpoints.Version, err)
		}
	}
}
