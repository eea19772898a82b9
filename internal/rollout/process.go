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
	// readyTimeout bounds the time from the start of a process until it serves clients.
	readyTimeout = 15 * time.Second
	// stopTimeout bounds the time from SIGTERM to the exit of a process; after it the process is killed.
	stopTimeout = 6 * time.Second
	// pollInterval is the time between two checks of a process.
	pollInterval = 50 * time.Millisecond
	// adminTimeout bounds connecting to an admin endpoint, and separately the exchange of command and reply.
	adminTimeout = time.Second
	// socketDescriptor is the file descriptor of the clients' socket in a process: that of the first entry of exec.Cmd.ExtraFiles.
	socketDescriptor = 3
)

// process is one process of the relay.
type process struct {
	cmd        *exec.Cmd
	program    string
	admin      string        // address of the process's admin endpoint
	adminIndex int           // index of that address in AgentConfig.Admin
	mayExit    bool          // an exit of the process is expected and no crash; guarded by ProcessRunner.mu
	exited     chan struct{} // closed after the process has exited
}

// startProcess starts a program in a process group of its own. A goroutine waits for its exit and then closes process.exited.
func startProcess(
	ctx context.Context, config *AgentConfig, socket *os.File, program string, adminIndex int,
) (*process, error) {
	log, err := os.OpenFile(config.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has inherited a duplicate of the descriptor
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

// serves reports whether the process serves clients, according to its admin endpoint.
func (p *process) serves(ctx context.Context) bool {
	text, err := p.command(ctx, "health")
	return err == nil && strings.HasPrefix(text, "OK")
}

// command sends one command to the process's admin endpoint and returns the reply.
func (p *process) command(ctx context.Context, line string) (string, error) {
	return admin.Call(ctx, p.admin, line, adminTimeout)
}

// awaitReady waits until the process serves clients. It returns an error if the process exits before, or after readyTimeout.
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

// stop sends SIGTERM to the process and waits for its exit. After stopTimeout the process is killed.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails only if the process has exited already
	select {
	case <-p.exited:
		return
	case <-time.After(stopTimeout):
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
}
