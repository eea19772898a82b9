package relays

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"milletsail/internal/lab/platform"
	"milletsail/internal/lab/scenario"
)

// object is a JSON object.
type object = map[string]any

// batchInterval is the minimum time between a relay's batches, in seconds.
const batchInterval = 0.002

// settingsOf returns the settings object of a relay, in the form that the simulator sends in its first message.
func settingsOf(s *scenario.Scenario, p *platform.Platform, relay int) object {
	var categories []object
	for _, c := range s.Classes {
		categories = append(categories, object{"name": c.Name, "aim_s": c.Target.Seconds(), "deadline_s": c.Deadline.Seconds(),
			"idempotency": c.Effect, "group": c.Group, "memory_span_s": c.Memory.Seconds(), "points": c.Worth,
			"late_share": c.LateShare, "stream": false})
	}
	var bulks []int
	for i := range s.Destinations {
		if b := s.Destinations[i].MaxBatch; !slices.Contains(bulks, b) {
			bulks = append(bulks, b)
		}
	}
	var shapes []string
	for _, b := range bulks {
		shapes = append(shapes, p.Shape(b))
	}
	r := &s.Rules
	return object{"az": slices.Index(s.Fleet.Zones, s.Fleet.Zone(relay)), "categories": categories, "discovery": s.Fleet.Discovery,
		"family": "deliver", "localities": s.Fleet.Zones, "n_instances": s.Fleet.Relays, "ordinal": relay, "quantum_s": batchInterval,
		"limits": object{"cancel": true, "conn_idle_s": s.Fleet.ConnIdle.Seconds(), "connect_timeout_s": s.Fleet.ConnectTime.Seconds(),
			"max_attempts": r.MaxAttempts, "max_open": s.Fleet.MaxOpen, "max_retry_after_s": r.MaxRetryAfter.Seconds(),
			"max_streams": 1, "peers": s.Fleet.Gossip, "probing": false, "retry_after": true, "second_copies": false},
		"report": object{"columns": []string{}, "via": "off"},
		"rules": object{"answer_slack_s": 0.3, "ask_within_s": 6.0, "cold_share": r.ColdShare, "drain_grace_s": r.DrainGrace.Seconds(),
			"overload_factor": r.OverloadFactor, "overload_for_s": r.OverloadFor.Seconds(), "ramp_time_s": r.RampTime.Seconds()},
		"shapes": shapes,
		"specifics": object{"bundle_max": bulks, "loses_worth": "linear", "max_calls": s.Fleet.Slots,
			"route_fee": make([]float64, len(s.Fleet.Zones)), "separate_routes": make([]bool, len(bulks))},
		"tenants": []string{}, "weights": s.Fleet.Weights, "worth_by": "request"}
}

// Settings returns the settings object of a relay of a scenario, for relays that are run without a Fleet.
func Settings(s *scenario.Scenario, relay int) map[string]any { return settingsOf(s, nil, relay) }

// writeConfig writes the configuration for the relay's next process; the lock is held.
func (r *Relay) writeConfig() error {
	f, n := r.fleet, r.fleet.subnet
	var peers []string
	for i := range f.s.Fleet.Relays {
		peers = append(peers, n.Peer(i))
	}
	r.starts++
	seed := f.s.Draws(fmt.Sprintf("seed %d %d", r.No, r.starts)).Uint64()
	c := object{"name": fmt.Sprintf("n%d", r.No), "listen": n.Clients(r.No), "admin": n.Admin(r.No, r.starts),
		"durability": f.s.Fleet.Durability, "fleet": f.s.Fleet.ShareFacts, "zones": f.s.Fleet.ZoneAware, "newcomers": f.s.Fleet.ProveNewEndpoints, "discovery": f.p.DiscoveryAddress(r.No), "seed": fmt.Sprintf("%016x", seed),
		"limits": object{"cores": f.s.Fleet.Cores, "memory_mb": f.s.Fleet.MemoryMB, "sockets": f.s.Fleet.Sockets,
			"disk_mb": f.s.Fleet.DiskMB},
		"peer_listen": n.PeerListen(r.No), "peers": peers, "peers_all": n.PeersAll(),
		"known": f.p.InitialMembers(r.No, 0), "settings": settingsOf(f.s, f.p, r.No)}
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	// The relay may read the file at any time, so it is replaced atomically.
	path := r.configPath()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func (r *Relay) configPath() string { return filepath.Join(r.dir, "config.json") }
