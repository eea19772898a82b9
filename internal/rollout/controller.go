package rollout

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"milletsail/internal/compat"
)

// settlingTime is how long a relay that was changed is not compared: it works off what the old process left.
const settlingTime = 2 * time.Second

// Controller carries a rollout out. One goroutine runs it.
type Controller struct {
	store         *Store
	state         State
	analysis      *CanaryAnalysis
	analysisStage int          // that compare is of
	uploaded      map[int]bool // agents that keep the new program
	sampledAt     time.Time
	versionSince  map[int]time.Time // when a relay was first seen with its version
}

// Start begins a rollout in an empty folder, or one whose last rollout has ended. Nothing is changed yet: Run does that.
func Start(ctx context.Context, dir string, plan *Plan) (*Controller, error) {
	sum, err := Checksum(plan.Version)
	if err != nil {
		return nil, err
	}
	c, err := acquire(dir, false)
	if err != nil {
		return nil, err
	}
	if p := c.state.Phase; p == Running || p == Paused || p == RollingBack {
		return nil, errors.Join(fmt.Errorf("the rollout in %s is %s: resume or end it first", dir, p), c.store.Close())
	}
	old := map[int]string{}
	for _, a := range plan.Agents {
		r, err := call(ctx, a.Address, request{Operation: "status", FencingToken: c.store.FencingToken()})
		switch {
		case err != nil:
			err = fmt.Errorf("agent of relay %d at %s: %w", a.Relay, a.Address, err)
		case r.Relay != a.Relay:
			err = fmt.Errorf("the agent at %s is relay %d's, not %d's", a.Address, r.Relay, a.Relay)
		case !r.Settled:
			err = fmt.Errorf("relay %d is in change", a.Relay)
		}
		if err != nil {
			return nil, errors.Join(err, c.store.Close())
		}
		old[a.Relay] = r.Version
	}
	if err := c.checkCompatibility(ctx, plan, sum, old); err != nil {
		return nil, errors.Join(err, c.store.Close())
	}
	return c, c.record(Record{At: time.Now(), Kind: recordStarted, Plan: plan, Version: sum, OldVersions: old})
}

// checkCompatibility tells why the new program can't take the place of what runs, by relay: one agent for each version that runs keeps
// it and asks both, since what a program says follows from its checksum. One from which there is no way back, or of which
// that is not known, is refused unless the plan says that it goes one way.
func (c *Controller) checkCompatibility(ctx context.Context, plan *Plan, sum string, old map[int]string) error {
	var mu sync.Mutex
	var all error
	asked := map[string]bool{}
	forEachAgent(slices.DeleteFunc(slices.Clone(plan.Agents), func(a Agent) bool {
		before := asked[old[a.Relay]]
		asked[old[a.Relay]] = true
		return before
	}), func(a Agent) {
		_, err := call(ctx, a.Address, request{Operation: "keep", FencingToken: c.store.FencingToken(), Checksum: sum, Path: plan.Version})
		var r reply
		if err == nil {
			r, err = call(ctx, a.Address, request{Operation: "forms", FencingToken: c.store.FencingToken(), Checksum: sum})
		}
		switch {
		case err != nil:
		case r.CurrentFormats == nil || r.NextFormats == nil:
			if err = fmt.Errorf("%w, as far as is known: %s", compat.ErrNoRollback, r.FormatsError); plan.AllowNoRollback {
				err = nil
			}
		default:
			if err = compat.CheckUpgrade(*r.CurrentFormats, *r.NextFormats); plan.AllowNoRollback && errors.Is(err, compat.ErrNoRollback) {
				err = nil
			}
			if err == nil && !compat.GossipCompatible(*r.CurrentFormats, *r.NextFormats) {
				slog.Warn("rollout: relays of the two versions do not read each other's notes", "relay", a.Relay)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		c.uploaded[a.Relay] = err == nil
		if err != nil && all == nil { // one says enough
			all = fmt.Errorf("relay %d: %w", a.Relay, err)
		}
	})
	return all
}

// Open takes over the rollout of a folder; force does so though another controller seems to be at work. One that was
// under way goes on or is rolled back, as its plan says.
func Open(dir string, force bool) (*Controller, error) {
	c, err := acquire(dir, force)
	if err != nil {
		return nil, err
	}
	if c.state.Plan == nil {
		return nil, errors.Join(fmt.Errorf("there is no rollout in %s", dir), c.store.Close())
	}
	if c.state.Phase == Running && c.state.Plan.OnControllerFailure == "rollback" {
		return c, c.record(Record{At: time.Now(), Kind: recordRollback, Reason: "the controller had ended, and the plan says so"})
	}
	if c.state.Phase == Running && !c.state.BakingSince.IsZero() {
		return c, c.record(Record{At: time.Now(), Kind: recordBaking}) // what nobody has looked at is no bake
	}
	return c, nil
}

// ReadState gives the state of a folder's rollout without taking over.
func ReadState(dir string) (s State, err error) {
	records, err := ReadStore(dir)
	for _, r := range records {
		s.Apply(r)
	}
	return s, err
}

// acquire takes a folder's records over and reads them.
func acquire(dir string, force bool) (*Controller, error) {
	store, err := OpenStore(dir, time.Now(), force)
	if err != nil {
		return nil, err
	}
	c := &Controller{store: store, uploaded: map[int]bool{}, versionSince: map[int]time.Time{}}
	for _, r := range store.Records() {
		c.state.Apply(r)
	}
	return c, nil
}

// State is what the controller knows.
func (c *Controller) State() State { return c.state }

// Close gives the folder up; the relays stay as they are.
func (c *Controller) Close() error { return c.store.Close() }

func (c *Controller) record(r Record) error {
	if err := c.store.Append(r); err != nil {
		return err
	}
	c.state.Apply(r)
	slog.Info("rollout", "step", r.Kind, "relay", r.Relay, "why", r.Reason)
	return nil
}

// Run carries the rollout on until it is done, stopped, paused, rolled back, or ctx ends; done says whether there is
// nothing more to do but by an order.
func (c *Controller) Run(ctx context.Context) error {
	timer := time.NewTicker(max(20*time.Millisecond, min(200*time.Millisecond, c.state.Plan.Gate.Interval.AsDuration()/4)))
	defer timer.Stop()
	for {
		if err := c.step(ctx); err != nil {
			return err
		}
		if p := c.state.Phase; p == Done || p == RolledBack || (p == Stopped || p == Paused) && len(c.state.Updating) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// step looks at all agents and takes the next steps.
func (c *Controller) step(ctx context.Context) error {
	if err := c.pollOrder(); err != nil {
		return err
	}
	seen, err := c.pollAgents(ctx)
	if err != nil {
		return err
	}
	verdict := Evaluation{}
	if c.analysis != nil {
		verdict = c.analysis.Evaluate()
	}
	for _, r := range c.state.Next(time.Now(), seen, verdict) {
		if err := c.record(r); err != nil {
			return err
		}
		if r.Kind == recordBaking || r.Kind == recordPromoted {
			c.analysis = nil
		}
	}
	return c.sendUpdates(ctx)
}

// pollOrder takes in what operators ask for.
func (c *Controller) pollOrder() error {
	o, err := receiveOrder(c.store.dir)
	if err != nil {
		slog.Error("rollout: order", "err", err)
	}
	if o == nil {
		return nil
	}
	return c.HandleOrder(*o)
}

// HandleOrder takes in an order of operators. One that makes no sense where the rollout stands is refused with the reason.
func (c *Controller) HandleOrder(o Order) error {
	p, at := c.state.Phase, time.Now()
	switch {
	case o.Action == OrderPause && p == Running:
		return c.record(Record{At: at, Kind: recordPaused, Reason: "ordered"})
	case o.Action == OrderResume && p == Paused:
		if o.Plan != nil {
			if err := c.state.checkPlanChange(o.Plan); err != nil {
				slog.Error("rollout: order", "err", err)
				return nil
			}
		}
		return c.record(Record{At: at, Kind: recordResumed, Plan: o.Plan})
	case o.Action == OrderAbort && (p == Running || p == Paused || p == RollingBack):
		return c.record(Record{At: at, Kind: recordStopped, Reason: "ordered"})
	case o.Action == OrderRollback && p != RollingBack && p != RolledBack:
		if c.state.Plan.AllowNoRollback {
			slog.Error("rollout: order", "err", "the plan says that there is no way back from this version")
			return nil
		}
		return c.record(Record{At: at, Kind: recordRollback, Reason: "ordered"})
	}
	slog.Error("rollout: order", "order", o.Action, "err", "it makes no sense now", "phase", p)
	return nil
}

// checkPlanChange tells why a rollout can't go on by another plan: what was done by the old one has to be a part of it.
func (s *State) checkPlanChange(p *Plan) error {
	if err := p.validate(); err != nil {
		return err
	}
	sum, err := Checksum(p.Version)
	if err != nil {
		return err
	}
	if sum != s.NewVersion {
		return errors.New("version: another program is another rollout")
	}
	if len(p.Agents) != len(s.Plan.Agents) {
		return errors.New("agent: the relays are not the same")
	}
	for _, a := range p.Agents {
		if s.OldVersions[a.Relay] == "" {
			return fmt.Errorf("agent: relay %d was not there", a.Relay)
		}
	}
	if s.Stage >= len(p.Stages) || p.relaysAfter(s.Stage) < len(s.Updated) {
		return fmt.Errorf("stage: %d relays are changed already, in stage %d", len(s.Updated), s.Stage+1)
	}
	return nil
}

// pollAgents asks all agents, and compares where it is time to.
func (c *Controller) pollAgents(ctx context.Context) (map[int]AgentStatus, error) {
	var mu sync.Mutex
	seen, figures := map[int]AgentStatus{}, map[int]Metrics{}
	var fenced bool
	c.each(func(a Agent) {
		r, err := call(ctx, a.Address, request{Operation: "status", FencingToken: c.store.FencingToken()})
		mu.Lock()
		defer mu.Unlock()
		if errors.Is(err, ErrStaleToken) {
			fenced = true
		}
		if err != nil || r.Relay != a.Relay {
			return
		}
		at := AgentStatus{Reachable: true, Version: r.Version, Settled: r.Settled, Error: r.LastError}
		if r.Metrics != nil {
			at.EvacuatedZones = r.Metrics.EvacuatedZones
		}
		seen[a.Relay] = at
		if c.versionSince[a.Relay].IsZero() || !r.Settled {
			c.versionSince[a.Relay] = time.Now()
		}
		if r.Metrics != nil && r.Settled && time.Since(c.versionSince[a.Relay]) >= settlingTime {
			figures[a.Relay] = *r.Metrics
		}
	})
	if fenced {
		return nil, ErrSuperseded
	}
	s := &c.state
	if s.Phase != Running || time.Since(c.sampledAt) < s.Plan.Gate.Interval.AsDuration() || len(s.Updated) == 0 {
		return seen, nil
	}
	c.sampledAt = time.Now()
	if c.analysis == nil || c.analysisStage != s.Stage {
		classes := map[string]bool{}
		for _, f := range figures {
			for class := range f.Outcomes {
				classes[class] = true
			}
		}
		c.analysis, c.analysisStage = NewCanaryAnalysis(s.Plan.Gate, len(s.Plan.Stages), len(classes)), s.Stage
	}
	c.analysis.AddSample(figures, func(relay int) bool { return slices.Contains(s.Updated, relay) })
	return seen, nil
}

// sendUpdates has agents do what is written down. It is asked for again until it is seen to be done.
func (c *Controller) sendUpdates(ctx context.Context) error {
	if c.state.Phase == Stopped {
		return nil
	}
	var mu sync.Mutex
	var fenced bool
	c.each(func(a Agent) {
		to := c.state.Updating[a.Relay]
		if to == "" {
			return
		}
		mu.Lock()
		kept := c.uploaded[a.Relay] || to != c.state.NewVersion
		mu.Unlock()
		var err error
		if !kept {
			_, err = call(ctx, a.Address, request{Operation: "keep", FencingToken: c.store.FencingToken(), Checksum: to, Path: c.state.Plan.Version})
		}
		if err == nil {
			_, err = call(ctx, a.Address, request{Operation: "change", FencingToken: c.store.FencingToken(), Checksum: to})
		}
		mu.Lock()
		defer mu.Unlock()
		c.uploaded[a.Relay] = c.uploaded[a.Relay] || err == nil && to == c.state.NewVersion
		if err != nil {
			slog.Warn("rollout: agent", "relay", a.Relay, "err", err)
			fenced = fenced || errors.Is(err, ErrStaleToken)
		}
	})
	if fenced {
		return ErrSuperseded
	}
	return nil
}

// maxConcurrentCalls agents are asked side by side.
const maxConcurrentCalls = 32

func (c *Controller) each(do func(Agent)) { forEachAgent(c.state.Plan.Agents, do) }

func forEachAgent(agents []Agent, do func(Agent)) {
	var work sync.WaitGroup
	limit := make(chan bool, maxConcurrentCalls)
	for _, a := range agents {
		limit <- true
		work.Go(func() {
			defer func() { <-limit }()
			do(a)
		})
	}
	work.Wait()
}
