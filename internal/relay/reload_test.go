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

// A configuration that is being written when its signal comes is read once it is whole, and further signals meanwhile lose
// nothing.
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
		t.Fatalf("half a file gives %q", address)
	case <-time.After(2 * retry.StorageInterval):
	}
	write(complete)
	if address := <-addresses; address == "" {
		t.Error("no address")
	}
}
