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

// zoneOrders is what a relay has of operators' orders about zones; nil where zones are off.
type zoneOrders struct {
	store   *zones.OrderStore
	pending []zones.Order // of an earlier process, until endpoints are listed that they are about
}

// ZoneStatus is what a relay says of zones at its admin endpoint.
type ZoneStatus struct {
	Self     int          `json:"self"`
	Zone     string       `json:"zone"`    // of this relay
	Isolated bool         `json:"cut_off"` // it takes itself, and no other zone, for cut off
	Zones    []ZoneReport `json:"zones"`
}

// ZoneReport is what a relay says of one zone.
type ZoneReport struct {
	Zone         string  `json:"zone"`
	State        string  `json:"state"`
	StateSeconds float64 `json:"for_s"`             // how long it has been so
	OrderSeconds float64 `json:"until_s,omitempty"` // how long an order still runs
	Endpoints    int     `json:"endpoints"`
	Evacuations  int     `json:"evacuations"` // since the process started, by verdict and by order
	Recoveries   int     `json:"returns"`
}

// openZones takes up the orders that are kept in the folder.
func (l *loop) openZones(dir string) {
	if !l.cfg.Zones {
		return
	}
	book, err := zones.Open(dir)
	if err != nil {
		slog.Error("orders about zones", "err", err)
	}
	l.zones = &zoneOrders{store: book, pending: book.Active(clock.Now())}
}

// handleZoneCommand has the loop answer an operator's line; for goroutines of the admin endpoint.
func (l *loop) handleZoneCommand(text string) string {
	line, err := zones.ParseCommand(text)
	if err != nil {
		return "ERR " + err.Error()
	}
	return l.askLoop(func() string { return l.executeZoneCommand(line) })
}

// executeZoneCommand answers an operator's line.
func (l *loop) executeZoneCommand(c zones.Command) string {
	if c.Action == zones.Status {
		text, err := json.Marshal(l.zoneStatus())
		if err != nil {
			return "ERR " + err.Error()
		}
		return string(text)
	}
	no := slices.Index(l.cfg.Settings.Localities, c.Zone)
	if no < 0 {
		return fmt.Sprintf("ERR there is no zone %q: there are %s", c.Zone, strings.Join(l.cfg.Settings.Localities, ", "))
	}
	now := clock.Now()
	var until instant.Time
	if c.Action == zones.Evacuate {
		until = now.Add(c.Duration)
	}
	if err := l.dispatcher.Order(no, until); err != nil {
		return fmt.Sprintf("ERR %s %s: %v", c.Action, c.Zone, err)
	}
	l.events = append(l.events, policy.TimerFired{})
	if err := l.zones.store.Put(c.Zone, until, now); err != nil {
		slog.Error("order about a zone", "err", err)
		if until > 0 {
			_ = l.dispatcher.Order(no, 0) // it would not outlast a restart
		}
		return "ERR the order could not be kept: " + err.Error()
	}
	slog.Info("order about a zone", "verb", c.Action, "zone", c.Zone, "for", c.Duration)
	return "OK"
}

// resumeZoneOrders gives the module the orders of an earlier process, once it knows endpoints that they are about.
func (l *loop) resumeZoneOrders() {
	l.zones.pending = slices.DeleteFunc(l.zones.pending, func(o zones.Order) bool {
		no := slices.Index(l.cfg.Settings.Localities, o.Zone)
		if no < 0 || o.Until <= clock.Now() {
			return true
		}
		if err := l.dispatcher.Order(no, o.Until); err != nil {
			return false
		}
		slog.Info("an order about a zone goes on", "zone", o.Zone, "for", clock.Until(o.Until))
		l.events = append(l.events, policy.TimerFired{})
		return true
	})
}

func (l *loop) zoneStatus() ZoneStatus {
	name := func(no int) string {
		if no < 0 || no >= len(l.cfg.Settings.Localities) {
			return fmt.Sprint(no)
		}
		return l.cfg.Settings.Localities[no]
	}
	s := ZoneStatus{Self: l.cfg.Settings.Ordinal, Zone: name(l.cfg.Settings.Az), Zones: []ZoneReport{}}
	now := clock.Now()
	all, cutOff := l.dispatcher.Zones()
	s.Isolated = cutOff
	for _, z := range all {
		r := ZoneReport{Zone: name(z.Zone), State: z.State.String(), StateSeconds: now.Sub(z.EnteredAt).Seconds(), Endpoints: z.Endpoints,
			Evacuations: z.Evacuations, Recoveries: z.Recoveries}
		if z.State == policy.EvacuatedByOrder {
			r.OrderSeconds = z.OrderExpiresAt.Sub(now).Seconds()
		}
		s.Zones = append(s.Zones, r)
	}
	return s
}
