// Package lab runs scenarios: it starts real relay processes against simulated platform services, injects faults
// between them, and uses its own loopback addresses.
//
// A run leaves no processes or directories behind, however it ends. Its verdict comes from the checker alone, which
// reads nothing but the history. A run in which the lab itself was late counts as invalid. One process may run
// several scenarios, in sequence or concurrently.
package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/lab/checker"
	"milletsail/internal/lab/clients"
	"milletsail/internal/lab/history"
	"milletsail/internal/lab/platform"
	"milletsail/internal/lab/relays"
	"milletsail/internal/lab/scenario"
)

// Options configure a run of a scenario.
type Options struct {
	Binary   string                 // path of the relay executable
	Env      []string               // variables added to the relays' environment, as NAME=value
	History  string                 // path of the history file; if empty, the history is deleted with the run's directory
	Logs     string                 // directory that receives a copy of the relays' logs; empty for no copy
	KeepLogs bool                   // without Logs, a run that breaks a rule leaves its logs in a temporary directory
	Progress func(at time.Duration) // called each second with the time since the start; may be nil
	// DuringRun runs concurrently with the load, from its start. Its context ends when the load has ended and the
	// calls in flight have had time to finish. An error fails the run. It may be nil.
	DuringRun func(ctx context.Context, p *ActiveRun) error
}

// ActiveRun describes a run in progress to the function in Options.DuringRun.
type ActiveRun struct {
	Scenario *scenario.Scenario
	Relays   []*relays.Relay
	Dir      string // working directory, removed at the end of the run
	Binary   string // path of the relay executable
}

// Result is the outcome of a completed run.
type Result struct {
	Scenario *scenario.Scenario
	Events   []history.Event
	Verdict  checker.Verdict
	Logs     string // directory with the relays' logs that Options.KeepLogs has left; empty for none
}

// settleTime is the wait after the last message's outcome in which calls in flight may finish.
const settleTime = 300 * time.Millisecond

// convergenceTime is the wait after the load has ended in which relays that gossip should converge on one view.
const convergenceTime = 3 * time.Second

// keptLogsPrefix is the prefix of the names of the directories that Options.KeepLogs leaves.
const keptLogsPrefix = "milletsail-logs-"

// runDirPrefix is the prefix of the names of run directories; the id of the lab's process follows it.
const runDirPrefix = "milletsail-lab-"

// Run runs a scenario to its end. It returns an error if the scenario could not be run or ctx was canceled; violated
// rules are reported in the verdict.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (result *Result, err error) {
	dir, err := createRunDir()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	subnet, err := platform.AcquireSubnet()
	if err != nil {
		return nil, err
	}
	defer subnet.Release()
	path := o.History
	if path == "" {
		path = filepath.Join(dir, "history.jsonl")
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	h := history.NewWriter(file, time.Now())
	defer func() { err = errors.Join(err, h.Close()) }()
	h.Add(history.Event{Time: 1, Kind: history.Run, Parameters: runParameters(s)})

	p, err := platform.New(s, h, subnet)
	if err != nil {
		return nil, fmt.Errorf("opening the simulated platform: %w", err)
	}
	defer p.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := clients.New(ctx, s, h, p, subnet)
	defer c.Close()
	fleet, err := relays.New(s, h, p, subnet, o.Binary, dir, o.Env)
	if err != nil {
		return nil, err
	}
	defer fleet.Stop()
	if o.Logs != "" {
		defer func() { err = errors.Join(err, copyLogs(dir, o.Logs)) }()
	}
	if err := fleet.Start(ctx); err != nil {
		return nil, err
	}
	plan := clients.Plan(s)
	t := &faultInjector{s: s, h: h, p: p, c: c, fleet: fleet, startTime: time.Now()}
	faults, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	var work sync.WaitGroup
	for i := range s.Faults {
		work.Go(func() { t.injectAtTime(faults, i) })
	}
	if o.Progress != nil {
		work.Go(func() {
			for clock.Sleep(faults, time.Second) {
				o.Progress(time.Since(t.startTime))
			}
		})
	}
	var duringErr error
	if o.DuringRun != nil {
		work.Go(func() {
			duringErr = o.DuringRun(faults, &ActiveRun{Scenario: s, Relays: fleet.Relays, Dir: dir, Binary: o.Binary})
		})
	}
	c.Run(plan)
	clock.Sleep(ctx, settleTime)
	datagrams, datagramBytes, received := p.DatagramCounts()
	if s.Fleet.ShareFacts {
		clock.Sleep(ctx, convergenceTime)
		fleet.RecordViews()
	}
	stopFaults()
	work.Wait()
	if err := errors.Join(ctx.Err(), duringErr); err != nil {
		return nil, err
	}
	fleet.Stop()
	events, late := c.TimingCounts()
	h.Add(history.Event{Kind: history.End, TimedEvents: events, LateEvents: late, GossipSent: datagrams, GossipBytes: datagramBytes, GossipReceived: received})
	all := h.Events()
	result = &Result{Scenario: s, Events: all, Verdict: checker.Check(all, false)}
	if o.KeepLogs && o.Logs == "" && len(result.Verdict.Violations) > 0 {
		result.Logs, err = keepLogs(dir)
	}
	return result, err
}

// createRunDir creates the directory of a run and removes those of lab processes that no longer exist.
func createRunDir() (string, error) {
	old, _ := filepath.Glob(filepath.Join(os.TempDir(), runDirPrefix+"*"))
	for _, dir := range old {
		id, _, _ := strings.Cut(strings.TrimPrefix(filepath.Base(dir), runDirPrefix), "-")
		if pid, err := strconv.Atoi(id); err == nil && errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) {
			_ = os.RemoveAll(dir)
		}
	}
	return os.MkdirTemp("", runDirPrefix+strconv.Itoa(os.Getpid())+"-")
}

// keepLogs copies the logs of the relays to a new temporary directory, and returns its path.
func keepLogs(dir string) (string, error) {
	kept, err := os.MkdirTemp("", keptLogsPrefix)
	if err != nil {
		return "", err
	}
	return kept, copyLogs(dir, kept)
}

// copyLogs copies the log of each relay from the run's directory to to, as NAME.log.
func copyLogs(dir, to string) error {
	if err := os.MkdirAll(to, 0o755); err != nil {
		return err
	}
	logs, err := filepath.Glob(filepath.Join(dir, "n*", "log"))
	if err != nil {
		return err
	}
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err == nil {
			err = os.WriteFile(filepath.Join(to, filepath.Base(filepath.Dir(path))+".log"), text, 0o644)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// runParameters returns the parameters of a scenario that the checker and the report need; they are the first entry of the history.
func runParameters(s *scenario.Scenario) *history.Parameters {
	r, f := &s.Rules, &s.Fleet
	facts := &history.Parameters{Title: s.Title, Seed: s.Seed, Relays: f.Relays, MaxAttempts: r.MaxAttempts, Patience: history.ToMicros(r.ClientTimeout.AsDuration()),
		DrainGrace: history.ToMicros(r.DrainGrace.AsDuration()), ColdShare: r.ColdShare, RampTime: history.ToMicros(r.RampTime.AsDuration()), OverloadFactor: r.OverloadFactor,
		OverloadFor: history.ToMicros(r.OverloadFor.AsDuration()), MemoryMB: f.MemoryMB, DiskMB: f.DiskMB, Sockets: f.Sockets, ArrivalsLength: history.ToMicros(s.Length.AsDuration()),
		Classes: map[string]history.Class{}, Hosts: map[string]history.Host{}}
	for _, c := range s.Classes {
		facts.Classes[c.Name] = history.Class{Effect: c.Effect, Group: c.Group, Memory: history.ToMicros(c.Memory.AsDuration()), Target: history.ToMicros(c.Target.AsDuration()),
			Deadline: history.ToMicros(c.Deadline.AsDuration()), Worth: c.Worth, LateShare: c.LateShare}
	}
	for r := range f.Relays {
		facts.Zones = append(facts.Zones, f.Zone(r))
	}
	for _, h := range s.Hosts {
		facts.Hosts[h.Name] = history.Host{Dest: h.Dest, Zone: h.Zone, Replaces: h.AddedByFault > 0}
	}
	return facts
}

// faultInjector injects the faults of a scenario at their times.
type faultInjector struct {
	s         *scenario.Scenario
	h         *history.Writer
	p         *platform.Platform
	c         *clients.Clients
	fleet     *relays.Fleet
	startTime time.Time
}

// defaultDrainTime is how long a draining endpoint stays on the list if the scenario sets no duration.
const defaultDrainTime = 4 * time.Second

// injectAtTime waits for the start time of fault i and injects it until its duration has passed.
func (t *faultInjector) injectAtTime(ctx context.Context, i int) {
	f := &t.s.Faults[i]
	if !clock.Sleep(ctx, time.Until(t.startTime.Add(f.At.AsDuration()))) {
		return
	}
	now := t.h.Now()
	t.h.Add(history.Event{Time: now, Kind: history.Fault, Detail: f.Kind, Zone: f.Zone, FaultIndex: i, EndTime: now + history.ToMicros(f.Duration.AsDuration())})
	slog.Debug("injecting fault", "kind", f.Kind, "at", f.At.AsDuration(), "for", f.Duration.AsDuration())
	if err := t.inject(ctx, i, f); err != nil && ctx.Err() == nil {
		slog.Error("injecting fault failed", "kind", f.Kind, "err", err)
	}
}

// inject injects fault i, waits for its duration if it has one, and ends it.
func (t *faultInjector) inject(ctx context.Context, i int, f *scenario.Fault) error {
	forDuration := func(begin, end func()) error {
		begin()
		clock.Sleep(ctx, f.Duration.AsDuration())
		end()
		return nil
	}
	affected := t.s.AffectedRelays(i)
	switch f.Kind {
	case "kill", "wipe", "power", "turn":
		return t.forEachRelay(ctx, affected, f, func(r *relays.Relay) error {
			return r.Kill(ctx, f.Duration.AsDuration(), func(dir string) error {
				switch f.Kind {
				case "wipe":
					err := r.Wipe(dir)
					t.c.RelayLost(r.No)
					return err
				case "power":
					return r.LosePower(dir)
				case "turn":
					return r.FlipBits(dir, i, int(f.Magnitude))
				}
				return nil
			})
		})
	case "full":
		return t.forEachRelay(ctx, affected, f, func(r *relays.Relay) error { return r.FillDisk(ctx, f.Duration.AsDuration()) })
	case "restart":
		return t.forEachRelay(ctx, affected, f, func(r *relays.Relay) error { return r.Restart(ctx) })
	case "upgrade":
		return t.forEachRelay(ctx, affected, f, func(r *relays.Relay) error { return r.Upgrade(ctx) })
	case "clock", "clock-back", "calls-fail", "short-io":
		return t.forEachRelay(ctx, affected, f, func(r *relays.Relay) error { return injectShimFault(ctx, r, f) })
	case "evacuate", "restore":
		line := "zone " + f.Kind + " " + f.OrderZone
		if f.Kind == "evacuate" {
			line += " " + f.Duration.AsDuration().String()
		}
		return t.forEachRelay(ctx, affected, f, func(r *relays.Relay) error {
			if err := r.Order(line); err != nil {
				return err
			}
			now := t.h.Now()
			t.h.Add(history.Event{Time: now, Kind: history.Order, Relay: history.IntPtr(r.No), Detail: f.Kind, Zone: f.OrderZone, EndTime: now + history.ToMicros(f.Duration.AsDuration())})
			return nil
		})
	case "reload":
		return t.forEachRelay(ctx, affected, f, func(r *relays.Relay) error { return r.Reload() })
	case "freeze":
		return t.forEachRelay(ctx, affected, f, func(r *relays.Relay) error { r.Freeze(ctx, f.Duration.AsDuration()); return nil })
	case "drain", "release-errors", "release-slow":
		return t.drainEndpoints(ctx, i, f)
	case "cut":
		return t.cutLinks(ctx, i, f, affected)
	case "delay":
		hosts := t.s.AffectedEndpoints(i)
		on := func(r, h int) bool { return slices.Contains(affected, r) && slices.Contains(hosts, h) }
		return forDuration(func() { t.p.DelayLinks(time.Duration(f.Magnitude*float64(time.Second)), on) }, func() { t.p.DelayLinks(0, on) })
	case "drop-notes", "twin-notes":
		drop, duplicate := f.Magnitude, 0.0
		if f.Kind == "twin-notes" {
			drop, duplicate = 0, f.Magnitude
		}
		return forDuration(func() { forEach(affected, func(r int) { t.p.ImpairDatagrams(r, drop, duplicate) }) },
			func() { forEach(affected, func(r int) { t.p.ImpairDatagrams(r, 0, 0) }) })
	case "discovery-late", "discovery-silent", "discovery-busy":
		var late time.Duration
		if f.Kind == "discovery-late" {
			late = time.Duration(f.Magnitude * float64(time.Second))
		}
		return forDuration(func() {
			forEach(affected, func(r int) { t.p.SetDiscoveryFaults(r, late, f.Kind == "discovery-silent", f.Kind == "discovery-busy") })
		}, func() { forEach(affected, func(r int) { t.p.SetDiscoveryFaults(r, 0, false, false) }) })
	case "leave":
		return forDuration(func() { t.c.SetClientFaults(f.Magnitude, 0) }, func() { t.c.SetClientFaults(0, 0) })
	case "repeat":
		return forDuration(func() { t.c.SetClientFaults(0, f.Magnitude) }, func() { t.c.SetClientFaults(0, 0) })
	case "crowd":
		ctx, cancel := context.WithTimeout(ctx, f.Duration.AsDuration())
		defer cancel()
		t.c.SendMalformed(ctx, i, affected, f.Magnitude)
		return nil
	case "burst", "shift": // clients.Plan applies these to the arrivals
		return nil
	}
	hosts := t.s.AffectedEndpoints(i)
	return forDuration(func() { forEach(hosts, func(h int) { t.p.Impair(i, h, impairmentOf(f)) }) },
		func() { forEach(hosts, func(h int) { t.p.EndImpairment(i, h) }) })
}

func forEach(all []int, do func(int)) {
	for _, n := range all {
		do(n)
	}
}

// impairmentOf returns the effect of a fault on each endpoint that it affects.
func impairmentOf(f *scenario.Fault) (t platform.Impairment) {
	switch f.Kind {
	case "down":
		t.Down = true
	case "shut":
		t.Refuse, t.Wait = true, f.Wait.AsDuration()
	case "silent":
		t.Silent = true
	case "errors", "release-errors":
		t.Errors = f.Magnitude
	case "slow", "release-slow":
		t.Slow = f.Magnitude
	case "stall":
		t.Stall = f.Magnitude
	case "lose-answers":
		t.DropAnswers = f.Magnitude
	case "reset":
		t.Reset = f.Magnitude
	case "spoil":
		t.Corrupt = f.Magnitude
	}
	return t
}

// forEachRelay calls do concurrently for each affected relay, starting one every f.Stagger, and returns the joined
// errors.
func (t *faultInjector) forEachRelay(ctx context.Context, affected []int, f *scenario.Fault, do func(*relays.Relay) error) error {
	var mu sync.Mutex
	var all error
	var work sync.WaitGroup
	for _, r := range affected {
		work.Go(func() {
			err := do(t.fleet.Relays[r])
			mu.Lock()
			defer mu.Unlock()
			all = errors.Join(all, err)
		})
		if !clock.Sleep(ctx, f.Stagger.AsDuration()) {
			break
		}
	}
	work.Wait()
	return all
}

// drainEndpoints drains the affected endpoints one every f.Stagger: it lists the replacement of each as serving, marks
// the old endpoint as draining, and deletes it from the list later.
func (t *faultInjector) drainEndpoints(ctx context.Context, i int, f *scenario.Fault) error {
	listedFor := f.Duration.AsDuration()
	if listedFor == 0 {
		listedFor = defaultDrainTime
	}
	for n, h := range t.s.Hosts {
		if h.AddedByFault != i+1 {
			continue
		}
		if f.Kind != "drain" { // a faulty release: the replacement has the impairment
			t.p.Impair(i, n, impairmentOf(f))
		}
		if err := errors.Join(t.p.SetHealth(n, "SERVING"), t.p.SetHealth(h.Replaces, "DRAINING")); err != nil {
			return err
		}
		time.AfterFunc(listedFor, func() {
			if ctx.Err() == nil {
				_ = t.p.SetHealth(h.Replaces, "DELETED")
			}
		})
		if !clock.Sleep(ctx, f.Stagger.AsDuration()) {
			return nil
		}
	}
	return nil
}

// cutLinks blocks links for the duration of a fault. With a zone, it blocks the links that cross the zone's border:
// direction "to" blocks traffic into the zone, "from" traffic out of it. Without a zone, it blocks the links between
// the affected relays and endpoints.
func (t *faultInjector) cutLinks(ctx context.Context, i int, f *scenario.Fault, affected []int) error {
	hosts := t.s.AffectedEndpoints(i)
	applies := func(direction string) bool {
		return f.Direction == "" || f.Direction == "both" || f.Direction == direction
	}
	zone := func(r int) string { return t.s.Fleet.Zone(r) }
	crosses := func(from, to string) bool {
		return from != to && (from == f.Zone && applies("from") || to == f.Zone && applies("to"))
	}
	to := func(r, h int) bool { return applies("to") && slices.Contains(affected, r) && slices.Contains(hosts, h) }
	from := func(r, h int) bool {
		return applies("from") && slices.Contains(affected, r) && slices.Contains(hosts, h)
	}
	between := func(int, int) bool { return false }
	if f.Zone != "" {
		to = func(r, h int) bool { return crosses(zone(r), t.s.Hosts[h].Zone) }
		from = func(r, h int) bool { return crosses(t.s.Hosts[h].Zone, zone(r)) }
		between = func(a, b int) bool { return crosses(zone(a), zone(b)) }
	}
	t.p.CutLinks(1, to, from)
	t.p.CutDatagrams(1, between)
	clock.Sleep(ctx, f.Duration.AsDuration())
	t.p.CutLinks(-1, to, from)
	t.p.CutDatagrams(-1, between)
	return nil
}

// Check reads a history and returns its events and the checker's verdict.
func Check(from io.Reader) ([]history.Event, checker.Verdict, error) {
	events, cut, err := history.Read(from)
	if err != nil {
		return nil, checker.Verdict{}, err
	}
	return events, checker.Check(events, cut), nil
}
