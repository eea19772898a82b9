package rollout

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"milletsail/internal/procfs"
)

const (
	// minRestartDelay is the backoff before a process is restarted after its first crash. It doubles with each further crash.
	minRestartDelay = time.Second
	// maxRestartDelay bounds the backoff. A process that runs for this long resets the backoff to minRestartDelay.
	maxRestartDelay = 30 * time.Second
	// maxBusyRetries bounds the retries of starting a program whose file is busy (ETXTBSY).
	maxBusyRetries = 40
)

// ProcessRunner is the Runner of an agent. It runs one process of the relay, restarts it after a crash, and replaces it by one of
// another program on an update. All processes inherit the same listening socket for clients.
type ProcessRunner struct {
	config AgentConfig
	socket *os.File
	update sync.Mutex // held during an update and during a restart

	mu      sync.Mutex
	current *process
	crashes int // crashes of the relay since the last update
}

// NewProcessRunner opens the socket for the relay's clients, starts the program and waits until it serves clients. Crashed
// processes are restarted until ctx is cancelled. The caller has to call Stop to end the process.
func NewProcessRunner(ctx context.Context, config AgentConfig, program string) (*ProcessRunner, error) {
	socket, err := listenFile(ctx, config.Listen)
	if err != nil {
		return nil, err
	}
	r := &ProcessRunner{config: config, socket: socket}
	if r.current, err = r.start(ctx, program, 0); err != nil {
		return nil, err
	}
	if err := r.current.awaitReady(ctx); err != nil {
		r.stop(r.current)
		return nil, err
	}
	go r.restartCrashed(ctx)
	return r, nil
}

// listenFile returns a listening socket as a file, which can be passed to processes.
func listenFile(ctx context.Context, address string) (*os.File, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }() // the file has a duplicate of the descriptor
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("%s: a %T can't be inherited", address, listener)
	}
	return tcp.File()
}

// start starts a program with one of the two admin addresses.
func (r *ProcessRunner) start(ctx context.Context, program string, adminIndex int) (*process, error) {
	return startProcess(ctx, &r.config, r.socket, program, adminIndex)
}

// startNew starts a program that was just written. The file can be busy (ETXTBSY) for a moment: a process that was forked during
// the write holds a duplicate of the descriptor until its exec (golang.org/issue/22315).
func (r *ProcessRunner) startNew(ctx context.Context, program string, adminIndex int) (*process, error) {
	started, err := r.start(ctx, program, adminIndex)
	for retry := 0; errors.Is(err, syscall.ETXTBSY) && retry < maxBusyRetries; retry++ {
		time.Sleep(pollInterval)
		started, err = r.start(ctx, program, adminIndex)
	}
	return started, err
}

// stop stops a process, and does not count its exit as a crash.
func (r *ProcessRunner) stop(p *process) {
	r.allowExit(p, true)
	p.stop()
}

// allowExit sets whether an exit of the process is expected, and so does not count as a crash.
func (r *ProcessRunner) allowExit(p *process, allowed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.mayExit = allowed
}

func (r *ProcessRunner) currentProcess() *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

func (r *ProcessRunner) setCurrent(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = p
}

// Update implements Runner. The new process starts while the old one still runs; the old one hands over to it and exits.
func (r *ProcessRunner) Update(ctx context.Context, program string) error {
	r.update.Lock()
	defer r.update.Unlock()
	old := r.currentProcess()
	r.allowExit(old, true)
	started, err := r.startNew(ctx, program, 1-old.adminIndex)
	if err == nil {
		err = started.awaitReady(ctx)
	}
	if err != nil {
		if started != nil {
			r.stop(started)
		}
		return errors.Join(err, r.restore(context.WithoutCancel(ctx), old))
	}
	r.stop(old)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current, r.crashes = started, 0
	return nil
}

// restore keeps the old process after a failed update, or restarts its program if the process has handed over already. ctx must
// not be the context of the update: the relay has to be restored even if the update was cancelled.
func (r *ProcessRunner) restore(ctx context.Context, old *process) error {
	if old.serves(ctx) {
		r.allowExit(old, false)
		return nil
	}
	r.stop(old)
	restarted, err := r.start(ctx, old.program, old.adminIndex)
	if err != nil {
		return err
	}
	r.setCurrent(restarted)
	return restarted.awaitReady(ctx)
}

// restartCrashed restarts the current process after each crash, with backoff, until ctx is cancelled.
func (r *ProcessRunner) restartCrashed(ctx context.Context) {
	delay := minRestartDelay
	for {
		current := r.currentProcess()
		select {
		case <-ctx.Done():
			return
		case <-current.exited:
		case <-time.After(maxRestartDelay):
			delay = minRestartDelay
			continue
		}
		crashed, err := r.restart(ctx, current, delay)
		if err != nil {
			return
		}
		if crashed {
			delay = min(2*delay, maxRestartDelay)
			continue
		}
		// The process was ended by an update, which is about to set the next one, or by Stop.
		if sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// restart waits for the delay and restarts a process that has exited, if its exit was a crash, which it reports. The only error
// is that of ctx. If the program can't be started, the next call tries again.
func (r *ProcessRunner) restart(ctx context.Context, exited *process, delay time.Duration) (crashed bool, err error) {
	r.update.Lock()
	defer r.update.Unlock()
	if !r.countCrash(exited) {
		return false, nil
	}
	if err := sleep(ctx, delay); err != nil {
		return true, err
	}
	if restarted, err := r.start(ctx, exited.program, exited.adminIndex); err == nil {
		r.setCurrent(restarted)
	}
	return true, nil
}

// countCrash reports whether the exit of a process was a crash, and counts it in that case.
func (r *ProcessRunner) countCrash(exited *process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != exited || exited.mayExit {
		return false
	}
	r.crashes++
	return true
}

// sleep waits for a duration. It returns the error of ctx if ctx is cancelled first.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// Stop stops the relay's process and closes the socket for clients.
func (r *ProcessRunner) Stop() {
	r.update.Lock()
	defer r.update.Unlock()
	r.stop(r.currentProcess())
	_ = r.socket.Close() // a listening socket has no buffered writes to lose
}

// Metrics implements Runner: it reads the relay's counters, zones and resident memory.
func (r *ProcessRunner) Metrics() (Metrics, error) {
	r.mu.Lock()
	current, crashes := r.current, r.crashes
	r.mu.Unlock()
	ctx := context.Background() // adminTimeout bounds the commands
	text, err := current.command(ctx, "counters")
	if err != nil {
		return Metrics{}, err
	}
	metrics, err := ParseCounters(text)
	metrics.Crashes = crashes
	if zones, err := current.command(ctx, "zone status"); err == nil {
		metrics.EvacuatedZones = ParseZones(zones)
	}
	metrics.MemoryMB, _ = procfs.ResidentMB(current.cmd.Process.Pid) // 0 if the process has just exited
	return metrics, err
}
