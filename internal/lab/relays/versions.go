package relays

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/lab/history"
)

// Supervised runs one relay's processes for the agent of a rollout; see rollout.Runner. It restarts a process that
// exits by itself, as a service manager would.
type Supervised struct {
	r        *Relay
	crashes  int  // number of unexpected exits since the latest update; guarded by r.mu
	updating bool // an update is in progress
}

// maxBusyRetries bounds the retries, pollInterval apart, of starting an executable that is still open for writing.
// They last far longer than the start of another process.
const maxBusyRetries = 100

// Supervise starts to supervise a relay's processes, until ctx ends.
func (r *Relay) Supervise(ctx context.Context) *Supervised {
	v := &Supervised{r: r}
	r.fleet.work.Go(func() {
		for clock.Sleep(ctx, 50*time.Millisecond) {
			v.restartIfExited(ctx)
		}
	})
	return v
}

// restartIfExited restarts a relay whose process has exited by itself.
func (v *Supervised) restartIfExited(ctx context.Context) {
	r := v.r
	r.mu.Lock()
	p := r.current
	busy := v.updating || r.heldDown || p == nil
	r.mu.Unlock()
	if busy {
		return
	}
	select {
	case <-p.exited:
	default:
		return
	}
	r.mu.Lock()
	if v.updating || r.current != p {
		r.mu.Unlock()
		return
	}
	v.crashes++
	r.mu.Unlock()
	if clock.Sleep(ctx, restartDelay) {
		_ = r.start(ctx) // a failed start is found by the next check
	}
}

// Update starts an executable beside the process that serves and hands over to it. If the new process does not accept
// clients, the old one continues, or is started again if it had handed over.
func (v *Supervised) Update(ctx context.Context, program string) error {
	r := v.r
	r.mu.Lock()
	previous, old := r.program, r.current
	r.program, v.updating = program, true
	if old != nil {
		old.exitExpected = true
	}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		v.updating = false
	}()
	p, err := r.launch()
	// Starting an executable that was just written fails with ETXTBSY while another process, forked meanwhile, still
	// holds the descriptor up to its own exec (golang.org/issue/22315).
	for n := 0; errors.Is(err, syscall.ETXTBSY) && n < maxBusyRetries && clock.Sleep(ctx, pollInterval); n++ {
		p, err = r.launch()
	}
	if err == nil {
		err = r.await(ctx, p, upgradeTimeout, func() bool { return acceptsClients(p.admin) })
	}
	if err == nil {
		if old != nil {
			r.recordEvent("term")
			r.end(old, syscall.SIGTERM)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		v.crashes = 0
		return nil
	}
	if p != nil {
		r.end(p, syscall.SIGKILL)
	}
	r.mu.Lock()
	r.program, r.current = previous, old
	r.mu.Unlock()
	if old != nil {
		select {
		case <-old.exited:
		default:
			if acceptsClients(old.admin) {
				return err
			}
			r.end(old, syscall.SIGTERM) // the old process has handed over already
		}
	}
	return errors.Join(err, r.start(ctx))
}

// ZoneStatus returns the admin endpoint's reply to "zone status", or "" if there is none.
func (v *Supervised) ZoneStatus() string {
	p := v.r.servingProcess()
	if p == nil {
		return ""
	}
	text, err := ask(p.admin, "zone status")
	if err != nil {
		return ""
	}
	return text
}

// Counters returns the admin endpoint's reply to "counters", the resident memory of the process, and how often a
// process has exited by itself since the latest update.
func (v *Supervised) Counters() (text string, memoryMB float64, crashes int, err error) {
	r := v.r
	p := r.servingProcess()
	if p == nil {
		return "", 0, 0, os.ErrProcessDone
	}
	r.mu.Lock()
	crashes = v.crashes
	r.mu.Unlock()
	var e history.Event
	if e, err = r.usage(p); err != nil {
		return "", 0, crashes, err
	}
	text, err = ask(p.admin, "counters")
	return text, e.MemoryMB, crashes, err
}
