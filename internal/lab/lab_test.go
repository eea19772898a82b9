package lab

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/lab/checker"
	"milletsail/internal/lab/report"
	"milletsail/internal/lab/scenario"
	"milletsail/internal/lab/shim"
	"milletsail/scenarios"
)

// Executables that the tests run, built without the shim.
var relayBinary, faultyBinary, labBinary string

// shimBinary is the relay built with package shim, so that its wall clock can be stepped and its system calls can be
// made to fail.
var shimBinary string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "lab-test-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		relayBinary, faultyBinary, labBinary = filepath.Join(dir, "relay"), filepath.Join(dir, "faulty"), filepath.Join(dir, "milletsail")
		for path, source := range map[string]string{relayBinary: "milletsail/cmd/relay", faultyBinary: "milletsail/internal/lab/faulty", labBinary: "milletsail/cmd/milletsail"} {
			if out, err := exec.Command("go", "build", "-o", path, source).CombinedOutput(); err != nil {
				fmt.Fprintf(os.Stderr, "%s: %v: %s", source, err, out)
				return 1
			}
		}
		shimBinary = filepath.Join(dir, "relay-shim")
		if err := shim.Build(dir, "milletsail/cmd/relay", shimBinary); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return m.Run()
	}())
}

// maxInvalidRuns bounds the invalid runs in a row: another program may have used the processors. An invalid run
// neither passes nor fails.
const maxInvalidRuns = 6

// retryLock allows one repeated run at a time, since concurrent runs may have made the lab late.
var retryLock sync.Mutex

// runSlots bounds the concurrent runs. Runs mostly wait; one in which the lab is late is repeated under retryLock.
var runSlots = make(chan bool, 5)

// pendingRun is a run in progress; done is closed when it ends.
type pendingRun struct {
	result *Result
	err    error
	done   chan bool
}

// startRun starts a run in the background and repeats it while it is invalid.
func startRun(t *testing.T, name string, o Options) *pendingRun {
	t.Helper()
	return startScenario(t, loadScenario(t, name), o)
}

// startScenario starts a run of a scenario as startRun does.
func startScenario(t *testing.T, s *scenario.Scenario, o Options) *pendingRun {
	t.Helper()
	p := &pendingRun{done: make(chan bool)}
	ctx := t.Context()
	go func() {
		defer close(p.done)
		runSlots <- true
		defer func() { <-runSlots }()
		for try := range maxInvalidRuns {
			if try == 1 {
				retryLock.Lock()
				defer retryLock.Unlock()
			}
			p.result, p.err = Run(ctx, s, o)
			if p.err != nil || p.result.Verdict.InvalidReason == "" {
				return
			}
		}
		p.err = fmt.Errorf("%d runs in a row were invalid, the last because: %s", maxInvalidRuns, p.result.Verdict.InvalidReason)
	}()
	return p
}

// wait waits for the run and returns its result.
func (p *pendingRun) wait(t *testing.T) *Result {
	t.Helper()
	<-p.done
	if p.err != nil {
		t.Fatal(p.err)
	}
	return p.result
}

func loadScenario(t *testing.T, name string) *scenario.Scenario {
	t.Helper()
	text, err := scenarios.Get(name)
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Parse(name, text)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// The relay violates no rule while relays are killed, a zone is cut off, destinations fail, endpoints drain, machines
// are lost, processes are replaced, clients misbehave, and journals are truncated, damaged or out of space. The
// checker finds the violation of each relay that has a fault injected.
func TestScenariosKeepRules(t *testing.T) {
	runs := map[string]*pendingRun{}
	for _, name := range []string{"herd", "zone", "outage", "drain", "upgrade", "wipe", "clients", "order", "servers"} {
		runs[name] = startRun(t, name, Options{Binary: relayBinary})
	}
	// Power loss needs a relay that records its syncs, as the faulty relay does.
	runs["recovery"] = startRun(t, "recovery", Options{Binary: faultyBinary, Env: []string{"LAB_FAULT=none"}})
	injected := []struct{ fault, scenario, rule string }{
		{"second-copy", "calm", checker.SecondCopy},
		{"late-end", "overload", checker.Lost},
		{"ignored-drain", "drain", checker.Drain},
		{"ignored-wait", "outage", checker.Wait},
		{"ignored-error", "outage", checker.Repeat},
		{"lost-entry", "herd", checker.Lost},
		{"no-sync", "recovery", checker.Lost},
	}
	for _, c := range injected {
		runs[c.fault] = startRun(t, c.scenario, Options{Binary: faultyBinary, KeepLogs: true, Env: []string{"LAB_FAULT=" + c.fault}})
	}
	for name, p := range runs {
		if i := slices.IndexFunc(injected, func(c struct{ fault, scenario, rule string }) bool { return c.fault == name }); i >= 0 {
			t.Run(name, func(t *testing.T) {
				found := map[string]int{}
				r := p.wait(t)
				for _, x := range r.Verdict.Violations {
					found[x.Rule]++
				}
				defer os.RemoveAll(r.Logs)
				if logs, _ := filepath.Glob(filepath.Join(r.Logs, "n*.log")); len(r.Verdict.Violations) > 0 && len(logs) == 0 {
					t.Error("a run that breaks a rule left no logs")
				}
				if found[injected[i].rule] == 0 {
					t.Errorf("fault %s in scenario %s violates the rules %v, want a violation of %s", name, injected[i].scenario, found, injected[i].rule)
				}
			})
			continue
		}
		t.Run(name, func(t *testing.T) {
			r := p.wait(t)
			v := r.Verdict
			if name == "servers" { // without gradual trials, some 25 calls a second go to the new endpoints
				for _, n := range report.Compute(r.Events, v).NewEndpoints {
					if n.HeldAfter == nil || n.FailedCalls == 0 || n.FailedCalls > 50 {
						t.Errorf("endpoints of a version that fails every call: got %+v, want HeldAfter not nil and FailedCalls from 1 to 50", n)
					}
				}
			}
			for _, x := range v.Violations {
				t.Errorf("rule %s violated: relay %d, message %s: %s (history lines %v)", x.Rule, x.Relay, x.ID, x.Text, x.Lines)
			}
			if v.Messages < 300 || v.Calls < 300 {
				t.Errorf("%d messages with an outcome and %d calls, want at least 300 of each for a meaningful run", v.Messages, v.Calls)
			}
		})
	}
}

// No relay process outlives the lab, whichever signal ends it, and a lab that is asked to stop (SIGINT, SIGTERM)
// removes its directory.
func TestNoProcessOrDirRemains(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(sig.String(), func(t *testing.T) {
			t.Parallel()
			tmp := t.TempDir()
			c := exec.Command(labBinary, "lab", "run", "calm", "--quiet", "--relay", relayBinary)
			c.Env = append(os.Environ(), "TMPDIR="+tmp)
			if err := c.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Process.Kill() })
			var children []int
			await(t, "all 8 relays run", func() bool {
				children = childrenOf(c.Process.Pid)
				return len(children) == 8
			})
			if err := c.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
			_ = c.Wait()
			await(t, "all relays have ended", func() bool {
				for _, pid := range children {
					if alive(pid) {
						return false
					}
				}
				return true
			})
			left, err := filepath.Glob(filepath.Join(tmp, runDirPrefix+"*"))
			if err != nil {
				t.Fatal(err)
			}
			if sig != syscall.SIGKILL && len(left) > 0 {
				t.Errorf("run directories left behind after the signal: %v, want none", left)
			}
		})
	}
}

// A run removes the directory of a lab that was killed, and keeps that of a lab that still runs.
func TestStaleRunDirsRemoved(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	dead := exec.Command("true")
	if err := dead.Run(); err != nil {
		t.Fatal(err)
	}
	stale := filepath.Join(os.TempDir(), runDirPrefix+strconv.Itoa(dead.Process.Pid)+"-1")
	running := filepath.Join(os.TempDir(), runDirPrefix+strconv.Itoa(os.Getppid())+"-1")
	for _, dir := range []string{stale, running} {
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := createRunDir(); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(stale); err == nil {
		t.Error("the run directory of a lab that no longer exists was not removed")
	}
	if _, err := os.Stat(running); err != nil {
		t.Errorf("the run directory of a lab that still runs was removed: %v", err)
	}
}

// A relay that fails at its start makes the run fail with an error that quotes the relay's log.
func TestRelayStartFailure(t *testing.T) {
	s := loadScenario(t, "calm")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := Run(ctx, s, Options{Binary: faultyBinary, Env: []string{"LAB_FAULT=no-such-fault"}})
	if err == nil || !strings.Contains(err.Error(), "no-such-fault") {
		t.Errorf("run with a relay that fails at its start: error %v, want one that names no-such-fault", err)
	}
}

// await polls a condition for up to a minute. No test depends on how long it takes.
func await(t *testing.T, what string, true func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !true(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition did not become true within a minute: %s", what)
		}
	}
}

// childrenOf lists the child processes of a process.
func childrenOf(parent int) (pids []int) {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", parent))
	for _, path := range tasks {
		text, _ := os.ReadFile(path)
		for _, field := range strings.Fields(string(text)) {
			if pid, err := strconv.Atoi(field); err == nil {
				pids = append(pids, pid)
			}
		}
	}
	return pids
}

// alive reports whether a process runs. A zombie, which waits to be reaped, does not count.
func alive(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return !strings.HasPrefix(rest, "Z") && !strings.HasPrefix(rest, "X")
}
