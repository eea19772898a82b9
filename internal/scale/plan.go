// Package scale measures how the cost of control at a relay grows with the size of the platform. It sweeps one
// dimension at a time, with real relay processes and stand-ins for the platform, and fits the growth of each figure.
//
// All figures are measured from outside the relay's process, so that any version of the relay can be measured. A
// point that can't be measured is reported with its reason and does not end the run. A run in which the test bed sent
// its own load late is marked as invalid. No process outlives the run.
package scale

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"milletsail/internal/config"
)

// The dimensions that a plan can sweep.
const (
	SweepDestinations = "destinations"
	SweepChanges      = "changes"
	SweepHeld         = "held"
	SweepRelays       = "relays"
)

// Plan is a sweep over one dimension.
type Plan struct {
	Title  string     `toml:"title"`
	Seed   uint64     `toml:"seed"`
	Sweep  string     `toml:"sweep"`
	Points []int      `toml:"points"` // values of the swept dimension: destinations, changes per second, held messages, or relays
	Load   LoadPlan   `toml:"load"`
	Phases PhasePlan  `toml:"phases"`
	Relay  RelayPlan  `toml:"relay"`
	Fleet  FleetPlan  `toml:"fleet"`
	Bounds BoundsPlan `toml:"bounds"`
}

// LoadPlan is the load on a relay. The value of the swept dimension is replaced by that of each point.
type LoadPlan struct {
	Destinations int   `toml:"destinations"` // entries on the list, with one endpoint each
	Down         Share `toml:"down"`         // share of the destinations whose endpoint refuses connections
	Changes      Rate  `toml:"changes"`      // changes of the list, of one endpoint each
	Messages     Rate  `toml:"messages"`     // messages submitted by clients
	Held         int   `toml:"held"`         // messages that the relay has to hold because it can't deliver them
}

// PhasePlan holds the duration of each phase of a point.
type PhasePlan struct {
	Settle   Duration `toml:"settle"`   // unmeasured time after the start
	Idle     Duration `toml:"idle"`     // neither messages nor changes
	Changes  Duration `toml:"changes"`  // changes alone
	Messages Duration `toml:"messages"` // messages alone
	Both     Duration `toml:"both"`     // messages and changes
	InForce  Duration `toml:"in_force"` // changes, while the relay's counters are polled for the time until they take effect
}

// RelayPlan holds the resources of a relay and the time limits of the test bed.
type RelayPlan struct {
	Cores        float64  `toml:"cores"`
	Memory       Size     `toml:"memory"`
	Disk         Size     `toml:"disk"`
	ListInConfig bool     `toml:"list_in_config"` // the relay's configuration contains the list as well
	Ready        Duration `toml:"ready"`          // time limit of a start until healthy, and again from then until the list is applied
	Restart      bool     `toml:"restart"`        // restart the relay with the same state directory at the end of a point
	Fill         Duration `toml:"fill"`           // time limit for submitting the held messages
}

// FleetPlan holds the parameters of a sweep over relays.
type FleetPlan struct {
	Real     int      `toml:"real"`      // number of real relay processes; the other relays are simulated (hollow)
	Loss     []Share  `toml:"loss"`      // shares of lost datagrams; each point is measured with each of them
	Facts    int      `toml:"facts"`     // number of facts that are shared to measure how fast they spread
	Measure  Duration `toml:"measure"`   // duration of the measurement of an idle fleet
	DeadWait Duration `toml:"dead_wait"` // time limit until a dead relay is dropped
}

// BoundsPlan limits the resources of a run.
type BoundsPlan struct {
	MemoryShare Share `toml:"memory_share"` // share of the machine's memory, for relays and test bed together
	Processes   int   `toml:"processes"`
}

// The limits that apply to all plans.
const (
	maxMemoryShare  = 0.5
	maxProcesses    = 200
	maxReal         = 60
	minPoints       = 2
	maxPoints       = 50
	maxDestinations = 1_000_000
	maxHeld         = 1_000_000
	maxChanges      = 1_000
	maxMessages     = 5_000
	maxRelays       = 1_200
	maxPhase        = 10 * time.Minute
)

// DefaultPlan returns the values that apply where a plan's file sets none.
func DefaultPlan() Plan {
	second := func(n int) Duration { return Duration{time.Duration(n) * time.Second} }
	return Plan{Seed: 1,
		Load: LoadPlan{Destinations: 1000, Down: Share{0.01}, Changes: Rate{16}, Messages: Rate{208}},
		Phases: PhasePlan{Settle: second(2), Idle: second(3), Changes: second(5), Messages: second(5), Both: second(5),
			InForce: second(4)},
		Relay: RelayPlan{Cores: 1, Memory: Size{4096 * megabyte}, Disk: Size{4096 * megabyte}, Ready: second(60), Restart: true,
			Fill: second(120)},
		Fleet:  FleetPlan{Real: 4, Loss: []Share{{0}, {0.1}}, Facts: 20, Measure: second(15), DeadWait: second(40)},
		Bounds: BoundsPlan{MemoryShare: Share{maxMemoryShare}, Processes: maxProcesses}}
}

// LoadPlanFile reads and checks a plan.
func LoadPlanFile(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePlan(path, text)
}

// ParsePlan parses and checks the TOML text of a plan. Errors begin with name and the line.
func ParsePlan(name string, text []byte) (*Plan, error) {
	p := DefaultPlan()
	if err := checkUnits(name, text); err != nil {
		return nil, err
	}
	if err := config.Decode(name, text, &p); err != nil {
		return nil, err
	}
	if key, err := p.check(); err != nil {
		return nil, fmt.Errorf("%s:%d: %s: %w", name, lineOf(text, key), key, err)
	}
	return &p, nil
}

// bound is a value of a plan with its permitted range.
type bound struct {
	key         string
	value       float64
	least, most float64
}

// check returns the first invalid key of a plan, with the reason.
func (p *Plan) check() (key string, err error) {
	limits := map[string]float64{SweepDestinations: maxDestinations, SweepChanges: maxChanges, SweepHeld: maxHeld, SweepRelays: maxRelays}
	most, known := limits[p.Sweep]
	switch {
	case !known:
		return "sweep", fmt.Errorf("%q is not \"destinations\", \"changes\", \"held\" or \"relays\"", p.Sweep)
	case len(p.Points) < minPoints || len(p.Points) > maxPoints:
		return "points", fmt.Errorf("are %d, want %d to %d", len(p.Points), minPoints, maxPoints)
	case !slices.IsSorted(p.Points) || len(slices.Compact(slices.Clone(p.Points))) < len(p.Points):
		return "points", errors.New("are not in rising order")
	}
	least := 1
	switch p.Sweep {
	case SweepDestinations:
		least = minDestinations
	case SweepRelays:
		least = 2
	}
	for _, point := range p.Points {
		if point < least || float64(point) > most {
			return "points", fmt.Errorf("%d is not %d to %.0f", point, least, most)
		}
	}
	if least := minDestinations + heldDestinations; (p.Sweep == SweepHeld || p.Load.Held > 0) && p.Load.Destinations < least {
		return "load.destinations", fmt.Errorf("%d is less than %d, the minimum for a plan with held messages", p.Load.Destinations, least)
	}
	for _, b := range p.bounds() {
		if !(b.value >= b.least && b.value <= b.most) {
			return b.key, fmt.Errorf("%v is outside %v to %v (times in seconds, rates per second, shares as fractions, lists by their length)",
				b.value, b.least, b.most)
		}
	}
	return "", nil
}

// bounds returns the values that have a permitted range.
func (p *Plan) bounds() []bound {
	longest := maxPhase.Seconds()
	phase := func(key string, d Duration, least float64) bound { return bound{key, d.S(), least, longest} }
	return []bound{
		{"load.destinations", float64(p.Load.Destinations), minDestinations, maxDestinations},
		{"load.changes", p.Load.Changes.PerSecond(), 0, maxChanges},
		{"load.messages", p.Load.Messages.PerSecond(), 1, maxMessages},
		{"load.held", float64(p.Load.Held), 0, maxHeld},
		phase("phases.settle", p.Phases.Settle, 0), phase("phases.idle", p.Phases.Idle, 0.5),
		phase("phases.changes", p.Phases.Changes, 0.5), phase("phases.messages", p.Phases.Messages, 0.5),
		phase("phases.both", p.Phases.Both, 0.5), phase("phases.in_force", p.Phases.InForce, 0.5),
		{"relay.cores", p.Relay.Cores, 0.1, 64},
		phase("relay.ready", p.Relay.Ready, 1), phase("relay.fill", p.Relay.Fill, 1),
		{"fleet.real", float64(p.Fleet.Real), 0, maxReal},
		{"fleet.facts", float64(p.Fleet.Facts), 0, 1000},
		{"fleet.loss", float64(len(p.Fleet.Loss)), 1, 10},
		phase("fleet.measure", p.Fleet.Measure, 1), phase("fleet.dead_wait", p.Fleet.DeadWait, 1),
		{"bounds.memory_share", p.Bounds.MemoryShare.Part(), 0.01, maxMemoryShare},
		{"bounds.processes", float64(p.Bounds.Processes), 1, maxProcesses},
	}
}

// SetPoints replaces the points of the plan and checks it.
func (p *Plan) SetPoints(points []int) error {
	p.Points = points
	if key, err := p.check(); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}
