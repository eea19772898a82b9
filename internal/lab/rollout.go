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

// runner runs a relay of the lab for its agent.
type versionRunner struct{ *relays.Supervised }

// Metrics gives what the admin endpoint and the system's accounts say.
func (r versionRunner) Metrics() (rollout.Metrics, error) {
	text, memory, crashes, err := r.Counters()
	if err != nil {
		return rollout.Metrics{}, err
	}
	f, err := rollout.ParseCounters(text)
	f.MemoryMB, f.Crashes, f.EvacuatedZones = memory, crashes, rollout.ParseZones(r.ZoneStatus())
	return f, err
}

// Agents starts an agent for each relay of a play, on loopback, until ctx ends. done waits for their end.
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

// Rolled is how a rollout in the lab went.
type RolloutResult struct {
	State            rollout.State
	MaxUpdated       int           // relays that had the new version at once
	Duration         time.Duration // from its start to its end
	RollbackDuration time.Duration // of the rollback, where there was one
}

// Roll rolls a program out beside a play, by a plan whose agents are the play's, from a while after its begin. Where it
// is stopped, and back is set, it is taken back.
func RunRollout(program string, plan rollout.Plan, after time.Duration, back bool, to *RolloutResult) func(context.Context, *ActiveRun) error {
	return func(ctx context.Context, b *ActiveRun) error {
		agents, done, err := b.Agents(ctx)
		if err != nil {
			return err
		}
		defer done()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(after):
		}
		plan.Agents, plan.Version = agents, program
		begun := time.Now()
		c, err := rollout.Start(ctx, filepath.Join(b.Dir, "rollout"), &plan)
		if err != nil {
			return err
		}
		defer c.Close()
		err = c.Run(ctx)
		to.State, to.Duration, to.MaxUpdated = c.State(), time.Since(begun), len(c.State().Updated)
		if err != nil || !back || ctx.Err() != nil {
			return ignoreRunEnd(ctx, err)
		}
		begun = time.Now()
		if err = c.HandleOrder(rollout.Order{Action: rollout.OrderRollback}); err == nil {
			err = c.Run(ctx)
		}
		to.State, to.RollbackDuration = c.State(), time.Since(begun)
		return ignoreRunEnd(ctx, err)
	}
}

// ignoreEnd drops the error of a play whose traffic has stopped: what was reached by then is in the figures.
func ignoreRunEnd(ctx context.Context, err error) error {
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return nil
	}
	return err
}
