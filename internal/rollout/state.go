package rollout

import (
	"slices"
	"time"
)

// Phase is the phase of a rollout.
type Phase string

// Values of Phase. Relays are updated in Running and RollingBack only. From Stopped and Done a rollout can only be rolled back;
// RolledBack is final.
const (
	Running     Phase = "running"
	Paused      Phase = "paused"
	Stopped     Phase = "stopped" // by the canary analysis, a failed update or an order; the relays keep the versions that they have
	RollingBack Phase = "rolling back"
	RolledBack  Phase = "rolled back"
	Done        Phase = "done"
)

// State is the state of a rollout. It is computed by applying all records in order: see Apply.
type State struct {
	Plan        *Plan          `json:"plan"`
	NewVersion  string         `json:"new"` // checksum of the new program
	OldVersions map[int]string `json:"old"` // by relay: checksum of its program before the rollout
	Phase       Phase          `json:"phase"`
	Reason      string         `json:"why,omitempty"`      // why the rollout is in this phase, or empty
	Stage       int            `json:"stage"`              // index of the current stage in Plan.Stages
	BakingSince time.Time      `json:"bake_from,omitzero"` // when the last relay of the stage was updated, or zero
	Updating    map[int]string `json:"changing"`           // by relay with a running update: checksum of the program that it installs
	Updated     []int          `json:"changed"`            // relays updated, or whose update failed, in order
	Failed      map[int]string `json:"failed,omitempty"`   // by relay: error of its failed update
}

// Record is one step of a rollout. It is written to disk before the step is carried out.
type Record struct {
	At          time.Time      `json:"at"`
	Kind        string         `json:"kind"`
	Relay       int            `json:"relay,omitempty"`
	Version     string         `json:"to,omitempty"`  // checksum of a program
	Reason      string         `json:"why,omitempty"` // why the step was taken, or the error of an update
	Plan        *Plan          `json:"plan,omitempty"`
	OldVersions map[int]string `json:"old,omitempty"`
}

// Values of Record.Kind, which are stored on disk. The comments list the fields that are set beside At and Kind.
const (
	recordStarted      = "began"    // Plan, Version (the new one), OldVersions
	recordUpdating     = "change"   // Relay, Version; the update has to be sent to the agent
	recordUpdated      = "changed"  // Relay, Version; the agent has confirmed the update
	recordUpdateFailed = "failed"   // Relay, Reason
	recordBaking       = "baking"   // none; the last relay of the stage was updated
	recordPromoted     = "stage"    // none; the next stage starts
	recordPaused       = "pause"    // Reason
	recordResumed      = "resume"   // Plan, if the order replaced it
	recordStopped      = "stop"     // Reason
	recordRollback     = "rollback" // Reason
	recordFinished     = "finished" // none; all relays were updated, or rolled back
)

// Apply updates the state by a record. It is deterministic: the same records always lead to the same state.
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
		s.BakingSince = time.Time{} // the bake time starts again: samples from before the pause do not count
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

// applyUpdateFailed records a failed update. If it was to the new version, the relay counts as updated, whichever version it runs
// now: a rollback has to restore the old one.
func (s *State) applyUpdateFailed(record Record) {
	if s.Updating[record.Relay] == s.NewVersion && !slices.Contains(s.Updated, record.Relay) {
		s.Updated = append(s.Updated, record.Relay)
	}
	delete(s.Updating, record.Relay)
	s.Failed[record.Relay] = record.Reason
}

// updatingRelays returns the relays with a running update in ascending order.
func (s *State) updatingRelays() (relays []int) {
	for relay := range s.Updating {
		relays = append(relays, relay)
	}
	slices.Sort(relays)
	return relays
}
