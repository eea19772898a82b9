package relay

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/relay/config"
	"milletsail/internal/relay/retry"
)

// Guards against a reload that is lost because the configuration file is only partly written when the signal arrives: the file
// has to be read again once it is complete.
func TestReloadOfPartlyWrittenFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	p := newPlatform(t)
	complete, err := os.ReadFile(p.writeConfig())
	if err != nil {
		t.Fatal(err)
	}
	write := func(text []byte) {
		t.Helper()
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(complete[:len(complete)/2])
	signals := make(chan os.Signal, 1)
	addresses := config.Reloads(t.Context(), path, signals)
	signals <- syscall.SIGHUP
	select {
	case address := <-addresses:
		t.Fatalf("a partly written file resulted in address %q, want none", address)
	case <-time.After(2 * retry.StorageInterval):
	}
	write(complete)
	if address := <-addresses; address == "" {
		t.Error("the complete file resulted in an empty address")
	}
}
