package relay

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/zones"
	"milletsail/policy"
)

// zoneOrders holds operators' orders to evacuate zones. The loop owns it. It is nil if zones are disabled.
type zoneOrders struct {
	store   *zones.OrderStore
	pending []zones.Order // orders of an earlier process, until the policy knows endpoints of their zones and accepts them
}

// ZoneStatus is the reply to the command "zone status" of the admin endpoint.
type ZoneStatus struct {
	Self     int          `json:"self"`    // ordinal of this relay
	Zone     string       `json:"zone"`    // zone of this relay
	Isolated bool         `json:"cut_off"` // this relay considers its own zone isolated, rather than other zones failed
	Zones    []ZoneReport `json:"zones"`
}

// ZoneReport is the state of one zone, a part of ZoneStatus.
type ZoneReport struct {
	Zone         string  `json:"zone"`
	State        string  `json:"state"`
	StateSeconds float64 `json:"for_s"`             // time since the zone entered this state
	OrderSeconds float64 `json:"until_s,omitempty"` // remaining time of an evacuation by order
	Endpoints    int     `json:"endpoints"`         // number of listed endpoints
	Evacuations  int     `json:"evacuations"`       // since the process started, automatic ones and those by order
	Recoveries   int     `json:"returns"`           // how often it returned to service since the process started
}

// openZones loads the zone orders that are stored in the state directory, if zones are enabled.
func (l *loop) openZones(dir string) {
	if !l.cfg.Zones {
		return
	}
	orderStore, err := zones.Open(dir)
	if err != nil {
		slog.Error("zone orders not loaded", "error", err)
	}
	l.zones = &zoneOrders{store: orderStore, pending: orderStore.Active(clock.Now())}
}

// handleZoneCommand parses an operator's zone command and executes it in the loop. The goroutines of the admin endpoint call it.
func (l *loop) handleZoneCommand(text string) string {
	command, err := zones.ParseCommand(text)
	if err != nil {
		return "ERR " + err.Error()
	}
	return l.queryLoop(func() string { return l.executeZoneCommand(command) })
}

// executeZoneCommand executes a zone command and returns the reply. It must be called in the loop.
func (l *loop) executeZoneCommand(command zones.Command) string {
	if command.Action == zones.Status {
		text, err := json.Marshal(l.zoneStatus())
		if err != nil {
			return "ERR " + err.Error()
		}
		return string(text)
	}
	zoneIndex := slices.Index(l.cfg.Settings.Localities, command.Zone)
	if zoneIndex < 0 {
		return fmt.Sprintf("ERR there is no zone %q: there are %s", command.Zone, strings.Join(l.cfg.Settings.Localities, ", "))
	}
	now := clock.Now()
	var until instant.Time
	if command.Action == zones.Evacuate {
		until = now.Add(command.Duration)
	}
	if err := l.dispatcher.Order(zoneIndex, until); err != nil {
		return fmt.Sprintf("ERR %s %s: %v", command.Action, command.Zone, err)
	}
	l.batch.events = append(l.batch.events, policy.TimerFired{})
	if err := l.zones.store.Put(command.Zone, until, now); err != nil {
		slog.Error("zone order not stored", "error", err)
		if until > 0 {
			_ = l.dispatcher.Order(zoneIndex, 0) // revoked, since the order would not survive a restart
		}
		return "ERR the order could not be kept: " + err.Error()
	}
	slog.Info("zone order executed", "action", command.Action, "zone", command.Zone, "duration", command.Duration)
	return "OK"
}

// resumeZoneOrders passes the orders of an earlier process to the policy, each as soon as the policy accepts it, and removes them
// from pending. Orders that have expired or whose zone is unknown are dropped.
func (l *loop) resumeZoneOrders() {
	l.zones.pending = slices.DeleteFunc(l.zones.pending, func(o zones.Order) bool {
		zoneIndex := slices.Index(l.cfg.Settings.Localities, o.Zone)
		if zoneIndex < 0 || o.Until <= clock.Now() {
			return true
		}
		if err := l.dispatcher.Order(zoneIndex, o.Until); err != nil {
			return false
		}
		slog.Info("zone order resumed", "zone", o.Zone, "duration", clock.Until(o.Until))
		l.batch.events = append(l.batch.events, policy.TimerFired{})
		return true
	})
}

// zoneStatus returns the state of all zones, for the command "zone status".
func (l *loop) zoneStatus() ZoneStatus {
	name := func(index int) string {
		if index < 0 || index >= len(l.cfg.Settings.Localities) {
			return fmt.Sprint(index)
		}
		return l.cfg.Settings.Localities[index]
	}
	s := ZoneStatus{Self: l.cfg.Settings.Ordinal, Zone: name(l.cfg.Settings.Az), Zones: []ZoneReport{}}
	now := clock.Now()
	all, isolated := l.dispatcher.Zones()
	s.Isolated = isolated
	for _, z := range all {
		r := ZoneReport{Zone: name(z.Zone), State: z.State.String(), StateSeconds: now.Sub(z.EnteredAt).Seconds(),
			Endpoints: z.Endpoints, Evacuations: z.Evacuations, Recoveries: z.Recoveries}
		if z.State == policy.EvacuatedByOrder {
			r.OrderSeconds = z.OrderExpiresAt.Sub(now).Seconds()
		}
		s.Zones = append(s.Zones, r)
	}
	return s
}
