// Package scale measures how the cost of control at a relay grows with the size of the platform: it sweeps one
// dimension at a time over real relay processes and stand-ins of the platform, and fits a slope to each figure.
//
// It promises that whatever it reports was measured from outside of a relay's process, so that any version of the
// relay can be measured; that a point which could not be measured is reported with its reason and does not end the run;
// that a run in which the test bed itself was late is marked as invalid; and that no process outlives the run.
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

// Plan is one sweep.
type Plan struct {
	Title  string     `toml:"title"`
	Seed   uint64     `toml:"seed"`
	Sweep  string     `toml:"sweep"`
	Points []int      `toml:"points"` // of the dimension: endpoints, changes a second, messages, or relays
	Load   LoadPlan   `toml:"load"`
	Phases PhasePlan  `toml:"phases"`
	Relay  RelayPlan  `toml:"relay"`
	Fleet  FleetPlan  `toml:"fleet"`
	Bounds BoundsPlan `toml:"bounds"`
}

// LoadPlan is what a relay has to do. The swept dimension takes its value from the points.
type LoadPlan struct {
	Destinations int   `toml:"destinations"` // on the list, one endpoint each
	Down         Share `toml:"down"`         // of the destinations, whose endpoint refuses connections
	Changes      Rate  `toml:"changes"`      // of the list, one endpoint each
	Messages     Rate  `toml:"messages"`     // handed in
	Held         int   `toml:"held"`         // messages that the relay holds and can't deliver
}

// PhasePlan is how long each phase of a point lasts.
type PhasePlan struct {
	Settle   Duration `toml:"settle"`   // after the start, not measured
	Idle     Duration `toml:"idle"`     // neither messages nor changes
	Changes  Duration `toml:"changes"`  // changes alone
	Messages Duration `toml:"messages"` // messages alone
	Both     Duration `toml:"both"`     // messages and changes
	InForce  Duration `toml:"in_force"` // changes, with the relay's counters polled
}

// RelayPlan is what a relay may use, and how long the bed waits for it.
type RelayPlan struct {
	Cores        float64  `toml:"cores"`
	Memory       Size     `toml:"memory"`
	Disk         Size     `toml:"disk"`
	ListInConfig bool     `toml:"list_in_config"` // the list stands in the configuration as well
	Ready        Duration `toml:"ready"`          // longest wait from start until the whole list is in force
	Restart      bool     `toml:"restart"`        // end with a restart on the same folder
	Fill         Duration `toml:"fill"`           // longest time for the messages that are held to be handed in
}

// FleetPlan is a sweep over relays.
type FleetPlan struct {
	Real     int      `toml:"real"`      // relays that are processes of the relay's binary; the others are hollow
	Loss     []Share  `toml:"loss"`      // of the datagrams; each point is run with each
	Facts    int      `toml:"facts"`     // shared one after the other, to time how they spread
	Measure  Duration `toml:"measure"`   // of processor time and datagrams, with nothing to share
	DeadWait Duration `toml:"dead_wait"` // longest wait until a dead relay is dropped
}

// BoundsPlan bounds what a run may use.
type BoundsPlan struct {
	MemoryShare Share `toml:"memory_share"` // of the machine's, for relays and test bed together
	Processes   int   `toml:"processes"`
}

// The bounds that no plan may exceed.
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

// DefaultPlan is what a plan holds where its file is silent.
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

// LoadPlanFile reads a plan from a file.
func LoadPlanFile(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePlan(path, text)
}

// ParsePlan reads a plan from a text; name stands for the file in errors, which have the line.
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

// bound is a value of a plan with the range that it has to be in.
type bound struct {
	key         string
	value       float64
	least, most float64
}

// check gives the key at fault of a plan that can't be run, with the reason.
func (p *Plan) check() (key string, err error) {
	limits := map[string]float64{SweepDestinations: maxDestinations, SweepChanges: maxChanges, SweepHeld: maxHeld, SweepRelays: maxRelays}
	most, known := limits[p.Sweep]
	switch {
	case !known:
		return "sweep", fmt.Errorf("%q is not \"destinations\", \"changes\", \"held\" or \"relays\"", p.Sweep)
	case len(p.Points) < minPoints || len(p.Points) > maxPoints:
		return "points", fmt.Errorf("are %d, not %d to %d", len(p.Points), minPoints, maxPoints)
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
		return "load.destinations", fmt.Errorf("%d is less than %d, which messages that are held need", p.Load.Destinations, least)
	}
	for _, b := range p.bounds() {
		if !(b.value >= b.least && b.value <= b.most) {
			return b.key, fmt.Errorf("%v is not %v to %v", b.value, b.least, b.most)
		}
	}
	return "", nil
}

// bounds lists the values that have a range.
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

// SetPoints gives a plan other points.
func (p *Plan) SetPoints(points []int) error {
	p.Points = points
	if key, err := p.check(); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}
