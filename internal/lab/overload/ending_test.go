package overload

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletsail/review/stand"
)

// startWith starts a further process of a bed's relay, whose standard error is log, and waits until it is ready.
func startWith(t *testing.T, b *bed, log *os.File) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(filepath.Join(root, "bin", "relay"))
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "NODE_STATE="+b.Relay.State, "NODE_CONFIG="+filepath.Join(b.dir, "config.json"))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	if err := b.Relay.WaitReady(context.Background()); err != nil {
		t.Fatal(err)
	}
	return cmd
}

// TestRelayOutlivesLogReader guards against a relay that ends by SIGPIPE once the reader of its log has gone.
func TestRelayOutlivesLogReader(t *testing.T) {
	b := startBed(t, stand.DefaultLimits)
	b.Process.Kill()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd := startWith(t, b, write)
	_ = write.Close()
	_ = read.Close()
	unknown := stand.Message{ID: "unknown", Class: keyedClass, Key: "k", Dest: destinations + 1, Timeout: messageTimeout}
	b.Clients.Send(context.Background(), unknown) // the relay logs that it rejects the message
	time.Sleep(settleTime)
	if status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid)); err != nil || bytes.Contains(status, []byte("State:\tZ")) {
		t.Error("the relay ended after the reader of its log had gone")
	}
}

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
