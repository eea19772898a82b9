// Package scenario reads the scenarios of the fleet lab: a fleet of relays, destinations with their endpoints, classes of
// message, a load and a timeline of faults, in one TOML file.
//
// A scenario that it returns can be run. An unknown key, a value out of range or with the wrong unit, and a fault that names
// something the scenario doesn't have are reported as one error with file and line, before anything starts. All random draws of
// a run derive from Seed through Draws and Draw.
package scenario

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"time"

	"milletsail/internal/config"
)

// Duration is a time in a scenario file, written with its unit, such as "5s".
type Duration = config.Duration

// Scenario describes one run of the lab. Fields that the file leaves out keep their value from Default.
type Scenario struct {
	Title  string   `toml:"title"`
	Seed   uint64   `toml:"seed"`
	Length Duration `toml:"length"` // time during which messages arrive; the run continues until every message has an outcome

	Fleet        Fleet         `toml:"fleet"`
	Rules        Rules         `toml:"rules"`
	Load         Load          `toml:"load"`
	Classes      []Class       `toml:"class"`
	Destinations []Destination `toml:"destination"`
	Faults       []Fault       `toml:"fault"`

	Hosts []Host `toml:"-"` // the endpoints, derived from Destinations and Faults
}

// Fleet describes the relays and the resources of each.
type Fleet struct {
	Relays            int      `toml:"relays"`
	Zones             []string `toml:"zones"` // zone names, assigned to relays and endpoints in turn
	Slots             int      `toml:"slots"` // calls that one relay may have in flight
	MaxOpen           int      `toml:"max_open"`
	Cores             float64  `toml:"cores"`
	MemoryMB          float64  `toml:"memory_mb"`
	Sockets           int      `toml:"sockets"`
	DiskMB            float64  `toml:"disk_mb"`
	Discovery         string   `toml:"discovery"` // "subscribe" or "automatic"
	Gossip            bool     `toml:"notes"`     // relays may send each other gossip datagrams
	ZoneAware         bool     `toml:"zoned"`     // relays decide by zone, and the lab asks for their zone states each second
	ProveNewEndpoints bool     `toml:"newcomers"` // relays prove new endpoints before full use, and the lab asks for the proving state
	ShareFacts        bool     `toml:"shares"`    // relays share facts by gossip, and the lab asks for their views each second
	SharedSocket      bool     `toml:"shared_socket"`
	ConnectTime       Duration `toml:"connect_timeout"`
	ConnIdle          Duration `toml:"conn_idle"`  // after which endpoints close idle connections
	Weights           string   `toml:"weights"`    // "off", "nominal" or "rough"
	Durability        string   `toml:"durability"` // durability of the relays' journals: "process" or "power"
	TrafficSigma      float64  `toml:"spread"`     // sigma of the lognormal distribution of traffic over the relays; 0 for equal shares
}

// Rules are the parameters of the protocol's rules.
type Rules struct {
	MaxAttempts    int      `toml:"max_attempts"`
	ClientTimeout  Duration `toml:"patience"` // how long a client waits for the relay's answer
	MaxRetryAfter  Duration `toml:"max_retry_after"`
	DrainGrace     Duration `toml:"drain_grace"`
	ColdShare      float64  `toml:"cold_share"`
	RampTime       Duration `toml:"ramp_time"`
	OverloadFactor float64  `toml:"overload_factor"`
	OverloadFor    Duration `toml:"overload_for"`
}

// Load describes the arrivals. They are drawn ahead of the run and don't wait for answers.
type Load struct {
	Rate        float64  `toml:"rate"`       // messages per second over the fleet
	BurstShare  float64  `toml:"clumps"`     // share of the messages that arrive in bursts for one destination
	BurstSize   int      `toml:"clump_size"` // messages per burst
	BurstSpan   Duration `toml:"clump_span"` // span in which the messages of a burst arrive
	BodyBytes   int      `toml:"bytes"`      // size of a message body
	ReturnShare float64  `toml:"returns"`    // share of the refused messages that clients hand in again if told when
}

// Class describes a class of message.
type Class struct {
	Name      string   `toml:"name"`
	Effect    string   `toml:"effect"` // "retryable", "dedup" or "fragile"
	Group     string   `toml:"group"`  // where a dedup class deduplicates: across "all" endpoints or within a "zone"
	Memory    Duration `toml:"memory"` // how long endpoints of a dedup class remember an idempotency key
	Target    Duration `toml:"aim"`
	Deadline  Duration `toml:"deadline"`
	Worth     float64  `toml:"worth"`
	LateShare float64  `toml:"late_share"` // share of Worth that a delivery at the deadline still earns
	Share     float64  `toml:"share"`      // weight of the class among the messages, relative to the other classes
}

// Destination describes one destination, or Count equal ones.
type Destination struct {
	Count           int      `toml:"count"`
	Endpoints       int      `toml:"endpoints"`
	Zones           []string `toml:"zones"`  // zones of its endpoints, assigned in turn; the fleet's if empty
	Share           float64  `toml:"share"`  // weight among the messages, relative to the other destinations
	Limit           string   `toml:"limit"`  // "none", "rate" or "window"
	Rate            float64  `toml:"rate"`   // calls per second that the limit allows, over all relays
	Window          Duration `toml:"window"` // length of the window of a window limit
	SendsRetryAfter bool     `toml:"tells_wait"`
	CountsRefused   bool     `toml:"refused_count"` // refused calls use up the limit too
	Service         Duration `toml:"service"`       // mean service time of a call
	ServiceCV       float64  `toml:"service_cv"`    // coefficient of variation of the service time
	Workers         int      `toml:"workers"`       // calls that an endpoint serves at the same time
	Queue           int      `toml:"queue"`         // further calls that may wait at an endpoint
	Connections     int      `toml:"connections"`   // connections open at an endpoint, over all relays; 0 for no limit
	MaxBatch        int      `toml:"bulk"`          // maximum number of messages per call
	ItemCost        float64  `toml:"item_cost"`     // service time of each message after the first, as a share of Service
}

// Host is one endpoint.
type Host struct {
	Name         string
	Dest         int // destination number, as on the wire
	Zone         string
	Destination  *Destination
	AddedByFault int // 0 if it is listed from the start, else 1 + the index of the fault that adds it
	Replaces     int // index in Hosts of the endpoint that it replaces; valid if AddedByFault is above 0
}

// Default returns the values that a scenario has where its file sets none.
func Default() Scenario {
	return Scenario{Seed: 1, Length: Duration(20 * time.Second),
		Fleet: Fleet{Relays: 4, Zones: []string{"a"}, Slots: 24, MaxOpen: 300, Cores: 1, MemoryMB: 128, Sockets: 512, DiskMB: 3,
			Discovery: "subscribe", Gossip: true, Durability: "process", ConnectTime: Duration(time.Second), ConnIdle: Duration(10 * time.Second), Weights: "nominal"},
		Rules: Rules{MaxAttempts: 8, ClientTimeout: Duration(400 * time.Millisecond), MaxRetryAfter: Duration(3 * time.Second),
			DrainGrace: Duration(2 * time.Second), ColdShare: 0.3, RampTime: Duration(8 * time.Second), OverloadFactor: 2.5,
			OverloadFor: Duration(3 * time.Second)},
		Load: Load{Rate: 60, BurstSize: 8, BurstSpan: Duration(time.Second), BodyBytes: 200, ReturnShare: 0.7}}
}

var defaultClass = Class{Effect: "retryable", Group: "all", Memory: Duration(15 * time.Second), Target: Duration(2 * time.Second),
	Deadline: Duration(8 * time.Second), Worth: 1, LateShare: 0.3, Share: 1}

var defaultDestination = Destination{Count: 1, Endpoints: 1, Share: 1, Limit: "none", Window: Duration(time.Second),
	Service: Duration(40 * time.Millisecond), ServiceCV: 0.4, Workers: 16, Queue: 16, MaxBatch: 1, ItemCost: 0.1}

// LoadFile reads a scenario from a file. An error on its content names the file and the line.
func LoadFile(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads a scenario from text; name identifies it in errors.
func Parse(name string, text []byte) (*Scenario, error) {
	s := Default()
	if err := config.Decode(name, text, &s); err != nil {
		return nil, err
	}
	lines := parseKeyLines(text)
	s.fillDefaults(lines)
	if path, err := s.check(); err != nil {
		return nil, fmt.Errorf("%s:%d: %s: %w", name, lines.lineOf(path), path, err)
	}
	s.createEndpoints()
	if path, err := s.checkFaults(); err != nil {
		return nil, fmt.Errorf("%s:%d: %s: %w", name, lines.lineOf(path), path, err)
	}
	for i := range s.Faults {
		if s.Faults[i].AddsReplacements() {
			for _, old := range s.AffectedEndpoints(i) {
				h := s.Hosts[old]
				h.Name, h.AddedByFault, h.Replaces = fmt.Sprintf("%s-n%d", h.Name, i), i+1, old
				s.Hosts = append(s.Hosts, h)
			}
		}
	}
	return &s, nil
}

// fillDefaults sets the fields that classes and destinations leave out to their defaults.
func (s *Scenario) fillDefaults(lines keyLines) {
	for i := range s.Classes {
		applyDefaults(&s.Classes[i], defaultClass, lines, fmt.Sprintf("class[%d]", i))
	}
	for i := range s.Destinations {
		applyDefaults(&s.Destinations[i], defaultDestination, lines, fmt.Sprintf("destination[%d]", i))
	}
}

// createEndpoints creates the initial endpoints. Destinations are numbered from 0 in the order of the file.
func (s *Scenario) createEndpoints() {
	no := 0
	for i := range s.Destinations {
		d := &s.Destinations[i]
		zones := d.Zones
		if len(zones) == 0 {
			zones = s.Fleet.Zones
		}
		for range d.Count {
			for e := range d.Endpoints {
				s.Hosts = append(s.Hosts, Host{Name: fmt.Sprintf("d%d-e%d", no, e), Dest: no, Zone: zones[(no+e)%len(zones)], Destination: d})
			}
			no++
		}
	}
}

// Zone returns the zone of a relay.
func (f *Fleet) Zone(relay int) string { return f.Zones[relay%len(f.Zones)] }

// DestinationCount returns the number of destinations, with those that Count multiplies.
func (s *Scenario) DestinationCount() int {
	n := 0
	for i := range s.Destinations {
		n += s.Destinations[i].Count
	}
	return n
}

// Draws returns a random generator for one purpose. The same seed and purpose give the same numbers, whatever else is drawn.
func (s *Scenario) Draws(purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, hash(purpose)))
}

// Draw returns a number in [0, 1) that depends on the seed and the purpose only, and so not on the order of events in real
// time.
func (s *Scenario) Draw(purpose string) float64 {
	return rand.New(rand.NewPCG(s.Seed, hash(purpose))).Float64()
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}
