package lab

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"milletsail/internal/lab/relays"
	"milletsail/internal/rollout"
)

// versionRunner lets a rollout agent control the processes of one relay of a run. It implements rollout.Runner.
type versionRunner struct{ *relays.Supervised }

// Metrics returns the counters that the relay's admin endpoint reports, with its memory, crashes and evacuated zones.
func (r versionRunner) Metrics() (rollout.Metrics, error) {
	text, memory, crashes, err := r.Counters()
	if err != nil {
		return rollout.Metrics{}, err
	}
	f, err := rollout.ParseCounters(text)
	f.MemoryMB, f.Crashes, f.EvacuatedZones = memory, crashes, rollout.ParseZones(r.ZoneStatus())
	return f, err
}

// Agents starts a rollout agent for each relay of the run, on loopback addresses. The agents stop supervising
// processes when ctx ends; done closes their servers.
func (b *ActiveRun) Agents(ctx context.Context) (agents []rollout.Agent, done func(), err error) {
	var servers []*rollout.Server
	done = func() {
		for _, s := range servers {
			s.Close()
		}
	}
	for _, r := range b.Relays {
		s, err := rollout.NewServer(r.No, filepath.Join(b.Dir, fmt.Sprintf("agent%d", r.No)), b.Binary, versionRunner{r.Supervise(ctx)})
		if err == nil {
			servers = append(servers, s)
			var address string
			if address, err = s.Listen("127.0.0.1:0"); err == nil {
				agents = append(agents, rollout.Agent{Relay: r.No, Zone: b.Scenario.Fleet.Zone(r.No), Address: address})
			}
		}
		if err != nil {
			done()
			return nil, nil, err
		}
	}
	return agents, done, nil
}

// RolloutResult describes how a rollout in the lab went.
type RolloutResult struct {
	State            rollout.State
	MaxUpdated       int           // number of relays on the new version when the rollout ended, before any rollback
	Duration         time.Duration // duration of the rollout, without the rollback
	RollbackDuration time.Duration // duration of the rollback; zero if there was none
}

// RunRollout returns a function for Options.DuringRun that rolls out a program by a plan, starting startAfter
// into the run. It sets the plan's agents and version. If rollback is set, it rolls back once the rollout has ended. It
// writes the outcome to result.
func RunRollout(program string, plan rollout.Plan, startAfter time.Duration, rollback bool, result *RolloutResult) func(context.Context, *ActiveRun) error {
	return func(ctx context.Context, b *ActiveRun) error {
		agents, done, err := b.Agents(ctx)
		if err != nil {
			return err
		}
		defer done()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(startAfter):
		}
		plan.Agents, plan.Version = agents, program
		start := time.Now()
		c, err := rollout.Start(ctx, filepath.Join(b.Dir, "rollout"), &plan)
		if err != nil {
			return err
		}
		defer c.Close()
		err = c.Run(ctx)
		result.State, result.Duration, result.MaxUpdated = c.State(), time.Since(start), len(c.State().Updated)
		if err != nil || !rollback || ctx.Err() != nil {
			return ignoreRunEnd(ctx, err)
		}
		start = time.Now()
		if err = c.HandleOrder(rollout.Order{Action: rollout.OrderRollback}); err == nil {
			err = c.Run(ctx)
		}
		result.State, result.RollbackDuration = c.State(), time.Since(start)
		return ignoreRunEnd(ctx, err)
	}
}

// ignoreRunEnd drops the cancellation error of a rollout that the end of the load interrupted: its partial result is
// in RolloutResult.
func ignoreRunEnd(ctx context.Context, err error) error {
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return nil
	}
	return err
}
