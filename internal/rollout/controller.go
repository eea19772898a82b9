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

// settling is how long a relay that was changed is not compared: it works off what the old process left.
const settling = 2 * time.Second

// Controller carries a rollout out. One goroutine runs it.
type Controller struct {
	store   *Store
	state   State
	compare *Comparison
	stage   int          // that compare is of
	kept    map[int]bool // agents that keep the new program
	looked  time.Time
	since   map[int]time.Time // when a relay was first seen with its version
}

// Start begins a rollout in an empty folder, or one whose last rollout has ended. Nothing is changed yet: Run does that.
func Start(ctx context.Context, dir string, plan *Plan) (*Controller, error) {
	sum, err := Checksum(plan.Version)
	if err != nil {
		return nil, err
	}
	c, err := takeOver(dir, false)
	if err != nil {
		return nil, err
	}
	if p := c.state.Phase; p == Running || p == Paused || p == RollingBack {
		return nil, errors.Join(fmt.Errorf("the rollout in %s is %s: resume or end it first", dir, p), c.store.Close())
	}
	old := map[int]string{}
	for _, a := range plan.Agents {
		r, err := call(ctx, a.Address, request{Op: "status", Fence: c.store.Fence()})
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
	if err := c.fits(ctx, plan, sum, old); err != nil {
		return nil, errors.Join(err, c.store.Close())
	}
	return c, c.write(Record{At: time.Now(), Kind: began, Plan: plan, To: sum, Old: old})
}

// fits tells why the new program can't take the place of what runs, by relay: one agent for each version that runs keeps
// it and asks both, since what a program says follows from its checksum. One from which there is no way back, or of which
// that is not known, is refused unless the plan says that it goes one way.
func (c *Controller) fits(ctx context.Context, plan *Plan, sum string, old map[int]string) error {
	var mu sync.Mutex
	var all error
	asked := map[string]bool{}
	eachOf(slices.DeleteFunc(slices.Clone(plan.Agents), func(a Agent) bool {
		before := asked[old[a.Relay]]
		asked[old[a.Relay]] = true
		return before
	}), func(a Agent) {
		_, err := call(ctx, a.Address, request{Op: "keep", Fence: c.store.Fence(), Sum: sum, Path: plan.Version})
		var r reply
		if err == nil {
			r, err = call(ctx, a.Address, request{Op: "forms", Fence: c.store.Fence(), Sum: sum})
		}
		switch {
		case err != nil:
		case r.Now == nil || r.Next == nil:
			if err = fmt.Errorf("%w, as far as is known: %s", compat.ErrNoRollback, r.Unsaid); plan.OneWay {
				err = nil
			}
		default:
			if err = compat.CheckUpgrade(*r.Now, *r.Next); plan.OneWay && errors.Is(err, compat.ErrNoRollback) {
				err = nil
			}
			if err == nil && !compat.GossipCompatible(*r.Now, *r.Next) {
				slog.Warn("rollout: relays of the two versions do not read each other's notes", "relay", a.Relay)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		c.kept[a.Relay] = err == nil
		if err != nil && all == nil { // one says enough
			all = fmt.Errorf("relay %d: %w", a.Relay, err)
		}
	})
	return all
}

// Open takes over the rollout of a folder; force does so though another controller seems to be at work. One that was
// under way goes on or is rolled back, as its plan says.
func Open(dir string, force bool) (*Controller, error) {
	c, err := takeOver(dir, force)
	if err != nil {
		return nil, err
	}
	if c.state.Plan == nil {
		return nil, errors.Join(fmt.Errorf("there is no rollout in %s", dir), c.store.Close())
	}
	if c.state.Phase == Running && c.state.Plan.OnDeath == "rollback" {
		return c, c.write(Record{At: time.Now(), Kind: rollback, Why: "the controller had ended, and the plan says so"})
	}
	if c.state.Phase == Running && !c.state.BakeFrom.IsZero() {
		return c, c.write(Record{At: time.Now(), Kind: baking}) // what nobody has looked at is no bake
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

// takeOver takes a folder's records over and reads them.
func takeOver(dir string, force bool) (*Controller, error) {
	store, err := OpenStore(dir, time.Now(), force)
	if err != nil {
		return nil, err
	}
	c := &Controller{store: store, kept: map[int]bool{}, since: map[int]time.Time{}}
	for _, r := range store.Records() {
		c.state.Apply(r)
	}
	return c, nil
}

// State is what the controller knows.
func (c *Controller) State() State { return c.state }

// Close gives the folder up; the relays stay as they are.
func (c *Controller) Close() error { return c.store.Close() }

func (c *Controller) write(r Record) error {
	if err := c.store.Append(r); err != nil {
		return err
	}
	c.state.Apply(r)
	slog.Info("rollout", "step", r.Kind, "relay", r.Relay, "why", r.Why)
	return nil
}

// Run carries the rollout on until it is done, stopped, paused, rolled back, or ctx ends; done says whether there is
// nothing more to do but by an order.
func (c *Controller) Run(ctx context.Context) error {
	timer := time.NewTicker(max(20*time.Millisecond, min(200*time.Millisecond, c.state.Plan.Gate.Every.AsDuration()/4)))
	defer timer.Stop()
	for {
		if err := c.step(ctx); err != nil {
			return err
		}
		if p := c.state.Phase; p == Done || p == RolledBack || (p == Stopped || p == Paused) && len(c.state.Changing) == 0 {
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
	if err := c.order(); err != nil {
		return err
	}
	seen, err := c.look(ctx)
	if err != nil {
		return err
	}
	verdict := Verdict{}
	if c.compare != nil {
		verdict = c.compare.Verdict()
	}
	for _, r := range c.state.Next(time.Now(), seen, verdict) {
		if err := c.write(r); err != nil {
			return err
		}
		if r.Kind == baking || r.Kind == nextStage {
			c.compare = nil
		}
	}
	return c.carryOut(ctx)
}

// order takes in what operators ask for.
func (c *Controller) order() error {
	o, err := takeOrder(c.store.dir)
	if err != nil {
		slog.Error("rollout: order", "err", err)
	}
	if o == nil {
		return nil
	}
	return c.Obey(*o)
}

// Obey takes in an order of operators. One that makes no sense where the rollout stands is refused with the reason.
func (c *Controller) Obey(o Order) error {
	p, at := c.state.Phase, time.Now()
	switch {
	case o.What == OrderPause && p == Running:
		return c.write(Record{At: at, Kind: pause, Why: "ordered"})
	case o.What == OrderResume && p == Paused:
		if o.Plan != nil {
			if err := c.state.mayBecome(o.Plan); err != nil {
				slog.Error("rollout: order", "err", err)
				return nil
			}
		}
		return c.write(Record{At: at, Kind: resume, Plan: o.Plan})
	case o.What == OrderAbort && (p == Running || p == Paused || p == RollingBack):
		return c.write(Record{At: at, Kind: stop, Why: "ordered"})
	case o.What == OrderRollback && p != RollingBack && p != RolledBack:
		if c.state.Plan.OneWay {
			slog.Error("rollout: order", "err", "the plan says that there is no way back from this version")
			return nil
		}
		return c.write(Record{At: at, Kind: rollback, Why: "ordered"})
	}
	slog.Error("rollout: order", "order", o.What, "err", "it makes no sense now", "phase", p)
	return nil
}

// mayBecome tells why a rollout can't go on by another plan: what was done by the old one has to be a part of it.
func (s *State) mayBecome(p *Plan) error {
	if err := p.check(); err != nil {
		return err
	}
	sum, err := Checksum(p.Version)
	if err != nil {
		return err
	}
	if sum != s.New {
		return errors.New("version: another program is another rollout")
	}
	if len(p.Agents) != len(s.Plan.Agents) {
		return errors.New("agent: the relays are not the same")
	}
	for _, a := range p.Agents {
		if s.Old[a.Relay] == "" {
			return fmt.Errorf("agent: relay %d was not there", a.Relay)
		}
	}
	if s.Stage >= len(p.Stages) || p.upTo(s.Stage) < len(s.Changed) {
		return fmt.Errorf("stage: %d relays are changed already, in stage %d", len(s.Changed), s.Stage+1)
	}
	return nil
}

// look asks all agents, and compares where it is time to.
func (c *Controller) look(ctx context.Context) (map[int]Seen, error) {
	var mu sync.Mutex
	seen, figures := map[int]Seen{}, map[int]Figures{}
	var fenced bool
	c.each(func(a Agent) {
		r, err := call(ctx, a.Address, request{Op: "status", Fence: c.store.Fence()})
		mu.Lock()
		defer mu.Unlock()
		if errors.Is(err, ErrFenced) {
			fenced = true
		}
		if err != nil || r.Relay != a.Relay {
			return
		}
		at := Seen{Known: true, Version: r.Version, Settled: r.Settled, Error: r.Last}
		if r.Figures != nil {
			at.Left = r.Figures.Left
		}
		seen[a.Relay] = at
		if c.since[a.Relay].IsZero() || !r.Settled {
			c.since[a.Relay] = time.Now()
		}
		if r.Figures != nil && r.Settled && time.Since(c.since[a.Relay]) >= settling {
			figures[a.Relay] = *r.Figures
		}
	})
	if fenced {
		return nil, ErrSuperseded
	}
	s := &c.state
	if s.Phase != Running || time.Since(c.looked) < s.Plan.Gate.Every.AsDuration() || len(s.Changed) == 0 {
		return seen, nil
	}
	c.looked = time.Now()
	if c.compare == nil || c.stage != s.Stage {
		classes := map[string]bool{}
		for _, f := range figures {
			for class := range f.Ends {
				classes[class] = true
			}
		}
		c.compare, c.stage = NewComparison(s.Plan.Gate, len(s.Plan.Stages), len(classes)), s.Stage
	}
	c.compare.Look(figures, func(relay int) bool { return slices.Contains(s.Changed, relay) })
	return seen, nil
}

// carryOut has agents do what is written down. It is asked for again until it is seen to be done.
func (c *Controller) carryOut(ctx context.Context) error {
	if c.state.Phase == Stopped {
		return nil
	}
	var mu sync.Mutex
	var fenced bool
	c.each(func(a Agent) {
		to := c.state.Changing[a.Relay]
		if to == "" {
			return
		}
		mu.Lock()
		kept := c.kept[a.Relay] || to != c.state.New
		mu.Unlock()
		var err error
		if !kept {
			_, err = call(ctx, a.Address, request{Op: "keep", Fence: c.store.Fence(), Sum: to, Path: c.state.Plan.Version})
		}
		if err == nil {
			_, err = call(ctx, a.Address, request{Op: "change", Fence: c.store.Fence(), Sum: to})
		}
		mu.Lock()
		defer mu.Unlock()
		c.kept[a.Relay] = c.kept[a.Relay] || err == nil && to == c.state.New
		if err != nil {
			slog.Warn("rollout: agent", "relay", a.Relay, "err", err)
			fenced = fenced || errors.Is(err, ErrFenced)
		}
	})
	if fenced {
		return ErrSuperseded
	}
	return nil
}

// atOnce agents are asked side by side.
const atOnce = 32

func (c *Controller) each(do func(Agent)) { eachOf(c.state.Plan.Agents, do) }

func eachOf(agents []Agent, do func(Agent)) {
	var work sync.WaitGroup
	limit := make(chan bool, atOnce)
	for _, a := range agents {
		limit <- true
		work.Go(func() {
			defer func() { <-limit }()
			do(a)
		})
	}
	work.Wait()
}
