package rollout

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// fakeRelayVariable is the environment variable that makes the test binary run as a relay instead of the tests: see runFakeRelay.
const fakeRelayVariable = "ROLLOUT_TEST_RELAY"

func TestMain(m *testing.M) {
	if os.Getenv(fakeRelayVariable) != "" {
		runFakeRelay()
		return
	}
	os.Exit(m.Run())
}

// runFakeRelay answers commands at the admin endpoint until SIGTERM. A program whose file name is "broken" exits immediately.
func runFakeRelay() {
	if filepath.Base(os.Args[0]) == "broken" {
		os.Exit(2)
	}
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	listener, err := net.Listen("tcp", os.Getenv("NODE_ADMIN")) //nolint:noctx // the process has no context: a signal ends it
	if err != nil {
		os.Exit(3)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			answerFakeCommand(conn)
		}
	}()
	<-terminated
}

func answerFakeCommand(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return
	}
	switch line {
	case "health\n":
		_, _ = fmt.Fprintln(conn, "OK")
	case "counters\n":
		_, _ = fmt.Fprintf(conn, "relay_downstream_requests{lane=\"a\",result=\"completed\"} %d\n", os.Getpid())
	case "crash\n":
		os.Exit(1)
	}
}

// freeAddress returns a loopback address with a port that was free during the call.
func freeAddress(t *testing.T) string {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// linkProgram creates a symbolic link to the test binary under another name, which acts as a program of its own.
func linkProgram(t *testing.T, dir, name string) string {
	t.Helper()
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, name)
	if err := os.Symlink(binary, path); err != nil {
		t.Fatal(err)
	}
	return path
}

// startTestRunner starts a ProcessRunner whose processes are fake relays.
func startTestRunner(t *testing.T, dir, program string) *ProcessRunner {
	t.Helper()
	config := AgentConfig{
		Listen: "127.0.0.1:0",
		Admin:  []string{freeAddress(t), freeAddress(t)},
		Env:    []string{fakeRelayVariable + "=1"},
		Log:    filepath.Join(dir, "log"),
	}
	runner, err := NewProcessRunner(t.Context(), config, program)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(runner.Stop)
	return runner
}

// currentPID returns the ID of the process that answers at the admin endpoint. Fake relays report it as a counter.
func currentPID(t *testing.T, runner *ProcessRunner) int {
	t.Helper()
	metrics, err := runner.Metrics()
	if err != nil {
		t.Fatal(err)
	}
	return int(metrics.Outcomes["a"][outcomeCompleted])
}

// Guards against a relay that is down after an update: an update replaces the process and ends the old one, and a failed update to
// a program that does not start keeps the old process.
func TestProcessRunnerUpdate(t *testing.T) {
	dir := t.TempDir()
	runner := startTestRunner(t, dir, linkProgram(t, dir, "old"))
	first := currentPID(t, runner)
	if err := runner.Update(t.Context(), linkProgram(t, dir, "broken")); err == nil {
		t.Error("an update to a program that does not start succeeded, want an error")
	}
	if pid := currentPID(t, runner); pid != first {
		t.Errorf("after a failed update: process %d serves, want the old process %d", pid, first)
	}
	if err := runner.Update(t.Context(), linkProgram(t, dir, "new")); err != nil {
		t.Fatal(err)
	}
	current := runner.currentProcess()
	if pid := currentPID(t, runner); pid == first || pid != current.cmd.Process.Pid || filepath.Base(current.program) != "new" {
		t.Errorf("after an update: process %d of program %s serves, want a new process; the old one was %d", pid, current.program, first)
	}
	if err := syscall.Kill(first, 0); err == nil {
		t.Errorf("old process %d still runs after the update", first)
	}
	if metrics, err := runner.Metrics(); err != nil || metrics.Crashes != 0 || metrics.MemoryMB <= 0 {
		t.Errorf("metrics after an update: got %+v, error %v; want no crashes and memory above 0", metrics, err)
	}
}

// Guards against a relay that stays down after a crash: the crash is counted and the process restarted.
func TestProcessRunnerRestart(t *testing.T) {
	dir := t.TempDir()
	runner := startTestRunner(t, dir, linkProgram(t, dir, "old"))
	first := runner.currentProcess()
	if _, err := first.command(t.Context(), "crash"); err != nil {
		t.Logf("the crash broke the admin connection: %v", err)
	}
	<-first.exited
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(pollInterval) {
		if current := runner.currentProcess(); current != first && current.serves(t.Context()) {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the crashed process was not restarted within 10 s")
		}
	}
	if metrics, err := runner.Metrics(); err != nil || metrics.Crashes != 1 {
		t.Errorf("metrics after one crash: got %+v, error %v; want 1 crash", metrics, err)
	}
}

// Guards against an agent that starts with an incomplete configuration: a missing or unknown key is an error.
func TestReadAgentConfig(t *testing.T) {
	const valid = "relay = 1\naddress = \"a\"\nfolder = \"f\"\nprogram = \"p\"\nlisten = \"l\"\nadmin = [\"x\", \"y\"]\n" +
		"log = \"log\"\nenv = [\"NODE_CONFIG=c\", \"NODE_STATE=s\"]\n"
	path := filepath.Join(t.TempDir(), "agent.toml")
	for text, wantErr := range map[string]bool{valid: false, "relay = 1\n": true, valid + "unknown = 1\n": true} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if c, err := ReadAgentConfig(path); (err != nil) != wantErr {
			t.Errorf("configuration %q: got %+v, error %v", text, c, err)
		}
	}
}
