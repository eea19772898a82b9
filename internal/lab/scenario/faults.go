package scenario

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"milletsail/internal/lab/shim"
)

// Fault is one entry of a scenario's fault timeline. Relays, Destinations, Endpoints and Zone narrow down what it affects; a
// fault that sets none of them affects everything that its kind can affect. Share draws some of those at random.
type Fault struct {
	At           Duration `toml:"at"`
	Duration     Duration `toml:"for"` // how long the fault lasts; 0 only for kinds that end by themselves
	Kind         string   `toml:"kind"`
	Relays       []int    `toml:"relays"`
	Destinations []int    `toml:"destinations"`
	Endpoints    []string `toml:"endpoints"`
	Zone         string   `toml:"zone"`
	Share        float64  `toml:"share"`        // share of the selected relays or endpoints, drawn at random; 0 for all
	Stagger      Duration `toml:"step"`         // delay from one affected relay or endpoint to the next
	Magnitude    float64  `toml:"size"`         // meaning and unit depend on Kind; see Kinds
	Replacements bool     `toml:"replacements"` // also affects the endpoints that replace the selected ones
	Wait         Duration `toml:"wait"`         // Retry-After that a shut destination sends; 0 for none
	OrderZone    string   `toml:"of"`           // zone that an evacuate or restore order names
	Direction    string   `toml:"direction"`    // data that a cut drops: "to" the endpoints, "from" them or "both"
	Call         string   `toml:"call"`         // system call that fails, by its name in package shim
	Errno        string   `toml:"errno"`        // error that the system calls return, such as "ENFILE"
	Count        int      `toml:"count"`        // number of system calls that fail; 0 for all within Duration
}

// faultTarget is what a kind of fault affects.
type faultTarget int

const (
	targetRelays faultTarget = iota
	targetEndpoints
	targetLinks
	targetClients
)

// faultKind describes a kind of fault.
type faultKind struct {
	target        faultTarget
	needsDuration bool // Duration must be above 0
	// magnitude says what Fault.Magnitude means; empty if the kind takes none. A text with "share of the " but without "factor"
	// also limits Magnitude to 1: checkFaults looks for these words.
	magnitude string
}

// Kinds are the kinds of fault that a timeline may hold, by the name in scenario files.
var Kinds = map[string]faultKind{
	"kill":    {target: targetRelays}, // SIGKILL; restarted after Duration, or after 600 ms if that is 0
	"restart": {target: targetRelays}, // SIGTERM, SIGKILL after 3.7 s, restarted 600 ms after the process ended
	"wipe":    {target: targetRelays}, // SIGKILL, and the state directory is lost; its messages are handed over to other relays
	"power":   {target: targetRelays}, // SIGKILL, and the state directory reverts to what was synced; restarted as after a kill
	"turn":    {target: targetRelays, magnitude: "the number of bits flipped in each journal while its relay is down as after a kill"},
	"full":    {target: targetRelays, needsDuration: true}, // no file can grow
	"freeze":  {target: targetRelays, needsDuration: true},
	"reload":  {target: targetRelays}, // discovery moves to another address: a new configuration file and SIGHUP
	"upgrade": {target: targetRelays}, // a new process starts beside the old one and inherits its socket

	// These kinds need a relay that is built with package shim.
	"clock":      {target: targetRelays, magnitude: "the seconds by which the wall clock goes forward; it goes back after the fault's for if that is above 0"},
	"clock-back": {target: targetRelays, magnitude: "the seconds by which the wall clock goes back; it goes forward again after the fault's for if that is above 0"},
	"calls-fail": {target: targetRelays},                      // Count system calls fail, or all within Duration
	"short-io":   {target: targetRelays, needsDuration: true}, // reads and writes transfer one byte at a time, and every second one is interrupted

	"evacuate": {target: targetRelays, needsDuration: true}, // operators order relays to evacuate OrderZone
	"restore":  {target: targetRelays},                      // operators order relays to return to OrderZone

	"down":         {target: targetEndpoints, needsDuration: true}, // refuses connections and resets the open ones; comes back cold
	"shut":         {target: targetEndpoints, needsDuration: true}, // rejects all calls; comes back cold
	"errors":       {target: targetEndpoints, needsDuration: true, magnitude: "the share of the calls that are answered with 500"},
	"slow":         {target: targetEndpoints, needsDuration: true, magnitude: "the factor on service times"},
	"silent":       {target: targetEndpoints, needsDuration: true}, // accepts calls and never answers; comes back cold
	"stall":        {target: targetEndpoints, needsDuration: true, magnitude: "the share of the answers that stop halfway"},
	"lose-answers": {target: targetEndpoints, needsDuration: true, magnitude: "the share of the answers that get lost after the call has run"},
	"reset":        {target: targetEndpoints, needsDuration: true, magnitude: "the share of the calls whose connection is reset"},
	"spoil":        {target: targetEndpoints, needsDuration: true, magnitude: "the share of the answers that are malformed"},
	"drain":        {target: targetEndpoints}, // DRAINING at once, DELETED after Duration (4 s if that is 0); a new endpoint replaces it

	// Like a drain, but the new endpoint runs a faulty version.
	"release-errors": {target: targetEndpoints, magnitude: "the share of the calls that the new endpoint answers with 500"},
	"release-slow":   {target: targetEndpoints, magnitude: "the factor on the service times of the new endpoint"},

	"cut":        {target: targetLinks, needsDuration: true}, // drops all data in the given directions
	"delay":      {target: targetLinks, needsDuration: true, magnitude: "the seconds by which each piece of data is delayed"},
	"drop-notes": {target: targetRelays, needsDuration: true, magnitude: "the share of the gossip messages that are lost"},
	"twin-notes": {target: targetRelays, needsDuration: true, magnitude: "the share of the gossip messages that arrive twice, the second one delayed"},

	"discovery-late":   {target: targetRelays, needsDuration: true, magnitude: "the seconds by which lists are delayed"},
	"discovery-silent": {target: targetRelays, needsDuration: true},
	"discovery-busy":   {target: targetRelays, needsDuration: true},

	"burst":  {target: targetClients, needsDuration: true, magnitude: "the factor on the rate of arrivals"},
	"shift":  {target: targetClients, needsDuration: true, magnitude: "the factor on the share of a zone's relays"},
	"leave":  {target: targetClients, needsDuration: true, magnitude: "the share of the clients that leave before their answer"},
	"crowd":  {target: targetClients, needsDuration: true, magnitude: "the number of malformed or silent peers per second"},
	"repeat": {target: targetClients, needsDuration: true, magnitude: "the share of the messages that are handed in twice under one ID"},
}

// maxLength is the longest scenario allowed; it bounds the loops of a run.
const maxLength = 10 * time.Minute

// check returns the path of the first value that is out of range, and an error that says why. Faults are left to checkFaults.
func (s *Scenario) check() (string, error) {
	f, r, l := &s.Fleet, &s.Rules, &s.Load
	for _, c := range []struct {
		path string
		bad  bool
		what string
	}{
		{"length", s.Length <= 0 || s.Length.AsDuration() > maxLength, "is not above 0 and at most 10m"},
		{"fleet.relays", f.Relays < 1 || f.Relays > 500, "is not 1 to 500"},
		{"fleet.zones", len(f.Zones) == 0, "names no zone"},
		{"fleet.slots", f.Slots < 1, "is not above 0"},
		{"fleet.max_open", f.MaxOpen < 1, "is not above 0"},
		{"fleet.cores", !(f.Cores > 0), "is not above 0"},
		{"fleet.memory_mb", !(f.MemoryMB > 0), "is not above 0"},
		{"fleet.sockets", f.Sockets < 64, "is under 64"},
		{"fleet.disk_mb", !(f.DiskMB > 0), "is not above 0"},
		{"fleet.discovery", f.Discovery != "subscribe" && f.Discovery != "automatic", `is not "subscribe" or "automatic"`},
		{"fleet.weights", !slices.Contains([]string{"off", "nominal", "rough"}, f.Weights), `is not "off", "nominal" or "rough"`},
		{"fleet.durability", f.Durability != "process" && f.Durability != "power", `is not "process" or "power"`},
		{"fleet.spread", !(f.TrafficSigma >= 0 && f.TrafficSigma <= 2), "is not 0 to 2"},
		{"rules.max_attempts", r.MaxAttempts < 1, "is not above 0"},
		{"rules.patience", r.ClientTimeout <= 0, "is not above 0"},
		{"rules.cold_share", !(r.ColdShare > 0 && r.ColdShare <= 1), "is not above 0 and at most 1"},
		{"rules.overload_factor", !(r.OverloadFactor > 1), "is not above 1"},
		{"rules.overload_for", r.OverloadFor <= 0, "is not above 0"},
		{"load.rate", !(l.Rate > 0 && l.Rate <= 5000), "is not above 0 and at most 5000"},
		{"load.clumps", !(l.BurstShare >= 0 && l.BurstShare <= 1), "is not 0 to 1"},
		{"load.clump_size", l.BurstSize < 1, "is not above 0"},
		{"load.bytes", l.BodyBytes < 0 || l.BodyBytes > 64<<10, "is not 0 to 65536"},
		{"load.returns", !(l.ReturnShare >= 0 && l.ReturnShare <= 1), "is not 0 to 1"},
		{"class", len(s.Classes) == 0, "is missing: there has to be one at least"},
		{"destination", len(s.Destinations) == 0, "is missing: there has to be one at least"},
	} {
		if c.bad {
			return c.path, errors.New(c.what)
		}
	}
	for i, c := range s.Classes {
		path := fmt.Sprintf("class[%d].", i)
		switch {
		case c.Name == "" || strings.ContainsAny(c.Name, "/ ?"):
			return path + "name", fmt.Errorf("%q is no class name: it is empty or contains a slash, a space or a question mark", c.Name)
		case !slices.Contains([]string{"retryable", "dedup", "fragile"}, c.Effect):
			return path + "effect", fmt.Errorf("%q is not \"retryable\", \"dedup\" or \"fragile\"", c.Effect)
		case c.Group != "all" && c.Group != "zone":
			return path + "group", fmt.Errorf("%q is not \"all\" or \"zone\"", c.Group)
		case c.Target <= 0 || c.Deadline < c.Target:
			return path + "deadline", errors.New("is below aim, or aim is not above 0")
		case !(c.LateShare >= 0 && c.LateShare <= 1):
			return path + "late_share", errors.New("is not 0 to 1")
		case !(c.Share > 0):
			return path + "share", errors.New("is not above 0")
		}
	}
	for i := range s.Destinations {
		d, path := &s.Destinations[i], fmt.Sprintf("destination[%d].", i)
		switch {
		case d.Count < 1 || d.Endpoints < 1:
			return path + "endpoints", errors.New("count and endpoints have to be above 0")
		case !(d.Share > 0):
			return path + "share", errors.New("is not above 0")
		case !slices.Contains([]string{"none", "rate", "window"}, d.Limit):
			return path + "limit", fmt.Errorf("%q is not \"none\", \"rate\" or \"window\"", d.Limit)
		case d.Limit != "none" && !(d.Rate > 0):
			return path + "rate", errors.New("is not above 0, which the limit needs")
		case d.Limit == "window" && d.Window <= 0:
			return path + "window", errors.New("is not above 0")
		case d.Service <= 0 || !(d.ServiceCV >= 0 && d.ServiceCV <= 3):
			return path + "service", errors.New("service is not above 0, or service_cv is not 0 to 3")
		case d.Workers < 1 || d.Queue < 0 || d.Connections < 0 || d.MaxBatch < 1:
			return path + "workers", errors.New("workers and bulk have to be above 0, queue and connections not below 0")
		}
		for _, z := range d.Zones {
			if !slices.Contains(s.Fleet.Zones, z) {
				return path + "zones", fmt.Errorf("%q is not a zone of the fleet", z)
			}
		}
	}
	return "", nil
}

// checkFaults returns the path of the first invalid value in the fault timeline, and an error that says why.
func (s *Scenario) checkFaults() (string, error) {
	for i := range s.Faults {
		f, path := &s.Faults[i], fmt.Sprintf("fault[%d].", i)
		k, ok := Kinds[f.Kind]
		switch {
		case !ok:
			return path + "kind", fmt.Errorf("%q is no kind of fault", f.Kind)
		case f.At.AsDuration() > s.Length.AsDuration():
			return path + "at", fmt.Errorf("%v is after the end of the scenario's arrivals", f.At.AsDuration())
		case k.needsDuration && f.Duration <= 0:
			return path + "for", fmt.Errorf("a fault of the kind %q needs a duration above 0", f.Kind)
		case k.magnitude != "" && !(f.Magnitude > 0):
			return path + "size", fmt.Errorf("%q needs a size above 0: %s", f.Kind, k.magnitude)
		case strings.Contains(k.magnitude, "share of the ") && !strings.Contains(k.magnitude, "factor") && f.Magnitude > 1:
			return path + "size", fmt.Errorf("%v is not a share from 0 to 1", f.Magnitude)
		case !(f.Share >= 0 && f.Share <= 1):
			return path + "share", fmt.Errorf("%v is not a share from 0 to 1", f.Share)
		case f.Direction != "" && !slices.Contains([]string{"both", "to", "from"}, f.Direction):
			return path + "direction", fmt.Errorf("%q is not \"both\", \"to\" or \"from\"", f.Direction)
		case f.Zone != "" && !slices.Contains(s.Fleet.Zones, f.Zone):
			return path + "zone", fmt.Errorf("there is no zone %q", f.Zone)
		case (f.Kind == "evacuate" || f.Kind == "restore") && (!s.Fleet.ZoneAware || !slices.Contains(s.Fleet.Zones, f.OrderZone)):
			return path + "of", fmt.Errorf("an evacuate or restore fault needs fleet.zoned = true and a zone of the fleet, not %q", f.OrderZone)
		case f.Kind == "calls-fail" && f.Count <= 0 && f.Duration <= 0:
			return path + "count", errors.New("count or for has to be above 0")
		case f.Kind == "upgrade" && !s.Fleet.SharedSocket:
			return path + "kind", errors.New("an upgrade needs fleet.shared_socket = true")
		case k.target != targetEndpoints && k.target != targetLinks && (len(f.Endpoints) > 0 || len(f.Destinations) > 0):
			return path + "kind", fmt.Errorf("a fault of the kind %q does not affect endpoints or destinations", f.Kind)
		case k.target == targetEndpoints && len(f.Relays) > 0:
			return path + "relays", fmt.Errorf("a fault of the kind %q does not affect relays", f.Kind)
		}
		if f.Kind == "calls-fail" {
			if _, err := shim.ParseCall(f.Call); err != nil {
				return path + "call", err
			}
			if _, err := shim.ParseErrno(f.Errno); err != nil {
				return path + "errno", err
			}
		}
		for _, r := range f.Relays {
			if r < 0 || r >= s.Fleet.Relays {
				return path + "relays", fmt.Errorf("there is no relay %d: relays are numbered 0 to %d", r, s.Fleet.Relays-1)
			}
		}
		for _, d := range f.Destinations {
			if d < 0 || d >= s.DestinationCount() {
				return path + "destinations", fmt.Errorf("there is no destination %d: destinations are numbered 0 to %d", d, s.DestinationCount()-1)
			}
		}
		for _, e := range f.Endpoints {
			if !slices.ContainsFunc(s.Hosts, func(h Host) bool { return h.Name == e }) {
				return path + "endpoints", fmt.Errorf("there is no endpoint %q", e)
			}
		}
	}
	return "", nil
}

// AddsReplacements reports whether the fault adds new endpoints that replace others.
func (f *Fault) AddsReplacements() bool {
	return f.Kind == "drain" || strings.HasPrefix(f.Kind, "release-")
}

// AffectedRelays returns the relays that fault i affects, in the order in which it affects them.
func (s *Scenario) AffectedRelays(i int) []int {
	f := &s.Faults[i]
	var candidates []int
	for r := range s.Fleet.Relays {
		if (len(f.Relays) == 0 || slices.Contains(f.Relays, r)) && (f.Zone == "" || Kinds[f.Kind].target == targetLinks || s.Fleet.Zone(r) == f.Zone) {
			candidates = append(candidates, r)
		}
	}
	if Kinds[f.Kind].target == targetLinks {
		return candidates
	}
	return drawShare(s, i, candidates)
}

// AffectedEndpoints returns the endpoints that fault i affects, as indices of Hosts.
func (s *Scenario) AffectedEndpoints(i int) []int {
	f := &s.Faults[i]
	var candidates []int
	for n, h := range s.Hosts {
		original := h
		if f.Replacements && h.AddedByFault > 0 {
			original = s.Hosts[h.Replaces]
		}
		if original.AddedByFault == 0 && (len(f.Destinations) == 0 || slices.Contains(f.Destinations, h.Dest)) && (f.Zone == "" || h.Zone == f.Zone) &&
			(len(f.Endpoints) == 0 || slices.Contains(f.Endpoints, original.Name)) {
			candidates = append(candidates, n)
		}
	}
	return drawShare(s, i, candidates)
}

// drawShare draws the share of a fault from the relays or endpoints that it may affect, but at least one.
// The draw depends only on the seed and the fault's index.
func drawShare(s *Scenario, i int, candidates []int) []int {
	share := s.Faults[i].Share
	if share == 0 || len(candidates) == 0 {
		return candidates
	}
	draws := s.Draws(fmt.Sprintf("fault %d", i))
	draws.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	return candidates[:max(1, int(math.Round(share*float64(len(candidates)))))]
}
