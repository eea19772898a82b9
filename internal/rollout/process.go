package rollout

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"milletsail/internal/admin"
)

const (
	// readyTimeout is how long a new process may take until it serves clients.
	readyTimeout = 15 * time.Second
	// stopTimeout is how long a process may take to exit after SIGTERM, before it is killed.
	stopTimeout = 6 * time.Second
	// pollInterval is the time between two checks of a process.
	pollInterval = 50 * time.Millisecond
	// adminTimeout bounds connecting to an admin endpoint, and again the exchange.
	adminTimeout = time.Second
	// socketDescriptor is the number of the clients' socket in a process: the first of exec.Cmd.ExtraFiles.
	socketDescriptor = 3
)

// process is one process of the relay.
type process struct {
	cmd        *exec.Cmd
	program    string
	admin      string        // address of its admin endpoint
	adminIndex int           // of admin in AgentConfig.Admin
	mayExit    bool          // its exit is no crash; guarded by ProcessRunner.mu
	exited     chan struct{} // closed after its exit
}

// startProcess starts a process of a program in a process group of its own. A goroutine waits for it and closes exited.
func startProcess(
	ctx context.Context, config *AgentConfig, socket *os.File, program string, adminIndex int,
) (*process, error) {
	log, err := os.OpenFile(config.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	started := &process{
		// The process outlives the update that starts it: stop ends it, not ctx.
		cmd:        exec.CommandContext(context.WithoutCancel(ctx), program),
		program:    program,
		admin:      config.Admin[adminIndex],
		adminIndex: adminIndex,
		exited:     make(chan struct{}),
	}
	started.cmd.Stdout, started.cmd.Stderr = log, log
	started.cmd.ExtraFiles = []*os.File{socket}
	started.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, config.Env...)
	started.cmd.Env = append(started.cmd.Env,
		fmt.Sprintf("NODE_FD=%d", socketDescriptor), "NODE_LISTEN="+config.Listen, "NODE_ADMIN="+started.admin)
	started.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := started.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = started.cmd.Wait() // the exit status is in cmd.ProcessState
		close(started.exited)
	}()
	return started, nil
}

// serves reports whether the process serves clients.
func (p *process) serves(ctx context.Context) bool {
	text, err := p.command(ctx, "health")
	return err == nil && strings.HasPrefix(text, "OK")
}

// command sends one command to the process's admin endpoint and returns the reply.
func (p *process) command(ctx context.Context, line string) (string, error) {
	return admin.Call(ctx, p.admin, line, adminTimeout)
}

// awaitReady waits until the process serves clients.
func (p *process) awaitReady(ctx context.Context) error {
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	for {
		if p.serves(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.exited:
			return fmt.Errorf("the process exited during its start: %v", p.cmd.ProcessState)
		case <-timeout.C:
			return fmt.Errorf("the process does not serve clients after %v", readyTimeout)
		case <-time.After(pollInterval):
		}
	}
}

// stop sends SIGTERM and waits for the exit of the process, which is killed after stopTimeout.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails only if it has exited
	select {
	case <-p.exited:
		return
	case <-time.After(stopTimeout):
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
}
