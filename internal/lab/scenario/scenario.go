// Package scenario reads what the fleet lab plays: a fleet of relays, destinations and their endpoints, classes of
// message, a load, and a timeline of faults, in one TOML file.
//
// It promises that a scenario it returns can be played: an unknown key, a value of the wrong unit or a fault that
// names nothing in the scenario is one error with the file and the line, and nothing has been started by then. All
// draws of a run follow from Seed through Draws.
package scenario

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"time"

	"milletsail/internal/config"
)

// Duration is a time in a scenario, written with its unit.
type Duration = config.Duration

// Scenario is one play of the lab. Fields with a default in Default keep it where the file is silent.
type Scenario struct {
	Title  string   `toml:"title"`
	Seed   uint64   `toml:"seed"`
	Length Duration `toml:"length"` // of the arrivals; a run goes on until every message has its end

	Fleet        Fleet         `toml:"fleet"`
	Rules        Rules         `toml:"rules"`
	Load         Load          `toml:"load"`
	Classes      []Class       `toml:"class"`
	Destinations []Destination `toml:"destination"`
	Faults       []Fault       `toml:"fault"`

	Hosts []Host `toml:"-"` // the endpoints, drawn from Destinations
}

// Fleet is the relays and what each is granted.
type Fleet struct {
	Relays            int      `toml:"relays"`
	Zones             []string `toml:"zones"` // relays and endpoints take them in turn
	Slots             int      `toml:"slots"` // calls that one relay may have out
	MaxOpen           int      `toml:"max_open"`
	Cores             float64  `toml:"cores"`
	MemoryMB          float64  `toml:"memory_mb"`
	Sockets           int      `toml:"sockets"`
	DiskMB            float64  `toml:"disk_mb"`
	Discovery         string   `toml:"discovery"` // "subscribe" or "automatic"
	Gossip            bool     `toml:"notes"`     // relays may send one another datagrams
	ZoneAware         bool     `toml:"zoned"`     // relays decide by zones, and are asked how these fare each second
	ProveNewEndpoints bool     `toml:"newcomers"` // endpoints that are new on the list prove themselves, and relays are asked how
	ShareFacts        bool     `toml:"shares"`    // relays share what they learn, and are asked for it each second
	SharedSocket      bool     `toml:"shared_socket"`
	ConnectTime       Duration `toml:"connect_timeout"`
	ConnIdle          Duration `toml:"conn_idle"`  // endpoints close idle connections after it
	Weights           string   `toml:"weights"`    // "off", "nominal" or "rough"
	Durability        string   `toml:"durability"` // of the relays' journals: "process" or "power"
	TrafficSigma      float64  `toml:"spread"`     // sigma of the relays' lognormal shares of the traffic; 0 for even ones
}

// Rules are the figures of the protocol's rules.
type Rules struct {
	MaxAttempts    int      `toml:"max_attempts"`
	ClientTimeout  Duration `toml:"patience"` // of a client for its answer
	MaxRetryAfter  Duration `toml:"max_retry_after"`
	DrainGrace     Duration `toml:"drain_grace"`
	ColdShare      float64  `toml:"cold_share"`
	RampTime       Duration `toml:"ramp_time"`
	OverloadFactor float64  `toml:"overload_factor"`
	OverloadFor    Duration `toml:"overload_for"`
}

// Load is the arrivals, drawn ahead: they wait for nothing.
type Load struct {
	Rate        float64  `toml:"rate"`       // messages a second over the fleet
	BurstShare  float64  `toml:"clumps"`     // share of the messages that come in clumps for one destination
	BurstSize   int      `toml:"clump_size"` // messages of a clump
	BurstSpan   Duration `toml:"clump_span"` // in which they come
	BodyBytes   int      `toml:"bytes"`      // of a body
	ReturnShare float64  `toml:"returns"`    // share of the refused that come again, when told
}

// Class is a class of message.
type Class struct {
	Name      string   `toml:"name"`
	Effect    string   `toml:"effect"` // "retryable", "dedup" or "fragile"
	Group     string   `toml:"group"`  // of a dedup class: "all" or "zone"
	Memory    Duration `toml:"memory"` // of a dedup class: how long endpoints know a key
	Target    Duration `toml:"aim"`
	Deadline  Duration `toml:"deadline"`
	Worth     float64  `toml:"worth"`
	LateShare float64  `toml:"late_share"` // of the worth, left at the deadline
	Share     float64  `toml:"share"`      // of the messages, relative to the other classes
}

// Destination is one destination, or Count alike.
type Destination struct {
	Count           int      `toml:"count"`
	Endpoints       int      `toml:"endpoints"`
	Zones           []string `toml:"zones"`  // of the endpoints in turn; the fleet's where empty
	Share           float64  `toml:"share"`  // of the messages, relative to the others
	Limit           string   `toml:"limit"`  // "none", "rate" or "window"
	Rate            float64  `toml:"rate"`   // calls a second of the limit, from all relays
	Window          Duration `toml:"window"` // in which a window limit counts
	SendsRetryAfter bool     `toml:"tells_wait"`
	CountsRefused   bool     `toml:"refused_count"` // refused calls use the limit up
	Service         Duration `toml:"service"`       // mean time of a call
	ServiceCV       float64  `toml:"service_cv"`    // its coefficient of variation
	Workers         int      `toml:"workers"`       // calls served at once by an endpoint
	Queue           int      `toml:"queue"`         // further calls that wait at an endpoint
	Connections     int      `toml:"connections"`   // open at an endpoint, over all relays; 0 for any number
	MaxBatch        int      `toml:"bulk"`          // messages in a call at most
	ItemCost        float64  `toml:"item_cost"`     // of each further message of a call, as a share of Service
}

// Host is one endpoint.
type Host struct {
	Name         string
	Dest         int // number of its destination, as on the wire
	Zone         string
	Destination  *Destination
	AddedByFault int // 0: listed from the start; else it takes the place of one that fault Born-1 drains
	Replaces     int // index of that one
}

// Default is what a scenario holds where its file is silent.
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

// LoadFile reads a scenario from a file. The error of a file that can't be played names the file and the line.
func LoadFile(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads a scenario from a text; name stands for it in errors.
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

// fill gives the entries of lists their defaults, where the file has no value of its own.
func (s *Scenario) fillDefaults(lines keyLines) {
	for i := range s.Classes {
		applyDefaults(&s.Classes[i], defaultClass, lines, fmt.Sprintf("class[%d]", i))
	}
	for i := range s.Destinations {
		applyDefaults(&s.Destinations[i], defaultDestination, lines, fmt.Sprintf("destination[%d]", i))
	}
}

// draw makes the endpoints. A destination's number is its place among all, from 0.
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

// Zone gives the zone of a relay.
func (f *Fleet) Zone(relay int) string { return f.Zones[relay%len(f.Zones)] }

// DestCount is how many destinations there are.
func (s *Scenario) DestinationCount() int {
	n := 0
	for i := range s.Destinations {
		n += s.Destinations[i].Count
	}
	return n
}

// Draws gives the random numbers of one purpose; the same seed and purpose give the same ones, whatever else is drawn.
func (s *Scenario) Draws(purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, hash(purpose)))
}

// Draw gives one number from 0 to 1 that depends on the seed and the words alone, and so not on the order in which
// things happen in real time.
func (s *Scenario) Draw(purpose string) float64 {
	return rand.New(rand.NewPCG(s.Seed, hash(purpose))).Float64()
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}
