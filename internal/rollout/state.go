package rollout

import (
	"slices"
	"time"
)

// Phase is the phase of a rollout.
type Phase string

// The phases. Relays are updated in Running and RollingBack. Stopped and Done can only be rolled back, and RolledBack is final.
const (
	Running     Phase = "running"
	Paused      Phase = "paused"
	Stopped     Phase = "stopped" // by a gate or an order; the fleet keeps both versions
	RollingBack Phase = "rolling back"
	RolledBack  Phase = "rolled back"
	Done        Phase = "done"
)

// State is the state of a rollout. It is determined by the records: see Apply.
type State struct {
	Plan        *Plan          `json:"plan"`
	NewVersion  string         `json:"new"` // checksum
	OldVersions map[int]string `json:"old"` // by relay
	Phase       Phase          `json:"phase"`
	Reason      string         `json:"why,omitempty"` // of the phase
	Stage       int            `json:"stage"`
	BakingSince time.Time      `json:"bake_from,omitzero"` // when the last relay of the stage was updated; zero before
	Updating    map[int]string `json:"changing"`           // by relay: the version that it is being updated to
	Updated     []int          `json:"changed"`            // relays with the new version, in the order of their updates
	Failed      map[int]string `json:"failed,omitempty"`   // by relay: why its update failed
}

// Record is one step of a rollout. It is on disk before the step is carried out.
type Record struct {
	At          time.Time      `json:"at"`
	Kind        string         `json:"kind"`
	Relay       int            `json:"relay,omitempty"`
	Version     string         `json:"to,omitempty"`
	Reason      string         `json:"why,omitempty"`
	Plan        *Plan          `json:"plan,omitempty"`
	OldVersions map[int]string `json:"old,omitempty"`
}

// The kinds of records, with the fields that each has. Their texts are stored.
const (
	recordStarted      = "began"    // Plan, Version: the new one, OldVersions
	recordUpdating     = "change"   // Relay, Version: the update is to be sent to the agent
	recordUpdated      = "changed"  // Relay, Version: the agent has confirmed the update
	recordUpdateFailed = "failed"   // Relay, Reason
	recordBaking       = "baking"   // the last relay of the stage was updated
	recordPromoted     = "stage"    // the next stage starts
	recordPaused       = "pause"    // Reason
	recordResumed      = "resume"   // Plan, if it was replaced
	recordStopped      = "stop"     // Reason
	recordRollback     = "rollback" // Reason
	recordFinished     = "finished" // all relays were updated, or rolled back
)

// Apply updates the state by a record. The same records always give the same state.
func (s *State) Apply(record Record) {
	switch record.Kind {
	case recordStarted:
		*s = State{Plan: record.Plan, NewVersion: record.Version, OldVersions: record.OldVersions, Phase: Running,
			Updating: map[int]string{}, Failed: map[int]string{}}
	case recordUpdating:
		s.Updating[record.Relay] = record.Version
		delete(s.Failed, record.Relay)
	case recordUpdated:
		s.applyUpdated(record)
	case recordUpdateFailed:
		s.applyUpdateFailed(record)
	case recordBaking:
		s.BakingSince = record.At
	case recordPromoted:
		s.Stage++
		s.BakingSince = time.Time{}
	case recordPaused:
		s.Phase, s.Reason = Paused, record.Reason
	case recordResumed:
		s.Phase, s.Reason = Running, ""
		s.BakingSince = time.Time{} // samples from before the pause don't count
		if record.Plan != nil {
			s.Plan = record.Plan
		}
	case recordStopped:
		s.Phase, s.Reason = Stopped, record.Reason
	case recordRollback:
		s.Phase, s.Reason = RollingBack, record.Reason
		clear(s.Failed)
	case recordFinished:
		if s.Phase == RollingBack {
			s.Phase = RolledBack
		} else {
			s.Phase = Done
		}
	}
}

func (s *State) applyUpdated(record Record) {
	delete(s.Updating, record.Relay)
	s.Updated = slices.DeleteFunc(s.Updated, func(relay int) bool { return relay == record.Relay })
	if record.Version == s.NewVersion {
		s.Updated = append(s.Updated, record.Relay)
	}
}

// applyUpdateFailed counts a relay whose update to the new version failed as updated: whichever version it runs, a rollback has
// to restore the old one.
func (s *State) applyUpdateFailed(record Record) {
	if s.Updating[record.Relay] == s.NewVersion && !slices.Contains(s.Updated, record.Relay) {
		s.Updated = append(s.Updated, record.Relay)
	}
	delete(s.Updating, record.Relay)
	s.Failed[record.Relay] = record.Reason
}

// updatingRelays returns the relays in Updating in ascending order.
func (s *State) updatingRelays() (relays []int) {
	for relay := range s.Updating {
		relays = append(relays, relay)
	}
	slices.Sort(relays)
	return relays
}
