package overload

import (
	"os"
	"strings"
	"syscall"
	"testing"

	"milletsail/review/stand"
)

// TestEndIsLogged guards against an end of the process without a last line that says why.
func TestEndIsLogged(t *testing.T) {
	b := startBed(t, stand.DefaultLimits)
	b.Process.Signal(syscall.SIGTERM)
	<-b.Process.Done
	text, err := os.ReadFile(b.Relay.Log)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"relay started", "relay ending reason=signal", "relay ended"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the log lacks %q:\n%s", want, text)
		}
	}
}
