// Package relays runs the relays of a lab, which are processes of the relay's own executable with a persistent
// directory each, and does to them what an operator or a failing machine would.
//
// It signals only processes that it started, by their ids. None of them outlives the lab, however that ends: the
// kernel kills them when the thread that started them exits. Starts, exits and signals are in the history before a
// relay can act on them. The methods of Relay may be called from any goroutine.
package relays

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"milletsail/internal/admin"
	"milletsail/internal/clock"
	"milletsail/internal/lab/history"
	"milletsail/internal/lab/platform"
	"milletsail/internal/lab/scenario"
	"milletsail/internal/lab/shim"
	"milletsail/internal/procfs"
)

const (
	// killDelay is the time from SIGTERM to SIGKILL, restartDelay from the end of a process to the next start.
	killDelay    = 3700 * time.Millisecond
	restartDelay = 600 * time.Millisecond
	// upgradeTimeout is how long the new process of an upgrade has until it must accept clients.
	upgradeTimeout = 6 * time.Second
	// startTimeout is the time after which a start without readiness counts as failed.
	startTimeout = 15 * time.Second
	// pollInterval is the time between readiness checks.
	pollInterval = 20 * time.Millisecond
	// usageInterval is the time between readings of a relay's resource usage.
	usageInterval = time.Second
)

// Fleet is the set of relays of one run.
type Fleet struct {
	Relays []*Relay

	s      *scenario.Scenario
	h      *history.Writer
	p      *platform.Platform
	subnet *platform.Subnet
	binary string
	env    []string
	spawn  chan func()
	ctx    context.Context
	stop   context.CancelFunc
	work   sync.WaitGroup
	ended  sync.Once
}

// Relay is one relay across all its processes.
type Relay struct {
	No    int
	Shim  *shim.Control // fault control of all its processes; only a relay built with package shim reads it
	fleet *Fleet
	dir   string

	mu       sync.Mutex
	socket   *os.File // client listener that the lab holds for the relay; nil without shared sockets
	starts   int
	program  string   // executable of the next process if a rollout has changed it; empty for the fleet's
	current  *process // latest process, which serves or is starting
	heldDown bool     // a fault keeps the relay from running
}

// process is one process of a relay.
type process struct {
	cmd          *exec.Cmd
	admin        string
	exited       chan struct{}
	exitExpected bool // an exit is expected and is not a crash
	ready        bool
	// reloadWhenReady is whether the configuration has changed since the process was started.
	reloadWhenReady bool
	log             *os.File
}

// New prepares the relays with their directories below dir and starts none. env is added to the processes'
// environment.
func New(s *scenario.Scenario, h *history.Writer, p *platform.Platform, subnet *platform.Subnet, binary, dir string, env []string) (*Fleet, error) {
	binary, err := filepath.Abs(binary)
	if err != nil {
		return nil, err
	}
	f := &Fleet{s: s, h: h, p: p, subnet: subnet, binary: binary, env: env, spawn: make(chan func())}
	f.ctx, f.stop = context.WithCancel(context.Background())
	for i := range s.Fleet.Relays {
		r := &Relay{No: i, fleet: f, dir: filepath.Join(dir, fmt.Sprintf("n%d", i))}
		f.Relays = append(f.Relays, r)
		for _, sub := range []string{"state", "tmp"} {
			if err := os.MkdirAll(filepath.Join(r.dir, sub), 0o700); err != nil {
				return nil, err
			}
		}
		if r.Shim, err = shim.NewControl(filepath.Join(r.dir, "shim")); err != nil {
			return nil, err
		}
		if s.Fleet.SharedSocket {
			if err := r.holdSocket(); err != nil {
				return nil, err
			}
		}
	}
	go f.spawner()
	return f, nil
}

// spawner starts all processes from one thread that lives as long as the lab, since the kernel kills the processes
// when that thread exits.
func (f *Fleet) spawner() {
	runtime.LockOSThread()
	for start := range f.spawn {
		start()
	}
}

// holdSocket opens the client listener on behalf of the relay, which inherits it.
func (r *Relay) holdSocket() error {
	l, err := net.Listen("tcp", r.fleet.subnet.Clients(r.No))
	if err != nil {
		return err
	}
	defer l.Close()
	r.socket, err = l.(*net.TCPListener).File()
	return err
}

// Start starts all relays and waits until each accepts clients.
func (f *Fleet) Start(ctx context.Context) error {
	var mu sync.Mutex
	var all error
	var work sync.WaitGroup
	limit := make(chan bool, 2*runtime.NumCPU())
	for _, r := range f.Relays {
		work.Go(func() {
			limit <- true
			defer func() { <-limit }()
			err := r.start(ctx)
			mu.Lock()
			defer mu.Unlock()
			all = errors.Join(all, err)
		})
	}
	work.Wait()
	f.work.Go(f.watchUsage)
	return all
}

// Stop kills all relays and waits until they have exited. Further calls do nothing.
func (f *Fleet) Stop() { f.ended.Do(f.end) }

func (f *Fleet) end() {
	f.stop()
	for _, r := range f.Relays {
		r.mu.Lock()
		p := r.current
		r.mu.Unlock()
		if p != nil {
			r.end(p, syscall.SIGKILL)
		}
	}
	f.work.Wait()
	for _, r := range f.Relays {
		if r.socket != nil {
			_ = r.socket.Close()
		}
	}
	close(f.spawn)
}

// recordEvent adds an event of this relay to the history.
func (r *Relay) recordEvent(what string) {
	r.fleet.h.Add(history.Event{Kind: history.Relay, Relay: history.IntPtr(r.No), Detail: what})
}

// launch starts a process and does not wait until it is ready.
func (r *Relay) launch() (*process, error) {
	f := r.fleet
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writeConfig(); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command(cmp.Or(r.program, f.binary)), admin: f.subnet.Admin(r.No, r.starts), exited: make(chan struct{}), log: log}
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = r.dir, log, log
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + filepath.Join(r.dir, "tmp"), "NODE_NAME=" + fmt.Sprintf("n%d", r.No),
		"NODE_LISTEN=" + f.subnet.Clients(r.No), "NODE_DISCOVERY=" + f.p.DiscoveryAddress(r.No),
		"NODE_STATE=" + filepath.Join(r.dir, "state"), "NODE_CONFIG=" + r.configPath(), "NODE_ADMIN=" + p.admin,
		shim.Variable + "=" + r.Shim.Path()}, f.env...)
	if r.socket != nil {
		p.cmd.ExtraFiles, p.cmd.Env = []*os.File{r.socket}, append(p.cmd.Env, "NODE_FD=3")
	}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	r.recordEvent("started")
	started := make(chan error)
	f.spawn <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("starting relay %d: %w", r.No, err)
	}
	r.current = p
	f.work.Go(func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		r.mu.Lock()
		expected, stopped := p.exitExpected, f.ctx.Err() != nil
		r.mu.Unlock()
		if !stopped {
			what := "ended"
			if !expected {
				what = "crashed"
			}
			f.h.Add(history.Event{Kind: history.Relay, Relay: history.IntPtr(r.No), Detail: what, Status: p.cmd.ProcessState.String()})
		}
		close(p.exited)
	})
	return p, nil
}

// start starts a process and waits until it accepts clients.
func (r *Relay) start(ctx context.Context) error {
	p, err := r.launch()
	if err != nil {
		return err
	}
	return r.await(ctx, p, startTimeout, func() bool { return healthy(r.fleet.subnet.Clients(r.No)) })
}

// await waits until a process is ready. It returns nil as well if the process exits while an exit is expected.
func (r *Relay) await(ctx context.Context, p *process, within time.Duration, ready func() bool) error {
	for end := time.Now().Add(within); ; {
		if ready() {
			r.mu.Lock()
			p.ready = true
			reload := p.reloadWhenReady
			r.mu.Unlock()
			r.recordEvent("ready")
			if reload {
				return r.signalReload(p)
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.fleet.ctx.Done():
			return context.Canceled
		case <-p.exited:
			r.mu.Lock()
			expected := p.exitExpected
			r.mu.Unlock()
			if expected {
				return nil
			}
			r.recordEvent("refused-start")
			return fmt.Errorf("relay %d exited at its start; end of its log: %s", r.No, r.lastLogLine())
		case <-time.After(pollInterval):
		}
		if time.Now().After(end) {
			r.recordEvent("refused-start")
			return fmt.Errorf("relay %d does not accept clients within %v; end of its log: %s", r.No, within, r.lastLogLine())
		}
	}
}

// lastLogLine returns the last line of the relay's log.
func (r *Relay) lastLogLine() string {
	text, _ := os.ReadFile(filepath.Join(r.dir, "log"))
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return string(lines[len(lines)-1])
}

// healthy reports whether a relay accepts clients, as it says itself.
func healthy(addr string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + "/_health")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// acceptsClients reports whether a process accepts clients, by its admin endpoint.
func acceptsClients(address string) bool {
	reply, err := ask(address, "health")
	return err == nil && strings.HasPrefix(reply, "OK")
}

// ask sends one command line to the admin endpoint at address and returns the reply.
func ask(address, line string) (string, error) {
	return admin.Call(context.Background(), address, line, time.Second)
}

// Admin is the address of the admin endpoint of the latest process; empty if there is none.
func (r *Relay) Admin() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil {
		return ""
	}
	return r.current.admin
}

// PID is the id of the latest process, or 0 if there is none.
func (r *Relay) PID() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil {
		return 0
	}
	return r.current.cmd.Process.Pid
}

// end sends a process a signal that should end it and waits for its exit, with SIGKILL after killDelay.
func (r *Relay) end(p *process, sig syscall.Signal) {
	r.mu.Lock()
	p.exitExpected = true
	r.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
	select {
	case <-p.exited:
		return
	case <-time.After(killDelay):
	case <-r.fleet.ctx.Done():
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// servingProcess is the latest process, or nil while a fault keeps the relay down.
func (r *Relay) servingProcess() *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heldDown {
		return nil
	}
	return r.current
}

// markDown marks a relay as kept down by a fault; it returns false if another fault has done so already.
func (r *Relay) markDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heldDown {
		return false
	}
	r.heldDown = true
	return true
}

// restartAfter waits, clears the mark that markDown set, and starts the relay.
func (r *Relay) restartAfter(ctx context.Context, after time.Duration) error {
	if !clock.Sleep(ctx, after) {
		return ctx.Err()
	}
	r.mu.Lock()
	r.heldDown = false
	r.mu.Unlock()
	return r.start(ctx)
}

// Kill kills a relay with SIGKILL and starts it again after a while. In between it calls do, which may be nil, with
// the relay's state directory.
func (r *Relay) Kill(ctx context.Context, after time.Duration, do func(dir string) error) error {
	p := r.servingProcess()
	if p == nil || !r.markDown() {
		return nil
	}
	r.recordEvent("killed")
	r.end(p, syscall.SIGKILL)
	if do != nil {
		if err := do(filepath.Join(r.dir, "state")); err != nil {
			return err
		}
	}
	if after <= 0 {
		after = restartDelay
	}
	return r.restartAfter(ctx, after)
}

// Wipe empties the state directory of a relay that is down and records that.
func (r *Relay) Wipe(dir string) error {
	defer r.recordEvent("wiped")
	return errors.Join(os.RemoveAll(dir), os.MkdirAll(dir, 0o700))
}

// Restart ends a relay with SIGTERM and starts it again.
func (r *Relay) Restart(ctx context.Context) error {
	p := r.servingProcess()
	if p == nil || !r.markDown() {
		return nil
	}
	r.recordEvent("term")
	r.end(p, syscall.SIGTERM)
	return r.restartAfter(ctx, restartDelay)
}

// Freeze suspends a relay's process for a while, with SIGSTOP.
func (r *Relay) Freeze(ctx context.Context, d time.Duration) {
	p := r.servingProcess()
	if p == nil {
		return
	}
	r.recordEvent("frozen")
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	clock.Sleep(ctx, d)
	r.recordEvent("thawed")
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// Reload moves a relay's discovery, writes a configuration with the new address, and sends SIGHUP. A process that is
// starting may have read the old configuration, and gets the signal once it is ready.
func (r *Relay) Reload() error {
	p := r.servingProcess()
	if p == nil {
		return nil
	}
	if err := r.fleet.p.MoveDiscovery(r.No); err != nil {
		return err
	}
	r.mu.Lock()
	ready := p.ready
	p.reloadWhenReady = !ready
	err := r.writeConfig()
	r.mu.Unlock()
	if err != nil || !ready {
		return err
	}
	return r.signalReload(p)
}

// signalReload sends SIGHUP to a process of a relay.
func (r *Relay) signalReload(p *process) error {
	r.recordEvent("hup")
	return p.cmd.Process.Signal(syscall.SIGHUP)
}

// Upgrade starts a new process beside the one that serves, waits until it accepts clients, and ends the old one with
// SIGTERM.
func (r *Relay) Upgrade(ctx context.Context) error {
	old := r.servingProcess()
	if old == nil {
		return nil
	}
	r.mu.Lock()
	old.exitExpected = true // it exits by itself once the new process has taken over
	r.mu.Unlock()
	p, err := r.launch()
	if err != nil {
		return err
	}
	if err := r.await(ctx, p, upgradeTimeout, func() bool { return acceptsClients(p.admin) }); err != nil {
		return err
	}
	r.recordEvent("term")
	r.end(old, syscall.SIGTERM)
	return nil
}

// watchUsage periodically records the resource usage of each relay and what its admin endpoint reports about zones, new
// endpoints and the fleet.
func (f *Fleet) watchUsage() {
	for n := 0; clock.Sleep(f.ctx, usageInterval); n++ {
		for _, r := range f.Relays {
			if p := r.servingProcess(); p != nil {
				if e, err := r.usage(p); err == nil {
					f.h.Add(e)
				}
				if f.s.Fleet.ZoneAware && (n+r.No)%(1+len(f.Relays)/concurrentQueries) == 0 {
					f.work.Go(func() { r.recordZones(p) })
				}
				if f.s.Fleet.ProveNewEndpoints {
					f.work.Go(func() { r.recordServers(p) })
				}
				if f.s.Fleet.ShareFacts && (n+r.No)%(1+len(f.Relays)/concurrentQueries) == 0 {
					f.work.Go(func() { r.recordView(p, "") })
				}
			}
		}
	}
}

// concurrentQueries is about the number of relays asked for their view at a time: asking must not distort what is
// measured.
const concurrentQueries = 50

// RecordViews records the last view of a run: what each running relay believes about the fleet.
func (f *Fleet) RecordViews() {
	var work sync.WaitGroup
	for _, r := range f.Relays {
		if p := r.servingProcess(); p != nil {
			work.Go(func() { r.recordView(p, history.LastView) })
		}
	}
	work.Wait()
}

// queryJSON asks a process for a JSON report at its admin endpoint. It returns false if the process does not answer,
// as when it starts or exits.
func queryJSON(p *process, line string, into any) bool {
	reply, err := ask(p.admin, line)
	return err == nil && json.Unmarshal([]byte(reply), into) == nil
}

// recordZones records the states of zones at a process, from its admin endpoint.
func (r *Relay) recordZones(p *process) {
	var s struct {
		CutOff bool `json:"cut_off"`
		Zones  []struct {
			Zone        string `json:"zone"`
			State       string `json:"state"`
			Evacuations int    `json:"evacuations"`
			Returns     int    `json:"returns"`
		} `json:"zones"`
	}
	if !queryJSON(p, "zone status", &s) {
		return
	}
	e := history.Event{Kind: history.Zones, Relay: history.IntPtr(r.No), Isolated: s.CutOff, Zones: map[string]history.ZoneState{}}
	for _, z := range s.Zones {
		e.Zones[z.Zone] = history.ZoneState{State: z.State, Evacuations: z.Evacuations, Returns: z.Returns}
	}
	r.fleet.h.Add(e)
}

// recordServers records the trials of new endpoints at a process, from its admin endpoint.
func (r *Relay) recordServers(p *process) {
	var s struct {
		Servers []struct {
			Endpoint string `json:"endpoint"`
			Stage    int    `json:"stage"`
			Holds    int    `json:"holds"`
		} `json:"servers"`
	}
	if !queryJSON(p, "servers", &s) || len(s.Servers) == 0 {
		return
	}
	e := history.Event{Kind: history.Servers, Relay: history.IntPtr(r.No), Trials: map[string]history.TrialState{}}
	for _, t := range s.Servers {
		e.Trials[t.Endpoint] = history.TrialState{Stage: t.Stage, Holds: t.Holds}
	}
	r.fleet.h.Add(e)
}

// Order sends an operator's command line to the relay's admin endpoint and returns a refusal as an error.
func (r *Relay) Order(line string) error {
	reply, err := ask(r.Admin(), line)
	if err == nil && strings.TrimSpace(reply) != "OK" {
		err = fmt.Errorf("relay %d refused the command %q: %s", r.No, line, strings.TrimSpace(reply))
	}
	return err
}

// recordView records what a process believes about the fleet, from its admin endpoint. what is history.LastView for
// the last view of a run, else empty.
func (r *Relay) recordView(p *process, what string) {
	var v struct {
		Live    []int  `json:"live"`
		Digest  uint32 `json:"digest"`
		Beliefs []struct {
			Kind  string  `json:"kind"`
			Key   string  `json:"key"`
			Age   float64 `json:"age_s"`
			Bound float64 `json:"bound_s"`
			Known float64 `json:"known_s"`
		} `json:"beliefs"`
	}
	if !queryJSON(p, "fleet", &v) {
		return
	}
	now := r.fleet.h.Now()
	e := history.Event{Kind: history.View, Relay: history.IntPtr(r.No), Detail: what, Live: len(v.Live), FactCount: len(v.Beliefs), Digest: v.Digest,
		KnownSince: map[string]history.Micros{}}
	for _, b := range v.Beliefs {
		e.OldestAgeRatio = max(e.OldestAgeRatio, b.Age/b.Bound)
		if b.Kind == "closed" || b.Kind == "out" {
			e.KnownSince[b.Kind+" "+b.Key] = now - history.ToMicros(time.Duration(b.Known*float64(time.Second)))
		}
	}
	r.fleet.h.Add(e)
}

// usage reads the resource usage of a process from /proc.
func (r *Relay) usage(p *process) (history.Event, error) {
	e := history.Event{Kind: history.Usage, Relay: history.IntPtr(r.No)}
	proc := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	var err error
	if e.MemoryMB, err = procfs.ResidentMB(p.cmd.Process.Pid); err != nil {
		return e, err
	}
	stat, err := os.ReadFile(proc + "stat")
	if err != nil {
		return e, err
	}
	// The process name in parentheses may contain spaces. utime and stime are fields 14 and 15 of the line, in ticks
	// of 10 ms.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) > 12 {
		user, _ := strconv.ParseFloat(fields[11], 64)
		system, _ := strconv.ParseFloat(fields[12], 64)
		e.CPU = (user + system) / 100
	}
	fds, err := os.ReadDir(proc + "fd")
	if err != nil {
		return e, err
	}
	e.FDs = len(fds)
	e.DiskMB = diskMB(filepath.Join(r.dir, "state"))
	return e, nil
}

// diskMB is the size of the regular files below a directory, each rounded up to 512 bytes.
func diskMB(dir string) float64 {
	var sum int64
	_ = filepath.WalkDir(dir, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || !d.Type().IsRegular() {
			return nil // the file may have been removed meanwhile
		}
		if info, err := d.Info(); err == nil {
			sum += (info.Size() + 511) / 512 * 512
		}
		return nil
	})
	return float64(sum) / (1 << 20)
}
