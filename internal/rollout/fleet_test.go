package rollout

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"milletsail/internal/compat"
)

// errNoStart is returned by fakeRunner.Update for a program that does not start.
var errNoStart = errors.New("it does not start")

// fakeRunner is a Runner that starts no processes. It records the program of the last successful update.
type fakeRunner struct {
	mu        sync.Mutex
	program   string        // path of the program that the relay would run
	updates   int           // calls of Update that were not cancelled
	startedAt time.Time     // reference of the counters in Metrics
	broken    string        // checksum of a program that does not start
	blocked   chan struct{} // if not nil, updates wait until it is closed
	evacuated []string      // zones that Metrics reports as evacuated
}

func (r *fakeRunner) Update(ctx context.Context, program string) error {
	if r.blocked != nil {
		select {
		case <-r.blocked:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updates++
	if filepath.Base(program) == r.broken {
		return errNoStart
	}
	r.program = program
	return nil
}

// evacuate sets the zones that Metrics reports as evacuated.
func (r *fakeRunner) evacuate(zones ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated = zones
}

func (r *fakeRunner) Metrics() (Metrics, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	completed := int64(time.Since(r.startedAt) / time.Millisecond)
	return Metrics{
		Outcomes:       map[string][outcomeCount]int64{"a": {completed, 0, 0}},
		Pending:        30,
		MemoryMB:       10,
		EvacuatedZones: r.evacuated,
	}, nil
}

// testFleet is a fleet of agents with fake runners, and a plan for their rollout.
type testFleet struct {
	dir        string
	oldProgram string
	newProgram string
	runners    []*fakeRunner
	servers    []*Server
	plan       *Plan
	formats    map[string]compat.FormatVersions // by content of a program; programs without an entry report defaultFormats
}

// defaultFormats is what programs without an entry in testFleet.formats report.
var defaultFormats = compat.FormatVersions{
	Journal: compat.Format{Writes: 2, Reads: []int{1, 2}},
	Gossip:  compat.Format{Writes: 1, Reads: []int{1}},
}

// queryFormats replaces compat.QueryProgram in the agents. A program with zero formats reports an error.
func (f *testFleet) queryFormats(_ context.Context, program string) (compat.FormatVersions, error) {
	content, err := os.ReadFile(program)
	if err != nil {
		return compat.FormatVersions{}, err
	}
	formats, ok := f.formats[string(content)]
	if !ok {
		return defaultFormats, nil
	}
	if formats.Journal.Writes == 0 {
		return formats, errors.New("it does not report its formats")
	}
	return formats, nil
}

func newTestFleet(t *testing.T, relays int) *testFleet {
	t.Helper()
	plan := defaults()
	dir := t.TempDir()
	f := &testFleet{dir: dir, oldProgram: filepath.Join(dir, "old"), newProgram: filepath.Join(dir, "new"), plan: &plan}
	for _, program := range []string{f.oldProgram, f.newProgram} {
		if err := os.WriteFile(program, []byte("program "+filepath.Base(program)), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	plan.Version, plan.BakeTime, plan.MaxBakeTime = f.newProgram, Duration(100*time.Millisecond), Duration(20*time.Second)
	plan.Gate.Interval = Duration(20 * time.Millisecond)
	plan.Stages = []Stage{{Relays: 1}, {Share: 1}}
	for relay := range relays {
		f.addAgent(t, relay)
	}
	return f
}

// agentDir returns the directory of an agent.
func (f *testFleet) agentDir(relay int) string {
	return filepath.Join(f.dir, fmt.Sprint("agent", relay))
}

// addAgent starts the agent of a relay and adds it to the plan. Relays alternate between zones a and b.
func (f *testFleet) addAgent(t *testing.T, relay int) {
	t.Helper()
	runner := &fakeRunner{startedAt: time.Now(), program: f.oldProgram}
	server, err := NewServer(relay, f.agentDir(relay), f.oldProgram, runner)
	if err != nil {
		t.Fatal(err)
	}
	server.queryFormats = f.queryFormats
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	f.runners, f.servers = append(f.runners, runner), append(f.servers, server)
	f.plan.Agents = append(f.plan.Agents, Agent{Relay: relay, Zone: string(rune('a' + relay%2)), Address: address})
}

// start starts a rollout of the fleet's plan.
func (f *testFleet) start(t *testing.T) *Controller {
	t.Helper()
	controller, err := Start(t.Context(), f.stateDir(), f.plan)
	if err != nil {
		t.Fatal(err)
	}
	return controller
}

// stateDir returns the directory of the controller's records.
func (f *testFleet) stateDir() string { return filepath.Join(f.dir, "state") }

// running returns the number of relays that run a program, compared by checksum.
func (f *testFleet) running(t *testing.T, program string) (relays int) {
	t.Helper()
	want := checksum(t, program)
	for _, runner := range f.runners {
		runner.mu.Lock()
		if got, err := Checksum(runner.program); err == nil && got == want {
			relays++
		}
		runner.mu.Unlock()
	}
	return relays
}

// updates returns the total number of updates of all relays.
func (f *testFleet) updates() (updates int) {
	for _, runner := range f.runners {
		updates += runner.updates
	}
	return updates
}

func checksum(t *testing.T, program string) string {
	t.Helper()
	sum, err := Checksum(program)
	if err != nil {
		t.Fatal(err)
	}
	return sum
}

// run runs a controller until its rollout ends, for at most 30 s.
func run(t *testing.T, controller *Controller) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	return controller.Run(ctx)
}
