package relay

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"milletsail/internal/relay/config"
)

// A relay that started from an old list would call endpoints that are gone. It has to start from the newest of the lists on disk,
// in the journal and in the configuration; without any other list, the configuration's is used even if it has no version.
func TestNewestList(t *testing.T) {
	for _, c := range []struct {
		onDisk, inJournal, configured int64
		want                          string
	}{
		{0, 0, 0, "configuration"},
		{0, 0, 40, "configuration"},
		{40, 0, 0, "disk"},
		{40, 0, 40, "disk"},
		{40, 0, 41, "configuration"},
		{0, 41, 40, "journal"},
		{41, 41, 40, "disk"},
		{0, 40, 41, "configuration"},
	} {
		newest := newestList(c.onDisk, listSource{name: "journal", version: c.inJournal}, listSource{name: "configuration",
			version: c.configured})
		if newest.name != c.want {
			t.Errorf("with versions %d on disk, %d in the journal and %d in the configuration, the list is from %s, want %s",
				c.onDisk, c.inJournal, c.configured,
				newest.name, c.want)
		}
	}
}

// At the first start of a fleet the configured list may have version 0. A relay with an empty disk has to use it and not treat it
// as no list.
func TestConfiguredListWithoutVersion(t *testing.T) {
	hosts := fillerHosts(3)
	text, err := json.Marshal(map[string]any{"known": Members{Whole: true, Hosts: hosts}})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	l := newListLoop(t, t.TempDir(), 1000)
	l.cfg.KnownEndpoints = config.EndpointSource{Path: path}
	l.openEndpoints(t.Context(), t.TempDir())
	if n := l.endpoints.table.Len(); n != len(hosts) {
		t.Errorf("%d endpoints are on the list, want %d", n, len(hosts))
	}
}
