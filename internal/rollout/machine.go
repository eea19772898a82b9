package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Phase is where a rollout stands.
type Phase string

// The phases. Running, Paused and RollingBack change relays or may again; the others are ends, of which a rollback may
// still be ordered.
const (
	Running     Phase = "running"
	Paused      Phase = "paused"
	Stopped     Phase = "stopped" // by a gate or an order: mixed versions go on working
	RollingBack Phase = "rolling back"
	RolledBack  Phase = "rolled back"
	Done        Phase = "done"
)

// State is all that a controller knows of a rollout. It is a function of its records: see Apply.
type State struct {
	Plan     *Plan          `json:"plan"`
	New      string         `json:"new"` // checksum
	Old      map[int]string `json:"old"` // each relay's before the rollout
	Phase    Phase          `json:"phase"`
	Why      string         `json:"why,omitempty"` // of the phase
	Stage    int            `json:"stage"`
	BakeFrom time.Time      `json:"bake_from,omitzero"` // when the stage had all its relays; zero before
	Changing map[int]string `json:"changing"`           // relays in change, and to what
	Changed  []int          `json:"changed"`            // relays that have the new version, in the order of their change
	Failed   map[int]string `json:"failed,omitempty"`   // relays whose change failed, and why
}

// Record is one step of a rollout. It is on disk before what it says is done.
type Record struct {
	At    time.Time      `json:"at"`
	Kind  string         `json:"kind"`
	Relay int            `json:"relay,omitempty"`
	To    string         `json:"to,omitempty"`
	Why   string         `json:"why,omitempty"`
	Plan  *Plan          `json:"plan,omitempty"`
	Old   map[int]string `json:"old,omitempty"`
}

// The kinds of record.
const (
	began     = "began"    // Plan, To: the new version, Old
	change    = "change"   // Relay, To: it is to be changed
	changed   = "changed"  // Relay, To: it has been
	failed    = "failed"   // Relay, Why: it could not be
	baking    = "baking"   // a stage has all its relays
	nextStage = "stage"    // a stage was found good
	pause     = "pause"    // Why
	resume    = "resume"   // Plan, if it changed
	stop      = "stop"     // Why
	rollback  = "rollback" // Why
	finished  = "finished" // all is done, or taken back
)

// Apply takes in a record. The same records give the same state, whenever they are read.
func (s *State) Apply(r Record) {
	switch r.Kind {
	case began:
		*s = State{Plan: r.Plan, New: r.To, Old: r.Old, Phase: Running, Changing: map[int]string{}, Failed: map[int]string{}}
	case change:
		s.Changing[r.Relay] = r.To
		delete(s.Failed, r.Relay)
	case changed:
		delete(s.Changing, r.Relay)
		s.Changed = slices.DeleteFunc(s.Changed, func(n int) bool { return n == r.Relay })
		if r.To == s.New {
			s.Changed = append(s.Changed, r.Relay)
		}
	case failed:
		// Whatever it runs now, it was to be changed: a rollback takes it back.
		if s.Changing[r.Relay] == s.New && !slices.Contains(s.Changed, r.Relay) {
			s.Changed = append(s.Changed, r.Relay)
		}
		delete(s.Changing, r.Relay)
		s.Failed[r.Relay] = r.Why
	case baking:
		s.BakeFrom = r.At
	case nextStage:
		s.Stage++
		s.BakeFrom = time.Time{}
	case pause:
		s.Phase, s.Why = Paused, r.Why
	case resume:
		s.Phase, s.Why = Running, ""
		s.BakeFrom = time.Time{} // what was measured meanwhile does not count
		if r.Plan != nil {
			s.Plan = r.Plan
		}
	case stop:
		s.Phase, s.Why = Stopped, r.Why
	case rollback:
		s.Phase, s.Why = RollingBack, r.Why
		clear(s.Failed)
	case finished:
		if s.Phase == RollingBack {
			s.Phase = RolledBack
		} else {
			s.Phase = Done
		}
	}
}

// Seen is what an agent says of its relay, as far as the steps need it.
type Seen struct {
	Known   bool // it answers
	Version string
	Settled bool     // no change is under way there
	Error   string   // of the last change
	Left    []string // zones that it has left
}

// leftBy of the relays that answer, and one at least, have to have left a zone for a rollout to pause: one alone may err.
const leftBy = 0.1

// evacuated names a zone that the fleet has left, if there is one.
func evacuated(seen map[int]Seen) (zone string, relays int) {
	count, known := map[string]int{}, 0
	for _, at := range seen {
		if at.Known {
			known++
		}
		for _, z := range at.Left {
			count[z]++
		}
	}
	for z, n := range count {
		if float64(n) > leftBy*float64(known) && (n > relays || n == relays && z < zone) {
			zone, relays = z, n
		}
	}
	return zone, relays
}

// Verdict is what the gates say of a stage.
type Verdict struct {
	Worse  bool   // stop
	Enough bool   // it has been compared for long enough to tell
	Why    string // of either, or what is missing
}

// Next gives the records to take in next, by what the agents say and the gates find: none where there is nothing to do
// but wait. Whoever calls it writes each record down, applies it, and then does what it says. It has no state and no
// clock of its own, so that a model can take every path through it.
func (s *State) Next(now time.Time, seen map[int]Seen, v Verdict) (next []Record) {
	add := func(r Record) {
		r.At = now
		next = append(next, r)
	}
	for _, relay := range s.inChange() {
		at, to := seen[relay], s.Changing[relay]
		switch {
		case !at.Known || !at.Settled: // unknown, never good
		case s.Phase == Stopped: // what had not begun by then does not
			add(Record{Kind: changed, Relay: relay, To: at.Version})
		case at.Version == to && at.Error == "":
			add(Record{Kind: changed, Relay: relay, To: to})
		case at.Error != "":
			add(Record{Kind: failed, Relay: relay, Why: at.Error})
		}
	}
	if len(next) > 0 {
		return next
	}
	switch s.Phase {
	case Running:
		if len(s.Failed) > 0 {
			for relay, why := range s.Failed {
				add(Record{Kind: stop, Why: fmt.Sprintf("relay %d could not be changed: %s", relay, why)})
				return next
			}
		}
		if v.Worse {
			add(Record{Kind: stop, Why: v.Why})
			return next
		}
		if zone, n := evacuated(seen); n > 0 {
			add(Record{Kind: pause, Why: fmt.Sprintf("zone %s is left by %d relays: resume when it is served again", zone, n)})
			return next
		}
		return s.forward(now, seen, v)
	case RollingBack:
		return s.backward(now, seen)
	}
	return nil
}

// inChange lists the relays in change in their order.
func (s *State) inChange() (all []int) {
	for relay := range s.Changing {
		all = append(all, relay)
	}
	slices.Sort(all)
	return all
}

// forward takes the next relays of a stage into change, or ends it.
func (s *State) forward(now time.Time, seen map[int]Seen, v Verdict) (next []Record) {
	left := s.Plan.upTo(s.Stage) - len(s.Changed) - len(s.Changing)
	if left > 0 {
		for _, a := range s.order() {
			if left == 0 || len(s.Changing)+len(next) >= s.Plan.MostInChange {
				break
			}
			if slices.Contains(s.Changed, a.Relay) || s.Changing[a.Relay] != "" || !seen[a.Relay].Known || !seen[a.Relay].Settled || !s.sameZone(a, next) {
				continue
			}
			next = append(next, Record{At: now, Kind: change, Relay: a.Relay, To: s.New})
			left--
		}
		return next
	}
	switch {
	case len(s.Changing) > 0:
		return nil
	case s.BakeFrom.IsZero():
		return []Record{{At: now, Kind: baking}}
	}
	baked := now.Sub(s.BakeFrom)
	last := s.Stage == len(s.Plan.Stages)-1
	for _, relay := range s.Changed {
		if !seen[relay].Known && baked < s.Plan.LongestBake.AsDuration() {
			return nil // unknown: the bake goes on
		}
	}
	switch {
	case baked < s.Plan.Bake.AsDuration():
		return nil
	case !v.Enough && baked < s.Plan.LongestBake.AsDuration() && len(s.Changed) < len(s.Plan.Agents):
		return nil
	case !v.Enough && len(s.Changed) < len(s.Plan.Agents):
		return []Record{{At: now, Kind: pause, Why: fmt.Sprintf("stage %d can't be judged after %v: %s", s.Stage+1, s.Plan.LongestBake.AsDuration(), v.Why)}}
	case last:
		return []Record{{At: now, Kind: finished}}
	}
	return []Record{{At: now, Kind: nextStage}}
}

// order is the plan's relays in the order of their change: with ByZone one zone after the other.
func (s *State) order() []Agent {
	all := slices.Clone(s.Plan.Agents)
	if s.Plan.ByZone {
		slices.SortStableFunc(all, func(a, b Agent) int { return cmp.Compare(a.Zone, b.Zone) })
	}
	return all
}

// sameZone tells whether a relay may be in change beside those that are, and those that are about to be.
func (s *State) sameZone(a Agent, about []Record) bool {
	for _, o := range s.Plan.Agents {
		inChange := s.Changing[o.Relay] != "" || slices.ContainsFunc(about, func(r Record) bool { return r.Relay == o.Relay })
		if inChange && o.Zone != a.Zone {
			return false
		}
	}
	return true
}

// backward takes changed relays back, the last one first. One that does not answer is waited for: unknown is not done.
func (s *State) backward(now time.Time, seen map[int]Seen) (next []Record) {
	zones := map[int]Agent{}
	for _, a := range s.Plan.Agents {
		zones[a.Relay] = a
	}
	waiting := false
	for i := len(s.Changed) - 1; i >= 0; i-- {
		relay := s.Changed[i]
		switch {
		case s.Changing[relay] != "":
		case !seen[relay].Known || !seen[relay].Settled || s.Failed[relay] != "":
			waiting = true
		case len(s.Changing)+len(next) >= s.Plan.MostInChange || !s.sameZone(zones[relay], next):
			waiting = true
		default:
			next = append(next, Record{At: now, Kind: change, Relay: relay, To: s.Old[relay]})
		}
	}
	if len(next) == 0 && len(s.Changing) == 0 && !waiting {
		return []Record{{At: now, Kind: finished}}
	}
	if len(next) == 0 && len(s.Changing) == 0 { // what could not be taken back is tried again
		for _, relay := range s.Changed {
			if s.Failed[relay] != "" && seen[relay].Known && seen[relay].Settled {
				return []Record{{At: now, Kind: change, Relay: relay, To: s.Old[relay]}}
			}
		}
	}
	return next
}
