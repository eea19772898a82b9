package rollout

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"milletsail/internal/admin"
	"milletsail/internal/config"
	"milletsail/internal/procfs"
)

// AgentConfig is what the agent of one relay is started with.
type AgentConfig struct {
	Relay   int      `toml:"relay"`
	Address string   `toml:"address"` // of the agent, on loopback
	Dir     string   `toml:"folder"`  // for programs and the agent's state
	Program string   `toml:"program"` // that the relay runs where the agent starts for the first time
	Listen  string   `toml:"listen"`  // of the relay's clients: the agent holds the socket over changes of the program
	Admin   []string `toml:"admin"`   // two addresses for the admin endpoint: a process and the one after it have one each
	Env     []string `toml:"env"`     // of the relay's processes, NODE_CONFIG and NODE_STATE among it
	Log     string   `toml:"log"`
}

// ReadAgentConfig reads the configuration of an agent strictly.
func ReadAgentConfig(path string) (*AgentConfig, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var c AgentConfig
	if err := config.Decode(path, text, &c); err != nil {
		return nil, err
	}
	for name, bad := range map[string]bool{"address": c.Address == "", "folder": c.Dir == "", "program": c.Program == "", "listen": c.Listen == "",
		"admin: two addresses": len(c.Admin) != 2, "log": c.Log == "", "env: NODE_CONFIG": !hasEnv(c.Env, "NODE_CONFIG"), "env: NODE_STATE": !hasEnv(c.Env, "NODE_STATE")} {
		if bad {
			return nil, fmt.Errorf("%s: %s is missing", path, name)
		}
	}
	return &c, nil
}

func hasEnv(env []string, name string) bool {
	for _, e := range env {
		if strings.HasPrefix(e, name+"=") {
			return true
		}
	}
	return false
}

const (
	// readyWithin is how long a new process has until it takes clients, endWithin a told one until it is killed.
	readyWithin, endWithin = 15 * time.Second, 6 * time.Second
	// reviveAfter a process that ended by itself is started again, twice as long after each further one, up to reviveMost.
	reviveAfter, reviveMost = time.Second, 30 * time.Second
	askEvery                = 50 * time.Millisecond
	busyTries               = 40
)

// ProcessRunner runs the processes of one relay, by their ids.
type ProcessRunner struct {
	c      AgentConfig
	socket *os.File
	change sync.Mutex // held over a change and over a revival

	mu      sync.Mutex
	now     *running
	crashes int
}

// running is one process.
type running struct {
	cmd        *exec.Cmd
	program    string
	adminIndex int // in AgentConfig.Admin
	meant      bool
	exited     chan struct{}
}

// NewProcessRunner opens the relay's socket and starts program.
func NewProcessRunner(ctx context.Context, c AgentConfig, program string) (*ProcessRunner, error) {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	p := &ProcessRunner{c: c}
	if p.socket, err = l.(*net.TCPListener).File(); err != nil {
		return nil, err
	}
	if p.now, err = p.launch(program, 0); err != nil {
		return nil, err
	}
	if err := p.await(ctx, p.now); err != nil {
		p.end(p.now)
		return nil, err
	}
	go p.revive(ctx)
	return p, nil
}

// launch starts a process of a program.
func (p *ProcessRunner) launch(program string, adminIndex int) (*running, error) {
	log, err := os.OpenFile(p.c.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	r := &running{cmd: exec.Command(program), program: program, adminIndex: adminIndex, exited: make(chan struct{})}
	r.cmd.Stdout, r.cmd.Stderr, r.cmd.ExtraFiles = log, log, []*os.File{p.socket}
	r.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, p.c.Env...)
	r.cmd.Env = append(r.cmd.Env, "NODE_FD=3", "NODE_LISTEN="+p.c.Listen, "NODE_ADMIN="+p.c.Admin[adminIndex])
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = r.cmd.Wait()
		close(r.exited)
	}()
	return r, nil
}

// await waits until a process takes clients.
func (p *ProcessRunner) await(ctx context.Context, r *running) error {
	timer := time.NewTimer(readyWithin)
	defer timer.Stop()
	for {
		if text, err := ask(p.c.Admin[r.adminIndex], "health"); err == nil && strings.HasPrefix(text, "OK") {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.exited:
			return fmt.Errorf("it ended at its start: %v", r.cmd.ProcessState)
		case <-timer.C:
			return fmt.Errorf("it takes no clients within %v", readyWithin)
		case <-time.After(askEvery):
		}
	}
}

// end ends a process, and waits for that.
func (p *ProcessRunner) end(r *running) {
	p.mu.Lock()
	r.meant = true
	p.mu.Unlock()
	_ = r.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-r.exited:
		return
	case <-time.After(endWithin):
	}
	_ = r.cmd.Process.Kill()
	<-r.exited
}

// Update implements Runner: the new process starts beside the old one, which hands over to it.
func (p *ProcessRunner) Update(ctx context.Context, program string) error {
	p.change.Lock()
	defer p.change.Unlock()
	p.mu.Lock()
	old := p.now
	old.meant = true // it may leave when it has handed over
	p.mu.Unlock()
	r, err := p.launch(program, 1-old.adminIndex)
	// A program that was just written is busy while a process that was started meanwhile still has its descriptor, up to
	// its own exec (the fork race of golang.org/issue/22315).
	for n := 0; errors.Is(err, syscall.ETXTBSY) && n < busyTries; n++ {
		time.Sleep(askEvery)
		r, err = p.launch(program, 1-old.adminIndex)
	}
	if err == nil {
		err = p.await(ctx, r)
	}
	if err == nil {
		p.end(old)
		p.mu.Lock()
		p.now, p.crashes = r, 0
		p.mu.Unlock()
		return nil
	}
	if r != nil {
		p.end(r)
	}
	if text, asked := ask(p.c.Admin[old.adminIndex], "health"); asked == nil && strings.HasPrefix(text, "OK") {
		p.mu.Lock()
		old.meant = false
		p.mu.Unlock()
		return err
	}
	p.end(old) // it had handed over
	again, back := p.launch(old.program, old.adminIndex)
	if back == nil {
		p.mu.Lock()
		p.now = again
		p.mu.Unlock()
		back = p.await(context.WithoutCancel(ctx), again)
	}
	return errors.Join(err, back)
}

// revive starts a process again that ended by itself.
func (p *ProcessRunner) revive(ctx context.Context) {
	wait := reviveAfter
	for {
		p.mu.Lock()
		r := p.now
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-r.exited:
		case <-time.After(reviveMost):
			wait = reviveAfter // it has lived
			continue
		}
		p.change.Lock()
		p.mu.Lock()
		crashed := p.now == r && !r.meant
		if crashed {
			p.crashes++
		}
		p.mu.Unlock()
		if crashed {
			select {
			case <-ctx.Done():
				p.change.Unlock()
				return
			case <-time.After(wait):
			}
			wait = min(2*wait, reviveMost)
			if again, err := p.launch(r.program, r.adminIndex); err == nil {
				p.mu.Lock()
				p.now = again
				p.mu.Unlock()
			}
		}
		p.change.Unlock()
		if !crashed {
			select {
			case <-ctx.Done():
				return
			case <-time.After(askEvery):
			}
		}
	}
}

// Stop ends the relay's process.
func (p *ProcessRunner) Stop() {
	p.change.Lock()
	defer p.change.Unlock()
	p.mu.Lock()
	r := p.now
	p.mu.Unlock()
	p.end(r)
	_ = p.socket.Close()
}

// Metrics implements Runner.
func (p *ProcessRunner) Metrics() (Metrics, error) {
	p.mu.Lock()
	r, crashes := p.now, p.crashes
	p.mu.Unlock()
	text, err := ask(p.c.Admin[r.adminIndex], "counters")
	if err != nil {
		return Metrics{}, err
	}
	f, err := ParseCounters(text)
	f.Crashes = crashes
	if zones, err := ask(p.c.Admin[r.adminIndex], "zone status"); err == nil {
		f.EvacuatedZones = ParseZones(zones)
	}
	f.MemoryMB, _ = procfs.ResidentMB(r.cmd.Process.Pid) // it may have ended just now
	return f, err
}

// ask sends one command line to a relay's admin endpoint.
func ask(address, line string) (string, error) { return admin.Call(address, line, time.Second) }
