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

// The programs that the tests play with, built as they are released.
var relayBinary, faultyBinary, labBinary string

// shimBinary is the relay with a wall clock that can be stepped and system calls that can be made to fail.
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

// mostVoid plays in a row may be void: another program had the processors. A void play is no verdict of either kind.
const maxInvalidRuns = 6

// alone is for a play that is repeated: the ones beside it may have been what made the lab late.
var retryLock sync.Mutex

// atOnce bounds the plays side by side: they mostly wait, but each that comes late is played again, alone.
var runSlots = make(chan bool, 5)

// playing is a play that has been begun.
type pendingRun struct {
	result *Result
	err    error
	done   chan bool
}

// begin begins a play, which is repeated until it counts.
func startRun(t *testing.T, name string, o Options) *pendingRun {
	t.Helper()
	s, p := loadScenario(t, name), &pendingRun{done: make(chan bool)}
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
			if p.err != nil || p.result.Verdict.Void == "" {
				return
			}
		}
		p.err = fmt.Errorf("%d plays are void: %s", maxInvalidRuns, p.result.Verdict.Void)
	}()
	return p
}

// end waits for a play.
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

// The relay keeps all rules while relays are killed, a zone is cut off, destinations fail, endpoints drain, machines
// are lost, processes are replaced, clients misbehave, and journals are cut back, damaged and full; and a relay with a
// fault planted is caught.
func TestScenariosKeepRules(t *testing.T) {
	runs := map[string]*pendingRun{}
	for _, name := range []string{"herd", "zone", "outage", "drain", "upgrade", "wipe", "clients", "order", "servers"} {
		runs[name] = startRun(t, name, Options{Binary: relayBinary})
	}
	// Only a relay whose syncs are noted can lose power.
	runs["recovery"] = startRun(t, "recovery", Options{Binary: faultyBinary, Env: []string{"LAB_FAULT=none"}})
	planted := []struct{ fault, scenario, rule string }{
		{"second-copy", "calm", checker.SecondCopy},
		{"late-end", "overload", checker.Lost},
		{"ignored-drain", "drain", checker.Drain},
		{"ignored-wait", "outage", checker.Wait},
		{"ignored-error", "outage", checker.Repeat},
		{"lost-entry", "herd", checker.Lost},
		{"no-sync", "recovery", checker.Lost},
	}
	for _, c := range planted {
		runs[c.fault] = startRun(t, c.scenario, Options{Binary: faultyBinary, Env: []string{"LAB_FAULT=" + c.fault}})
	}
	for name, p := range runs {
		if i := slices.IndexFunc(planted, func(c struct{ fault, scenario, rule string }) bool { return c.fault == name }); i >= 0 {
			t.Run(name, func(t *testing.T) {
				found := map[string]int{}
				for _, x := range p.wait(t).Verdict.Violations {
					found[x.Rule]++
				}
				if found[planted[i].rule] == 0 {
					t.Errorf("%s on %s breaks %v, and not %s", name, planted[i].scenario, found, planted[i].rule)
				}
			})
			continue
		}
		t.Run(name, func(t *testing.T) {
			r := p.wait(t)
			v := r.Verdict
			if name == "servers" { // without proving themselves, some 25 calls a second go there
				for _, n := range report.Of(r.Events, v).Newcomers {
					if n.Held == nil || n.Failed == 0 || n.Failed > 50 {
						t.Errorf("a version that fails every call: %+v", n)
					}
				}
			}
			for _, x := range v.Violations {
				t.Errorf("%s: relay %d, message %s: %s (lines %v)", x.Rule, x.Relay, x.ID, x.Text, x.Lines)
			}
			if v.Messages < 300 || v.Calls < 300 {
				t.Errorf("%d messages followed to their end, %d calls: the play shows little", v.Messages, v.Calls)
			}
		})
	}
}

// Whatever ends the lab, its relays end with it, and a lab that is told to end leaves no folder.
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
			await(t, "all relays run", func() bool {
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
				t.Errorf("left behind: %v", left)
			}
		})
	}
}

// The folder of a lab that was killed goes with the next one's start, that of one that runs stays.
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
		t.Error("the folder of a lab that is gone stays")
	}
	if _, err := os.Stat(running); err != nil {
		t.Error(err)
	}
}

// A relay that does not start is an error with its own words, and what it was given is taken away.
func TestRelayStartFailure(t *testing.T) {
	s := loadScenario(t, "calm")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := Run(ctx, s, Options{Binary: faultyBinary, Env: []string{"LAB_FAULT=no-such-fault"}})
	if err == nil || !strings.Contains(err.Error(), "no-such-fault") {
		t.Errorf("%v", err)
	}
}

// await waits for something to come true; how long that takes decides nothing.
func await(t *testing.T, what string, true func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !true(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// childrenOf lists the processes that a process has started.
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

// alive tells whether a process runs; one that has ended may still wait to be reaped.
func alive(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return !strings.HasPrefix(rest, "Z") && !strings.HasPrefix(rest, "X")
}
