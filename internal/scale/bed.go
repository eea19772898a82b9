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
	// listeners take the calls to all endpoints that answer. Each has an address of its own, so that a relay's idle
	// connections are shared by the destinations of one listener alone.
	listeners = 512
	// retryLaterListener turns all calls away and tells to wait, and nothing listens at closedListener.
	retryLaterListener, closedListener = listeners, listeners + 1
	// toggledEntries entries at the start of the list are those that changes take off it and put back, and marking ones after
	// them, which are more, tell when a relay has taken in all changes. These are never down and get no messages.
	toggledEntries  = 32
	markerEntries   = 40
	reservedEntries = toggledEntries + markerEntries
	// heldDestinations at the end of the list tell to wait, in a run that holds messages: all messages that are held are
	// for them, and no slot is.
	heldDestinations = 2000
	// minDestinations is the shortest list that has room for those.
	minDestinations = 300
	// pollInterval is the time between looks at the relay's counters.
	pollInterval = 5 * time.Millisecond
	// adminTimeout bounds how long a look may take.
	adminTimeout = 2 * time.Second
	// stopTimeout is how long a relay may take to end, by the protocol.
	stopTimeout = 3700 * time.Millisecond
	// The classes of message: one with the deadline of a usual day, and one for messages that are held.
	usualClass, heldClass       = "notice", "held"
	usualDeadline, heldDeadline = 8 * time.Second, time.Hour
	// endpointRate is the calls a second that a destination takes, as the list tells it.
	endpointRate = 25
	// heldCapacityFactor is how much more than the messages that are to be held a relay may hold.
	heldCapacityFactor = 1.5
)

// size is what one point asks of a relay.
type size struct {
	destinations int
	changes      float64 // a second
	messages     float64 // a second
	held         int
}

// testBed is one relay with the stand-ins that it meets.
type testBed struct {
	plan       *Plan
	size       size
	binary     string
	dir        string
	env        []string // added to the relay's environment
	subnet     *platform.Subnet
	list       *standin.List
	discovery  *standin.Discovery
	endpoints  *standin.Endpoints
	relay      *process.Process
	clients    *clients
	nextToggle int // of the next change among those of the changing entries
}

// newTestBed opens the stand-ins of a point; the relay is not started yet.
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

// close ends the relay and the stand-ins.
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

// down tells whether the endpoint of a destination refuses connections: a share of them, by the seed.
func (b *testBed) down(index int) bool {
	if index < reservedEntries {
		return false
	}
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "down %d %d", b.plan.Seed, index)
	const steps = 100_000
	return float64(h.Sum64()%steps) < b.plan.Load.Down.Part()*steps
}

// refusesCalls tells whether the endpoint of a destination turns all calls away.
func (b *testBed) refusesCalls(index int) bool {
	return b.size.held > 0 && index >= b.size.destinations-heldDestinations
}

// entry is an entry of the list, as it is from the start.
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

// scenario is what the relay's settings are made from.
func (b *testBed) scenario() *scenario.Scenario {
	s := scenario.Default()
	s.Fleet.Relays, s.Fleet.Notes, s.Fleet.Weights = 1, false, "nominal"
	s.Fleet.MaxOpen = max(s.Fleet.MaxOpen, int(heldCapacityFactor*float64(b.size.held)))
	class := scenario.Class{Effect: "retryable", Group: "all", Aim: scenario.Duration(2 * time.Second), Worth: 1, LateShare: 0.3, Share: 1,
		Memory: scenario.Duration(15 * time.Second)}
	usual, held := class, class
	usual.Name, usual.Deadline = usualClass, scenario.Duration(usualDeadline)
	// A relay refuses what would wait long before messages of as much value that can't: those that are held have the most,
	// and lose none of it.
	held.Name, held.Deadline, held.Aim, held.Worth = heldClass, scenario.Duration(heldDeadline), scenario.Duration(heldDeadline), 2
	s.Rules.MaxRetryAfter = scenario.Duration(standin.RetryDelay)
	s.Classes = []scenario.Class{usual, held}
	s.Destinations = []scenario.Destination{{Count: 1, Endpoints: 1, Bulk: 1}}
	return &s
}

// configuration is a relay's configuration file.
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

// limits are what the platform grants the relay.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// relaySockets is how many sockets the relay may have.
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

// startResult is how a start went.
type startResult struct {
	ready time.Duration // until it took clients
	list  time.Duration // until it counted all that is listed
	usage process.Usage // then
}

// listTooLong finds the reason in the log of a relay that refuses a list.
var listTooLong = regexp.MustCompile(`list too long`)

// start starts the relay and waits until the whole list is in force.
func (b *testBed) start(ctx context.Context) (s startResult, err error) {
	if b.relay, err = process.Start(process.Options{Binary: b.binary, Dir: b.dir, Config: b.configPath(), State: b.stateDir(), Env: b.env}); err != nil {
		return s, err
	}
	begun := b.relay.Started()
	if err := b.await(ctx, b.healthy); err != nil {
		return s, fmt.Errorf("not ready: %w", err)
	}
	s.ready = time.Since(begun)
	inForce := func() bool { listed, err := b.members(); return err == nil && listed == b.list.Listed() }
	if err := b.await(ctx, inForce); err != nil {
		return s, fmt.Errorf("the list is not in force: %w", err)
	}
	s.list = time.Since(begun)
	s.usage, err = b.relay.Usage()
	return s, err
}

// await waits until something is so, as long as the plan lets a start take.
func (b *testBed) await(ctx context.Context, done func() bool) error {
	end := time.Now().Add(b.plan.Relay.Ready.D())
	for !done() {
		select {
		case <-b.relay.Exited():
			return fmt.Errorf("%w: %s", process.ErrExited, strings.TrimSpace(b.relay.LastLine()))
		default:
		}
		if line := b.relay.Find(listTooLong); line != "" {
			return errors.New("the relay says: " + strings.TrimSpace(line))
		}
		if time.Now().After(end) {
			return fmt.Errorf("not within %v; the relay's last line: %q", b.plan.Relay.Ready.D(), strings.TrimSpace(b.relay.LastLine()))
		}
		if !clock.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// healthy tells whether the relay takes clients.
func (b *testBed) healthy() bool {
	reply, err := admin.Call(context.Background(), b.subnet.Admin(0, 0), "health", adminTimeout)
	return err == nil && strings.HasPrefix(reply, "OK")
}

// counterNames are the relay's counters that the bed reads.
const (
	membersCounter = "relay_members"
	pendingCounter = "relay_pending"
)

// members asks the relay how many entries its list has.
func (b *testBed) members() (int, error) {
	value, err := b.counter(membersCounter)
	return int(value), err
}

// counter asks the relay for one of its counters.
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
	return 0, fmt.Errorf("the relay has no counter %s", name)
}
