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

// Versioned runs one relay's processes for the agent of a rollout: see rollout.Runner. While it does, a process that ends
// by itself is started again, as an operators' machine would.
type Supervised struct {
	r       *Relay
	crashes int // since the version was changed, under r.mu
	busy    bool
}

// busyTries askAgain apart are far more than a start of another process takes.
const maxBusyRetries = 100

// Version puts a relay's processes under an agent, until ctx ends.
func (r *Relay) Supervise(ctx context.Context) *Supervised {
	v := &Supervised{r: r}
	r.fleet.work.Go(func() {
		for clock.Sleep(ctx, 50*time.Millisecond) {
			v.restartIfExited(ctx)
		}
	})
	return v
}

// revive starts a relay again that has ended by itself.
func (v *Supervised) restartIfExited(ctx context.Context) {
	r := v.r
	r.mu.Lock()
	p := r.current
	busy := v.busy || r.down || p == nil
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
	if v.busy || r.current != p {
		r.mu.Unlock()
		return
	}
	v.crashes++
	r.mu.Unlock()
	if clock.Sleep(ctx, restartDelay) {
		_ = r.start(ctx) // the next look sees whether it lives
	}
}

// Update brings a program into service beside the one that serves, by the handover; where the new one does not take
// clients, the old one goes on, or is started again.
func (v *Supervised) Update(ctx context.Context, program string) error {
	r := v.r
	r.mu.Lock()
	previous, old := r.program, r.current
	r.program, v.busy = program, true
	if old != nil {
		old.exitExpected = true
	}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		v.busy = false
	}()
	p, err := r.launch()
	// A program that was just written is busy while a process that was started meanwhile still has its descriptor, up to
	// its own exec (the fork race of golang.org/issue/22315).
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
			r.end(old, syscall.SIGTERM) // it had handed over
		}
	}
	return errors.Join(err, r.start(ctx))
}

// ZoneStatus is what the admin endpoint replies to "zone status".
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

// Counters is what the admin endpoint replies to "counters", with the memory of the process and how often one of this
// version has ended by itself.
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
