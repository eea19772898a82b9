package rollout

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"
)

const (
	// maxPollInterval is the maximum time between two polls of the agents.
	maxPollInterval = 200 * time.Millisecond
	// minPollInterval is the minimum time between two polls of the agents.
	minPollInterval = 20 * time.Millisecond
	// pollsPerSample is the number of polls in a sampling interval.
	pollsPerSample = 4
)

// Controller carries out a rollout, which it owns by a lease on the directory of its records. It is not safe for concurrent use.
type Controller struct {
	store *Store
	state State

	analysis      *CanaryAnalysis // canary analysis of analysisStage; nil before its first sample
	analysisStage int
	sampledAt     time.Time

	stored       map[int]bool      // by relay: whether its agent has stored the new program
	settledSince map[int]time.Time // by relay: when it was last seen with an update running, or else when it was first seen
}

// Start records a new rollout in dir, which has to be empty or hold a rollout that has ended. It checks that the new version is
// compatible with the old ones. No relay is updated before Run.
func Start(ctx context.Context, dir string, plan *Plan) (*Controller, error) {
	version, err := Checksum(plan.Version)
	if err != nil {
		return nil, err
	}
	controller, err := acquire(dir, false)
	if err != nil {
		return nil, err
	}
	if phase := controller.state.Phase; phase == Running || phase == Paused || phase == RollingBack {
		err := fmt.Errorf("the rollout in %s is %s: resume or abort it first", dir, phase)
		return nil, errors.Join(err, controller.store.Close())
	}
	oldVersions, err := controller.queryVersions(ctx, plan)
	if err == nil {
		err = controller.checkCompatibility(ctx, plan, version, oldVersions)
	}
	if err != nil {
		return nil, errors.Join(err, controller.store.Close())
	}
	started := Record{At: time.Now(), Kind: recordStarted, Plan: plan, Version: version, OldVersions: oldVersions}
	return controller, controller.record(started)
}

// Open takes over the rollout in a directory; if force is set, even if another controller holds the lease. A running rollout is
// resumed or rolled back, depending on Plan.OnControllerFailure.
func Open(dir string, force bool) (*Controller, error) {
	controller, err := acquire(dir, force)
	if err != nil {
		return nil, err
	}
	if controller.state.Plan == nil {
		return nil, errors.Join(fmt.Errorf("there is no rollout in %s", dir), controller.store.Close())
	}
	if controller.state.Phase != Running {
		return controller, nil
	}
	if controller.state.Plan.OnControllerFailure == rollbackOnFailure {
		const reason = "the controller failed, and on_death is rollback"
		return controller, controller.record(Record{At: time.Now(), Kind: recordRollback, Reason: reason})
	}
	if !controller.state.BakingSince.IsZero() { // restart the bake time: no samples were taken without a controller
		return controller, controller.record(Record{At: time.Now(), Kind: recordBaking})
	}
	return controller, nil
}

// ReadState returns the state of the rollout in a directory without taking it over. State.Plan is nil if there is no rollout.
func ReadState(dir string) (state State, err error) {
	records, err := ReadStore(dir)
	for _, record := range records {
		state.Apply(record)
	}
	return state, err
}

// acquire takes over the records in a directory and computes the state of the rollout from them.
func acquire(dir string, force bool) (*Controller, error) {
	store, err := OpenStore(dir, time.Now(), force)
	if err != nil {
		return nil, err
	}
	c := &Controller{store: store, stored: map[int]bool{}, settledSince: map[int]time.Time{}}
	for _, record := range store.Records() {
		c.state.Apply(record)
	}
	return c, nil
}

// State returns the state of the rollout.
func (c *Controller) State() State { return c.state }

// Close releases the lease. The relays keep the versions that they have.
func (c *Controller) Close() error { return c.store.Close() }

// record appends a record to the store and applies it to the state.
func (c *Controller) record(record Record) error {
	if err := c.store.Append(record); err != nil {
		return err
	}
	c.state.Apply(record)
	slog.Info("rollout step", "kind", record.Kind, "relay", record.Relay, "reason", record.Reason)
	return nil
}

// Run carries out the rollout until it is done, stopped, paused or rolled back, or until ctx is cancelled. It returns
// ErrSuperseded if a later controller has taken over.
func (c *Controller) Run(ctx context.Context) error {
	interval := c.state.Plan.Gate.Interval.AsDuration() / pollsPerSample
	ticker := time.NewTicker(max(minPollInterval, min(maxPollInterval, interval)))
	defer ticker.Stop()
	for {
		if err := c.step(ctx); err != nil {
			return err
		}
		if c.state.hasEnded() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// hasEnded reports whether the controller has nothing left to do unless an operator gives an order.
func (s *State) hasEnded() bool {
	switch s.Phase {
	case Done, RolledBack:
		return true
	case Stopped, Paused:
		return len(s.Updating) == 0
	default:
		return false
	}
}

// step polls the order file and the agents, records the next steps, and sends the updates to the agents.
func (c *Controller) step(ctx context.Context) error {
	if err := c.pollOrder(); err != nil {
		return err
	}
	agents, err := c.pollAgents(ctx)
	if err != nil {
		return err
	}
	var evaluation Evaluation
	if c.analysis != nil {
		evaluation = c.analysis.Evaluate()
	}
	for _, record := range c.state.Next(time.Now(), agents, evaluation) {
		if err := c.record(record); err != nil {
			return err
		}
		if record.Kind == recordBaking || record.Kind == recordPromoted {
			c.analysis = nil
		}
	}
	return c.sendUpdates(ctx)
}
