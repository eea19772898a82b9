// Package lab plays scenarios: real relay processes against the platform's stand-ins, with faults between them, on
// loopback addresses of its own.
//
// It promises that a play leaves nothing behind, neither processes nor folders, however it ends; that its verdict
// comes from the checker alone, which sees nothing but the history; and that a play in which the lab itself was late
// counts as void. One process may play one scenario after another, or several side by side.
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

// Options are what a play needs beside its scenario.
type Options struct {
	Binary   string                 // of the relay
	Env      []string               // added to the relays' environment
	History  string                 // file to write; empty for none that stays
	Logs     string                 // folder that the relays' logs are copied to; empty for none
	Progress func(at time.Duration) // called each second; nil for no calls
	// Beside is run beside the traffic, from its begin until it returns or the traffic has stopped; nil for nothing.
	DuringRun func(ctx context.Context, p *ActiveRun) error
}

// Beside is what runs beside a play has of it.
type ActiveRun struct {
	Scenario *scenario.Scenario
	Relays   []*relays.Relay
	Dir      string // that is removed with the play
	Binary   string // of the relays
}

// Result is a play that came to its end.
type Result struct {
	Scenario *scenario.Scenario
	Events   []history.Event
	Verdict  checker.Verdict
}

// settle is the time after the last message's end in which calls that are still out may end.
const settleTime = 300 * time.Millisecond

// agreeIn is the time in which relays that share should have come to one view, once the traffic has stopped.
const convergenceTime = 3 * time.Second

// folderPrefix begins the names of the lab's folders; the id of its process follows.
const runDirPrefix = "milletsail-lab-"

// Play plays a scenario to its end. An error says that it could not be played, or was broken off by ctx; a broken
// rule is in the verdict.
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
	h.Add(history.Event{T: 1, Kind: history.Run, Facts: runParameters(s)})

	p, err := platform.New(s, h, subnet)
	if err != nil {
		return nil, fmt.Errorf("stand-ins: %w", err)
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
	notes, noteBytes, received := p.DatagramCounts()
	if s.Fleet.Shares {
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
	h.Add(history.Event{Kind: history.End, Events: events, LateN: late, Notes: notes, NoteBytes: noteBytes, Received: received})
	all := h.Events()
	return &Result{s, all, checker.Check(all, false)}, nil
}

// folder makes the folder of a play, and removes those of labs that are gone.
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

// copyLogs keeps the relays' logs.
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

// factsOf is what a checker has to know of a scenario.
func runParameters(s *scenario.Scenario) *history.Facts {
	r, f := &s.Rules, &s.Fleet
	facts := &history.Facts{Title: s.Title, Seed: s.Seed, Relays: f.Relays, MaxAttempts: r.MaxAttempts, Patience: history.M(r.Patience.AsDuration()),
		DrainGrace: history.M(r.DrainGrace.AsDuration()), ColdShare: r.ColdShare, RampTime: history.M(r.RampTime.AsDuration()), OverloadFactor: r.OverloadFactor,
		OverloadFor: history.M(r.OverloadFor.AsDuration()), MemoryMB: f.MemoryMB, DiskMB: f.DiskMB, Sockets: f.Sockets, Length: history.M(s.Length.AsDuration()),
		Classes: map[string]history.Class{}, Hosts: map[string]history.Host{}}
	for _, c := range s.Classes {
		facts.Classes[c.Name] = history.Class{Effect: c.Effect, Group: c.Group, Memory: history.M(c.Memory.AsDuration()), Aim: history.M(c.Aim.AsDuration()),
			Deadline: history.M(c.Deadline.AsDuration()), Worth: c.Worth, LateShare: c.LateShare}
	}
	for r := range f.Relays {
		facts.Zones = append(facts.Zones, f.Zone(r))
	}
	for _, h := range s.Hosts {
		facts.Hosts[h.Name] = history.Host{Dest: h.Dest, Zone: h.Zone}
	}
	return facts
}

// timeline plays the faults of a scenario.
type faultInjector struct {
	s         *scenario.Scenario
	h         *history.Writer
	p         *platform.Platform
	c         *clients.Clients
	fleet     *relays.Fleet
	startTime time.Time
}

// drainFor is how long a draining endpoint stays on the list where the scenario does not say.
const defaultDrainTime = 4 * time.Second

// play waits for the time of a fault, and brings it about and to its end.
func (t *faultInjector) injectAtTime(ctx context.Context, i int) {
	f := &t.s.Faults[i]
	if !clock.Sleep(ctx, time.Until(t.startTime.Add(f.At.AsDuration()))) {
		return
	}
	now := t.h.Now()
	t.h.Add(history.Event{T: now, Kind: history.Fault, What: f.Kind, Zone: f.Zone, Of: i, Until: now + history.M(f.For.AsDuration())})
	slog.Debug("fault", "kind", f.Kind, "at", f.At.AsDuration(), "for", f.For.AsDuration())
	if err := t.inject(ctx, i, f); err != nil && ctx.Err() == nil {
		slog.Error("fault", "kind", f.Kind, "err", err)
	}
}

func (t *faultInjector) inject(ctx context.Context, i int, f *scenario.Fault) error {
	lasting := func(begin, end func()) error {
		begin()
		clock.Sleep(ctx, f.For.AsDuration())
		end()
		return nil
	}
	affected := t.s.StruckRelays(i)
	switch f.Kind {
	case "kill", "wipe", "power", "turn":
		return t.forEachRelay(ctx, affected, f, func(r *relays.Relay) error {
			return r.Kill(ctx, f.For.AsDuration(), func(dir string) error {
				switch f.Kind {
				case "wipe":
					err := r.Wipe(dir)
					t.c.RelayLost(r.No)
					return err
				case "power":
					return r.LosePower(dir)
				case "turn":
					return r.FlipBits(dir, i, int(f.Size))
				}
				return nil
			})
		})
	case "full":
		return t.forEachRelay(ctx, affected, f, func(r *relays.Relay) error { return r.FillDisk(ctx, f.For.AsDuration()) })
	case "restart":
		return t.forEachRelay(ctx, affected, f, func(r *relays.Relay) error { return r.Restart(ctx) })
	case "upgrade":
		return t.forEachRelay(ctx, affected, f, func(r *relays.Relay) error { return r.Upgrade(ctx) })
	case "clock", "clock-back", "calls-fail", "short-io":
		return t.forEachRelay(ctx, affected, f, func(r *relays.Relay) error { return injectShimFault(ctx, r, f) })
	case "evacuate", "restore":
		line := "zone " + f.Kind + " " + f.Of
		if f.Kind == "evacuate" {
			line += " " + f.For.AsDuration().String()
		}
		return t.forEachRelay(ctx, affected, f, func(r *relays.Relay) error {
			if err := r.Order(line); err != nil {
				return err
			}
			now := t.h.Now()
			t.h.Add(history.Event{T: now, Kind: history.Order, Relay: history.N(r.No), What: f.Kind, Zone: f.Of, Until: now + history.M(f.For.AsDuration())})
			return nil
		})
	case "reload":
		return t.forEachRelay(ctx, affected, f, func(r *relays.Relay) error { return r.Reload() })
	case "freeze":
		return t.forEachRelay(ctx, affected, f, func(r *relays.Relay) error { r.Freeze(ctx, f.For.AsDuration()); return nil })
	case "drain", "release-errors", "release-slow":
		return t.drainEndpoints(ctx, i, f)
	case "cut":
		return t.cutLinks(ctx, i, f, affected)
	case "delay":
		hosts := t.s.StruckHosts(i)
		on := func(r, h int) bool { return slices.Contains(affected, r) && slices.Contains(hosts, h) }
		return lasting(func() { t.p.DelayLinks(time.Duration(f.Size*float64(time.Second)), on) }, func() { t.p.DelayLinks(0, on) })
	case "drop-notes", "twin-notes":
		drop, twin := f.Size, 0.0
		if f.Kind == "twin-notes" {
			drop, twin = 0, f.Size
		}
		return lasting(func() { forEach(affected, func(r int) { t.p.ImpairDatagrams(r, drop, twin) }) },
			func() { forEach(affected, func(r int) { t.p.ImpairDatagrams(r, 0, 0) }) })
	case "discovery-late", "discovery-silent", "discovery-busy":
		var late time.Duration
		if f.Kind == "discovery-late" {
			late = time.Duration(f.Size * float64(time.Second))
		}
		return lasting(func() {
			forEach(affected, func(r int) { t.p.SetDiscoveryFaults(r, late, f.Kind == "discovery-silent", f.Kind == "discovery-busy") })
		}, func() { forEach(affected, func(r int) { t.p.SetDiscoveryFaults(r, 0, false, false) }) })
	case "leave":
		return lasting(func() { t.c.SetClientFaults(f.Size, 0) }, func() { t.c.SetClientFaults(0, 0) })
	case "repeat":
		return lasting(func() { t.c.SetClientFaults(0, f.Size) }, func() { t.c.SetClientFaults(0, 0) })
	case "crowd":
		ctx, cancel := context.WithTimeout(ctx, f.For.AsDuration())
		defer cancel()
		t.c.SendMalformed(ctx, i, affected, f.Size)
		return nil
	case "burst", "shift": // in the plan
		return nil
	}
	hosts := t.s.StruckHosts(i)
	return lasting(func() { forEach(hosts, func(h int) { t.p.Impair(i, h, impairmentOf(f)) }) },
		func() { forEach(hosts, func(h int) { t.p.EndImpairment(i, h) }) })
}

func forEach(all []int, do func(int)) {
	for _, n := range all {
		do(n)
	}
}

// troubleOf is what a fault does to an endpoint.
func impairmentOf(f *scenario.Fault) (t platform.Impairment) {
	switch f.Kind {
	case "down":
		t.Down = true
	case "shut":
		t.Refuse, t.Wait = true, f.Wait.AsDuration()
	case "silent":
		t.Silent = true
	case "errors", "release-errors":
		t.Errors = f.Size
	case "slow", "release-slow":
		t.Slow = f.Size
	case "stall":
		t.Stall = f.Size
	case "lose-answers":
		t.DropAnswers = f.Size
	case "reset":
		t.Reset = f.Size
	case "spoil":
		t.Corrupt = f.Size
	}
	return t
}

// relays does something to relays, one a step, or to all at once.
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
		if !clock.Sleep(ctx, f.Step.AsDuration()) {
			break
		}
	}
	work.Wait()
	return all
}

// drain takes endpoints off the list, each with one that takes its place.
func (t *faultInjector) drainEndpoints(ctx context.Context, i int, f *scenario.Fault) error {
	listedFor := f.For.AsDuration()
	if listedFor == 0 {
		listedFor = defaultDrainTime
	}
	for n, h := range t.s.Hosts {
		if h.Born != i+1 {
			continue
		}
		if f.Kind != "drain" { // what takes the place is worse
			t.p.Impair(i, n, impairmentOf(f))
		}
		if err := errors.Join(t.p.SetHealth(n, "SERVING"), t.p.SetHealth(h.Old, "DRAINING")); err != nil {
			return err
		}
		time.AfterFunc(listedFor, func() {
			if ctx.Err() == nil {
				_ = t.p.SetHealth(h.Old, "DELETED")
			}
		})
		if !clock.Sleep(ctx, f.Step.AsDuration()) {
			return nil
		}
	}
	return nil
}

// cut cuts links. With a zone, those that lead into it or out of it; "to" is then into it, "from" out of it.
// Otherwise those between the relays and the endpoints that are named.
func (t *faultInjector) cutLinks(ctx context.Context, i int, f *scenario.Fault, affected []int) error {
	hosts := t.s.StruckHosts(i)
	way := func(direction string) bool {
		return f.Direction == "" || f.Direction == "both" || f.Direction == direction
	}
	zone := func(r int) string { return t.s.Fleet.Zone(r) }
	crosses := func(from, to string) bool {
		return from != to && (from == f.Zone && way("from") || to == f.Zone && way("to"))
	}
	to := func(r, h int) bool { return way("to") && slices.Contains(affected, r) && slices.Contains(hosts, h) }
	from := func(r, h int) bool { return way("from") && slices.Contains(affected, r) && slices.Contains(hosts, h) }
	between := func(int, int) bool { return false }
	if f.Zone != "" {
		to = func(r, h int) bool { return crosses(zone(r), t.s.Hosts[h].Zone) }
		from = func(r, h int) bool { return crosses(t.s.Hosts[h].Zone, zone(r)) }
		between = func(a, b int) bool { return crosses(zone(a), zone(b)) }
	}
	t.p.CutLinks(1, to, from)
	t.p.CutDatagrams(1, between)
	clock.Sleep(ctx, f.For.AsDuration())
	t.p.CutLinks(-1, to, from)
	t.p.CutDatagrams(-1, between)
	return nil
}

// Check reads a history and judges it.
func Check(from io.Reader) ([]history.Event, checker.Verdict, error) {
	events, cut, err := history.Read(from)
	if err != nil {
		return nil, checker.Verdict{}, err
	}
	return events, checker.Check(events, cut), nil
}
