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

// zoneOrders are operators' orders about zones; nil where zones are off. The loop owns them.
type zoneOrders struct {
	store   *zones.OrderStore
	pending []zones.Order // of an earlier process, until endpoints of their zones are listed
}

// ZoneStatus is the reply to "zone status" at the admin endpoint.
type ZoneStatus struct {
	Self     int          `json:"self"`
	Zone     string       `json:"zone"`    // of this relay
	Isolated bool         `json:"cut_off"` // it considers its own zone, and no other, isolated
	Zones    []ZoneReport `json:"zones"`
}

// ZoneReport is the part of it about one zone.
type ZoneReport struct {
	Zone         string  `json:"zone"`
	State        string  `json:"state"`
	StateSeconds float64 `json:"for_s"`             // how long it has been so
	OrderSeconds float64 `json:"until_s,omitempty"` // how long an order still runs
	Endpoints    int     `json:"endpoints"`
	Evacuations  int     `json:"evacuations"` // since the process started, by verdict and by order
	Recoveries   int     `json:"returns"`
}

// openZones loads the orders that are stored in the state directory.
func (l *loop) openZones(dir string) {
	if !l.cfg.Zones {
		return
	}
	store, err := zones.Open(dir)
	if err != nil {
		slog.Error("zone orders not loaded", "error", err)
	}
	l.zones = &zoneOrders{store: store, pending: store.Active(clock.Now())}
}

// handleZoneCommand has the loop answer an operator's command; for goroutines of the admin endpoint.
func (l *loop) handleZoneCommand(text string) string {
	command, err := zones.ParseCommand(text)
	if err != nil {
		return "ERR " + err.Error()
	}
	return l.queryLoop(func() string { return l.executeZoneCommand(command) })
}

// executeZoneCommand executes an operator's command and returns the reply.
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
			_ = l.dispatcher.Order(zoneIndex, 0) // it would not outlast a restart
		}
		return "ERR the order could not be kept: " + err.Error()
	}
	slog.Info("zone order executed", "action", command.Action, "zone", command.Zone, "duration", command.Duration)
	return "OK"
}

// resumeZoneOrders gives the policy the orders of an earlier process, once it knows endpoints of their zones.
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
