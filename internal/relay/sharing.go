package relay

import (
	"strconv"
	"time"

	"milletsail/internal/fleet"
	"milletsail/internal/fleet/live"
	"milletsail/policy"
)

// share has this relay share what it learns with the others, and brings the loop what they say.
func (l *loop) share(dir string) *live.Service {
	s := &l.cfg.Settings
	return live.New(live.Options{Incarnation: live.NextIncarnation(dir), Self: s.Ordinal, Size: s.NInstances, Version: version(), Zone: s.Az, Seed: uint64(l.cfg.seed),
		Send: func(to int, note []byte) {
			if to == fleet.All {
				l.peers.tell(note)
			} else {
				l.peers.tellOne(to, note)
			}
		},
		Said: func(said live.Said) { l.offer(fleetSaid{said}) },
		Heard: func(f fleet.Fact, age time.Duration) {
			if o, ok := observation(f, age); ok {
				l.offer(heard{o.Note()})
			}
		}})
}

// offer hands the loop an event that may be lost, where it has more to do than it can.
func (l *loop) offer(e event) {
	select {
	case l.inbox <- e:
	default:
	}
}

// tell tells all other relays what a note of the module says: as a fact where they share what they learn.
func (l *loop) tell(note []byte) {
	o, ok := policy.ReadNote(note)
	if l.shared == nil || !ok {
		l.peers.tell(note)
		return
	}
	kind, key, value := fleet.Closed, strconv.Itoa(o.Destination), uint64(o.Wait.Milliseconds())
	switch {
	case o.Open:
		kind = fleet.Open
	case o.Back:
		return // Remember says the same
	case o.NoRoom:
		kind, key, value = fleet.NoRoom, o.Endpoint, 0
	}
	l.shared.Observed(kind, key, value, false, o.Age) // the module has seen to it that few tell
}

// observation is what a fact says to the module, if it is of the kinds that notes tell.
func observation(f fleet.Fact, age time.Duration) (o policy.Observed, ok bool) {
	o = policy.Observed{Closed: f.Kind == fleet.Closed, Open: f.Kind == fleet.Open, Back: f.Kind == fleet.Back,
		NoRoom: f.Kind == fleet.NoRoom, Age: age}
	if o.Back || o.NoRoom {
		o.Endpoint = f.Key
		return o, true
	}
	dest, err := strconv.Atoi(f.Key)
	if err != nil || !o.Closed && !o.Open {
		return o, false
	}
	o.Destination = dest
	if o.Closed {
		o.Wait = time.Duration(min(f.Value, uint64(time.Hour/time.Millisecond))) * time.Millisecond
	}
	return o, true
}

// said turns what the fleet says into the module's events.
func said(s live.Said) []policy.Event {
	events := []policy.Event{policy.Accused{Destination: s.Dest, Endpoint: s.Endpoint, Origins: s.Origins, Fresh: s.Fresh, First: s.First,
		Last: s.Last, Until: s.Until, Rank: s.Rank}}
	if s.Paces.Tellers > 0 {
		events = append(events, policy.Paced{Destination: s.Dest, Relays: s.Live, Tellers: s.Paces.Tellers, Pace: s.Paces.Pace,
			Traffic: s.Paces.Traffic, Error: s.Paces.Error, ByZone: s.ByZone, Until: s.Paces.Until})
	}
	return events
}

// observed tells the other relays of a call that failed, where they know of an outage.
func (l *loop) observed(e answered) {
	switch e.outcome {
	case policy.ConnectError, policy.Failed, policy.Reset, policy.TimedOut:
		l.shared.Failed(e.host)
	}
}
