package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"milletsail/internal/admin"
	"milletsail/internal/clock"
	"milletsail/internal/lab/platform"
	"milletsail/internal/lab/relays"
	"milletsail/internal/lab/scenario"
	"milletsail/internal/scale/process"
	"milletsail/internal/scale/standin"
)

const (
	// listeners is the number of listeners that serve the calls to all responsive endpoints. Each has its own
	// address, so that a relay's idle connections are shared only among the destinations of one listener.
	listeners = 512
	// retryLaterListener refuses all calls and asks the relay to retry later. Nothing listens at the address of
	// closedListener, which refuses connections.
	retryLaterListener, closedListener = listeners, listeners + 1
	// The first toggledEntries of the list are removed from it and put back by changes. The markerEntries after them,
	// which are more, are toggled together to detect that a relay has applied all changes. Both kinds,
	// reservedEntries in all, are never down and get no messages.
	toggledEntries  = 32
	markerEntries   = 40
	reservedEntries = toggledEntries + markerEntries
	// heldDestinations is the number of destinations at the end of the list that refuse all calls, in a run that
	// holds messages. All held messages are for them, so that none of those occupies a slot.
	heldDestinations = 2000
	// minDestinations is the length of the shortest list, with room for the reserved entries.
	minDestinations = 300
	// pollInterval is the interval at which the relay's counters are polled.
	pollInterval = 5 * time.Millisecond
	// adminTimeout is the time limit of a request to the relay's admin endpoint.
	adminTimeout = 2 * time.Second
	// stopTimeout is the time that the protocol gives a relay to exit.
	stopTimeout = 3700 * time.Millisecond
	// The two classes of messages, with their deadlines: one for usual messages, one for messages that the relay has
	// to hold.
	usualClass, heldClass       = "notice", "held"
	usualDeadline, heldDeadline = 8 * time.Second, time.Hour
	// endpointRate is the rate of calls per second, over all relays, that the list announces for a destination. The
	// stand-in endpoints do not enforce it.
	endpointRate = 25
	// heldCapacityFactor is the relay's limit on open messages, as a multiple of the messages that it has to hold.
	heldCapacityFactor = 1.5
)

// size is the load of one point on a relay.
type size struct {
	destinations int
	changes      float64 // changes of the list per second
	messages     float64 // messages of the usual class per second
	held         int     // messages that the relay has to hold
}

// testBed is one relay with the stand-ins for discovery and endpoints, and its clients.
type testBed struct {
	plan       *Plan
	size       size
	binary     string
	dir        string
	env        []string // variables added to the relay's environment
	subnet     *platform.Subnet
	list       *standin.List
	discovery  *standin.Discovery
	endpoints  *standin.Endpoints
	relay      *process.Process
	clients    *clients
	nextToggle int // index of the next toggle, from 0 to 2*toggledEntries-1
}

// newTestBed opens the stand-ins of a point and writes the relay's configuration. It does not start the relay.
func newTestBed(plan *Plan, s size, binary, dir string, subnet *platform.Subnet) (b *testBed, err error) {
	b = &testBed{plan: plan, size: s, binary: binary, dir: dir, subnet: subnet}
	defer func() {
		if err != nil {
			b.close()
		}
	}()
	if b.list, err = standin.NewList(s.destinations, b.entry); err != nil {
		return b, err
	}
	var addresses []string
	for i := range listeners + 1 {
		addresses = append(addresses, subnet.Host(0, i))
	}
	if b.endpoints, err = standin.OpenEndpoints(addresses, func(i int) bool { return i == retryLaterListener }); err != nil {
		return b, err
	}
	if b.discovery, err = standin.OpenDiscovery(subnet.Discovery(0, 0), b.list); err != nil {
		return b, err
	}
	b.clients = newClients(subnet.Clients(0), usualClass, uint64(time.Now().UnixNano()))
	if err = os.MkdirAll(b.stateDir(), 0o700); err != nil {
		return b, err
	}
	return b, b.writeConfig()
}

// close kills the relay and closes the stand-ins.
func (b *testBed) close() {
	if b.relay != nil {
		b.relay.End(syscall.SIGKILL, stopTimeout)
	}
	if b.clients != nil {
		b.clients.close()
	}
	if b.discovery != nil {
		b.discovery.Close()
	}
	if b.endpoints != nil {
		b.endpoints.Close()
	}
}

func (b *testBed) stateDir() string   { return filepath.Join(b.dir, "state") }
func (b *testBed) configPath() string { return filepath.Join(b.dir, "config.json") }

// down reports whether the endpoint of a destination refuses connections: a share of the destinations, chosen by the
// seed.
func (b *testBed) down(index int) bool {
	if index < reservedEntries {
		return false
	}
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "down %d %d", b.plan.Seed, index)
	const steps = 100_000
	return float64(h.Sum64()%steps) < b.plan.Load.Down.Part()*steps
}

// refusesCalls reports whether the endpoint of a destination refuses all calls and asks the relay to retry later.
func (b *testBed) refusesCalls(index int) bool {
	return b.size.held > 0 && index >= b.size.destinations-heldDestinations
}

// entry returns the initial entry of the list for a destination.
func (b *testBed) entry(index int) platform.Entry {
	listener := index % listeners
	switch {
	case b.refusesCalls(index):
		listener = retryLaterListener
	case b.down(index):
		listener = closedListener
	}
	return platform.Entry{Host: "d" + strconv.Itoa(index) + "-e0", Dial: b.subnet.Host(0, listener), Site: "a",
		Class: (*platform.Platform)(nil).Shape(1), Block: index, Health: standin.Serving, Share: endpointRate}
}

// scenario returns the lab scenario from which the relay's settings are derived.
func (b *testBed) scenario() *scenario.Scenario {
	s := scenario.Default()
	s.Fleet.Relays, s.Fleet.Gossip, s.Fleet.Weights = 1, false, "nominal"
	s.Fleet.MaxOpen = max(s.Fleet.MaxOpen, int(heldCapacityFactor*float64(b.size.held)))
	class := scenario.Class{Effect: "retryable", Group: "all", Target: scenario.Duration(2 * time.Second), Worth: 1, LateShare: 0.3, Share: 1,
		Memory: scenario.Duration(15 * time.Second)}
	usual, held := class, class
	usual.Name, usual.Deadline = usualClass, scenario.Duration(usualDeadline)
	// Under load a relay refuses messages that would wait long, before others of equal worth that can't. The held
	// class therefore has the highest worth and loses none of it.
	held.Name, held.Deadline, held.Target, held.Worth = heldClass, scenario.Duration(heldDeadline), scenario.Duration(heldDeadline), 2
	s.Rules.MaxRetryAfter = scenario.Duration(standin.RetryDelay)
	s.Classes = []scenario.Class{usual, held}
	s.Destinations = []scenario.Destination{{Count: 1, Endpoints: 1, MaxBatch: 1}}
	return &s
}

// configuration is the content of a relay's configuration file.
type configuration struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Admin     string          `json:"admin"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  map[string]any  `json:"settings"`
}

// limits are the resources that the platform grants the relay.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// relaySockets is the number of sockets that the relay may open.
const relaySockets = 4096

func (b *testBed) writeConfig() error {
	known := strings.Builder{}
	known.WriteString(`{"seq":0,"whole":true,"hosts":[]}`)
	if b.plan.Relay.ListInConfig {
		known.Reset()
		if _, err := b.list.WriteWhole(&known); err != nil {
			return err
		}
	}
	seed := generator(b.plan.Seed, uint64(b.size.destinations)).Uint64()
	text, err := json.Marshal(configuration{Name: "n0", Listen: b.subnet.Clients(0), Admin: b.subnet.Admin(0, 0),
		Discovery: b.subnet.Discovery(0, 0), Seed: fmt.Sprintf("%016x", seed),
		Limits: limits{Cores: b.plan.Relay.Cores, MemoryMB: b.plan.Relay.Memory.MB(), Sockets: relaySockets, DiskMB: b.plan.Relay.Disk.MB()},
		Known:  json.RawMessage(known.String()), Settings: relays.Settings(b.scenario(), 0)})
	if err != nil {
		return err
	}
	return os.WriteFile(b.configPath(), text, 0o600)
}

// startResult holds the times from the start of a relay's process, and its resource usage at the end of the start.
type startResult struct {
	ready time.Duration // until its health check succeeds
	list  time.Duration // until its list has all listed entries
	usage process.Usage // when the whole list is in effect
}

// listTooLong matches the log line of a relay that rejects a list as too long.
var listTooLong = regexp.MustCompile(`list too long`)

// start starts the relay and waits until it has applied the whole list.
func (b *testBed) start(ctx context.Context) (s startResult, err error) {
	if b.relay, err = process.Start(process.Options{Binary: b.binary, Dir: b.dir, Config: b.configPath(), State: b.stateDir(), Env: b.env}); err != nil {
		return s, err
	}
	begun := b.relay.Started()
	if err := b.await(ctx, b.healthy); err != nil {
		return s, fmt.Errorf("wait until the relay is ready: %w", err)
	}
	s.ready = time.Since(begun)
	inForce := func() bool { listed, err := b.members(); return err == nil && listed == b.list.Listed() }
	if err := b.await(ctx, inForce); err != nil {
		return s, fmt.Errorf("wait until the relay has applied the whole list: %w", err)
	}
	s.list = time.Since(begun)
	s.usage, err = b.relay.Usage()
	return s, err
}

// await polls a condition until it holds. It fails if the relay exits, rejects its list, or takes longer than
// relay.ready of the plan.
func (b *testBed) await(ctx context.Context, done func() bool) error {
	end := time.Now().Add(b.plan.Relay.Ready.D())
	for !done() {
		select {
		case <-b.relay.Exited():
			return fmt.Errorf("%w: %s", process.ErrExited, strings.TrimSpace(b.relay.LastLine()))
		default:
		}
		if line := b.relay.Find(listTooLong); line != "" {
			return errors.New("the relay rejected the list: " + strings.TrimSpace(line))
		}
		if time.Now().After(end) {
			return fmt.Errorf("timed out after %v; the relay's last log line is %q", b.plan.Relay.Ready.D(), strings.TrimSpace(b.relay.LastLine()))
		}
		if !clock.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// healthy reports whether the relay accepts clients, by its admin endpoint.
func (b *testBed) healthy() bool {
	reply, err := admin.Call(context.Background(), b.subnet.Admin(0, 0), "health", adminTimeout)
	return err == nil && strings.HasPrefix(reply, "OK")
}

// The counters of the relay that the test bed reads.
const (
	membersCounter = "relay_members"
	pendingCounter = "relay_pending"
)

// members returns the number of entries in the relay's list.
func (b *testBed) members() (int, error) {
	value, err := b.counter(membersCounter)
	return int(value), err
}

// counter returns the value of one of the relay's counters.
func (b *testBed) counter(name string) (float64, error) {
	reply, err := admin.Call(context.Background(), b.subnet.Admin(0, 0), "counters", adminTimeout)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(reply) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			return strconv.ParseFloat(strings.TrimSpace(rest), 64)
		}
	}
	return 0, fmt.Errorf("the relay's admin endpoint reports no counter %s", name)
}
