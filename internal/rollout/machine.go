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
	Plan        *Plan          `json:"plan"`
	NewVersion  string         `json:"new"` // checksum
	OldVersions map[int]string `json:"old"` // each relay's before the rollout
	Phase       Phase          `json:"phase"`
	Reason      string         `json:"why,omitempty"` // of the phase
	Stage       int            `json:"stage"`
	BakingSince time.Time      `json:"bake_from,omitzero"` // when the stage had all its relays; zero before
	Updating    map[int]string `json:"changing"`           // relays in change, and to what
	Updated     []int          `json:"changed"`            // relays that have the new version, in the order of their change
	Failed      map[int]string `json:"failed,omitempty"`   // relays whose change failed, and why
}

// Record is one step of a rollout. It is on disk before what it says is done.
type Record struct {
	At          time.Time      `json:"at"`
	Kind        string         `json:"kind"`
	Relay       int            `json:"relay,omitempty"`
	Version     string         `json:"to,omitempty"`
	Reason      string         `json:"why,omitempty"`
	Plan        *Plan          `json:"plan,omitempty"`
	OldVersions map[int]string `json:"old,omitempty"`
}

// The kinds of record.
const (
	recordStarted      = "began"    // Plan, To: the new version, Old
	recordUpdating     = "change"   // Relay, To: it is to be changed
	recordUpdated      = "changed"  // Relay, To: it has been
	recordUpdateFailed = "failed"   // Relay, Why: it could not be
	recordBaking       = "baking"   // a stage has all its relays
	recordPromoted     = "stage"    // a stage was found good
	recordPaused       = "pause"    // Why
	recordResumed      = "resume"   // Plan, if it changed
	recordStopped      = "stop"     // Why
	recordRollback     = "rollback" // Why
	recordFinished     = "finished" // all is done, or taken back
)

// Apply takes in a record. The same records give the same state, whenever they are read.
func (s *State) Apply(r Record) {
	switch r.Kind {
	case recordStarted:
		*s = State{Plan: r.Plan, NewVersion: r.Version, OldVersions: r.OldVersions, Phase: Running, Updating: map[int]string{}, Failed: map[int]string{}}
	case recordUpdating:
		s.Updating[r.Relay] = r.Version
		delete(s.Failed, r.Relay)
	case recordUpdated:
		delete(s.Updating, r.Relay)
		s.Updated = slices.DeleteFunc(s.Updated, func(n int) bool { return n == r.Relay })
		if r.Version == s.NewVersion {
			s.Updated = append(s.Updated, r.Relay)
		}
	case recordUpdateFailed:
		// Whatever it runs now, it was to be changed: a rollback takes it back.
		if s.Updating[r.Relay] == s.NewVersion && !slices.Contains(s.Updated, r.Relay) {
			s.Updated = append(s.Updated, r.Relay)
		}
		delete(s.Updating, r.Relay)
		s.Failed[r.Relay] = r.Reason
	case recordBaking:
		s.BakingSince = r.At
	case recordPromoted:
		s.Stage++
		s.BakingSince = time.Time{}
	case recordPaused:
		s.Phase, s.Reason = Paused, r.Reason
	case recordResumed:
		s.Phase, s.Reason = Running, ""
		s.BakingSince = time.Time{} // what was measured meanwhile does not count
		if r.Plan != nil {
			s.Plan = r.Plan
		}
	case recordStopped:
		s.Phase, s.Reason = Stopped, r.Reason
	case recordRollback:
		s.Phase, s.Reason = RollingBack, r.Reason
		clear(s.Failed)
	case recordFinished:
		if s.Phase == RollingBack {
			s.Phase = RolledBack
		} else {
			s.Phase = Done
		}
	}
}

// AgentStatus is what an agent says of its relay, as far as the steps need it.
type AgentStatus struct {
	Reachable      bool // it answers
	Version        string
	Settled        bool     // no change is under way there
	Error          string   // of the last change
	EvacuatedZones []string // zones that it has left
}

// leftBy of the relays that answer, and one at least, have to have left a zone for a rollout to pause: one alone may err.
const leftBy = 0.1

// evacuated names a zone that the fleet has left, if there is one.
func evacuated(seen map[int]AgentStatus) (zone string, relays int) {
	count, known := map[string]int{}, 0
	for _, at := range seen {
		if at.Reachable {
			known++
		}
		for _, z := range at.EvacuatedZones {
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

// Evaluation is what the gates say of a stage.
type Evaluation struct {
	Regressed  bool   // stop
	Conclusive bool   // it has been compared for long enough to tell
	Reason     string // of either, or what is missing
}

// Next gives the records to take in next, by what the agents say and the gates find: none where there is nothing to do
// but wait. Whoever calls it writes each record down, applies it, and then does what it says. It has no state and no
// clock of its own, so that a model can take every path through it.
func (s *State) Next(now time.Time, seen map[int]AgentStatus, v Evaluation) (next []Record) {
	add := func(r Record) {
		r.At = now
		next = append(next, r)
	}
	for _, relay := range s.updatingRelays() {
		at, to := seen[relay], s.Updating[relay]
		switch {
		case !at.Reachable || !at.Settled: // unknown, never good
		case s.Phase == Stopped: // what had not begun by then does not
			add(Record{Kind: recordUpdated, Relay: relay, Version: at.Version})
		case at.Version == to && at.Error == "":
			add(Record{Kind: recordUpdated, Relay: relay, Version: to})
		case at.Error != "":
			add(Record{Kind: recordUpdateFailed, Relay: relay, Reason: at.Error})
		}
	}
	if len(next) > 0 {
		return next
	}
	switch s.Phase {
	case Running:
		if len(s.Failed) > 0 {
			for relay, why := range s.Failed {
				add(Record{Kind: recordStopped, Reason: fmt.Sprintf("relay %d could not be changed: %s", relay, why)})
				return next
			}
		}
		if v.Regressed {
			add(Record{Kind: recordStopped, Reason: v.Reason})
			return next
		}
		if zone, n := evacuated(seen); n > 0 {
			add(Record{Kind: recordPaused, Reason: fmt.Sprintf("zone %s is left by %d relays: resume when it is served again", zone, n)})
			return next
		}
		return s.advance(now, seen, v)
	case RollingBack:
		return s.rollBack(now, seen)
	}
	return nil
}

// updatingRelays lists the relays in change in their order.
func (s *State) updatingRelays() (all []int) {
	for relay := range s.Updating {
		all = append(all, relay)
	}
	slices.Sort(all)
	return all
}

// advance takes the next relays of a stage into change, or ends it.
func (s *State) advance(now time.Time, seen map[int]AgentStatus, v Evaluation) (next []Record) {
	left := s.Plan.relaysAfter(s.Stage) - len(s.Updated) - len(s.Updating)
	if left > 0 {
		for _, a := range s.updateOrder() {
			if left == 0 || len(s.Updating)+len(next) >= s.Plan.MaxParallel {
				break
			}
			if slices.Contains(s.Updated, a.Relay) || s.Updating[a.Relay] != "" || !seen[a.Relay].Reachable || !seen[a.Relay].Settled || !s.sharesZone(a, next) {
				continue
			}
			next = append(next, Record{At: now, Kind: recordUpdating, Relay: a.Relay, Version: s.NewVersion})
			left--
		}
		return next
	}
	switch {
	case len(s.Updating) > 0:
		return nil
	case s.BakingSince.IsZero():
		return []Record{{At: now, Kind: recordBaking}}
	}
	baked := now.Sub(s.BakingSince)
	last := s.Stage == len(s.Plan.Stages)-1
	for _, relay := range s.Updated {
		if !seen[relay].Reachable && baked < s.Plan.MaxBakeTime.AsDuration() {
			return nil // unknown: the bake goes on
		}
	}
	switch {
	case baked < s.Plan.BakeTime.AsDuration():
		return nil
	case !v.Conclusive && baked < s.Plan.MaxBakeTime.AsDuration() && len(s.Updated) < len(s.Plan.Agents):
		return nil
	case !v.Conclusive && len(s.Updated) < len(s.Plan.Agents):
		return []Record{{At: now, Kind: recordPaused, Reason: fmt.Sprintf("stage %d can't be judged after %v: %s", s.Stage+1, s.Plan.MaxBakeTime.AsDuration(), v.Reason)}}
	case last:
		return []Record{{At: now, Kind: recordFinished}}
	}
	return []Record{{At: now, Kind: recordPromoted}}
}

// updateOrder is the plan's relays in the order of their change: with ByZone one zone after the other.
func (s *State) updateOrder() []Agent {
	all := slices.Clone(s.Plan.Agents)
	if s.Plan.ByZone {
		slices.SortStableFunc(all, func(a, b Agent) int { return cmp.Compare(a.Zone, b.Zone) })
	}
	return all
}

// sharesZone tells whether a relay may be in change beside those that are, and those that are about to be.
func (s *State) sharesZone(a Agent, about []Record) bool {
	for _, o := range s.Plan.Agents {
		inChange := s.Updating[o.Relay] != "" || slices.ContainsFunc(about, func(r Record) bool { return r.Relay == o.Relay })
		if inChange && o.Zone != a.Zone {
			return false
		}
	}
	return true
}

// rollBack takes changed relays back, the last one first. One that does not answer is waited for: unknown is not done.
func (s *State) rollBack(now time.Time, seen map[int]AgentStatus) (next []Record) {
	zones := map[int]Agent{}
	for _, a := range s.Plan.Agents {
		zones[a.Relay] = a
	}
	waiting := false
	for i := len(s.Updated) - 1; i >= 0; i-- {
		relay := s.Updated[i]
		switch {
		case s.Updating[relay] != "":
		case !seen[relay].Reachable || !seen[relay].Settled || s.Failed[relay] != "":
			waiting = true
		case len(s.Updating)+len(next) >= s.Plan.MaxParallel || !s.sharesZone(zones[relay], next):
			waiting = true
		default:
			next = append(next, Record{At: now, Kind: recordUpdating, Relay: relay, Version: s.OldVersions[relay]})
		}
	}
	if len(next) == 0 && len(s.Updating) == 0 && !waiting {
		return []Record{{At: now, Kind: recordFinished}}
	}
	if len(next) == 0 && len(s.Updating) == 0 { // what could not be taken back is tried again
		for _, relay := range s.Updated {
			if s.Failed[relay] != "" && seen[relay].Reachable && seen[relay].Settled {
				return []Record{{At: now, Kind: recordUpdating, Relay: relay, Version: s.OldVersions[relay]}}
			}
		}
	}
	return next
}
