package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// AgentStatus is the part of an agent's report on which the next steps of a rollout depend.
type AgentStatus struct {
	Reachable      bool     // whether the agent answered; if not, all other fields are zero
	Version        string   // checksum of the program that the relay runs
	Settled        bool     // whether no update is running
	Error          string   // error of the last update, or empty
	EvacuatedZones []string // zones that the relay has evacuated, by itself or by an operator's order
}

// evacuationQuorum is the share of the reachable relays that has to be exceeded by those that have evacuated a zone, for the
// rollout to pause. A single relay of many may be wrong about a zone.
const evacuationQuorum = 0.1

// evacuatedZone returns the zone that the largest number of relays have evacuated, and that number. It returns "" and 0 if no zone
// exceeds evacuationQuorum.
func evacuatedZone(agents map[int]AgentStatus) (zone string, relays int) {
	evacuations, reachable := map[string]int{}, 0
	for _, status := range agents {
		if status.Reachable {
			reachable++
		}
		for _, evacuated := range status.EvacuatedZones {
			evacuations[evacuated]++
		}
	}
	for candidate, count := range evacuations {
		if float64(count) > evacuationQuorum*float64(reachable) && (count > relays || count == relays && candidate < zone) {
			zone, relays = candidate, count
		}
	}
	return zone, relays
}

// Next returns the records to append next, given the status of the agents by relay and the evaluation of the current stage. It
// returns none if the rollout has to wait. The caller appends and applies each record, and then carries it out. Next has no side
// effects, so that a model checker can explore all paths through it.
func (s *State) Next(now time.Time, agents map[int]AgentStatus, evaluation Evaluation) []Record {
	if confirmed := s.confirmUpdates(now, agents); len(confirmed) > 0 {
		return confirmed
	}
	switch s.Phase {
	case Running:
		if halt, ok := s.halt(now, agents, evaluation); ok {
			return []Record{halt}
		}
		return s.advance(now, agents, evaluation)
	case RollingBack:
		return s.rollBack(now, agents)
	}
	return nil
}

// confirmUpdates returns a record for each running update that has ended according to the relay's agent.
func (s *State) confirmUpdates(now time.Time, agents map[int]AgentStatus) (next []Record) {
	for _, relay := range s.updatingRelays() {
		status, version := agents[relay], s.Updating[relay]
		switch {
		case !status.Reachable || !status.Settled:
		case s.Phase == Stopped: // an update that did not reach the agent before the stop is no longer sent
			next = append(next, Record{At: now, Kind: recordUpdated, Relay: relay, Version: status.Version})
		case status.Version == version && status.Error == "":
			next = append(next, Record{At: now, Kind: recordUpdated, Relay: relay, Version: version})
		case status.Error != "":
			next = append(next, Record{At: now, Kind: recordUpdateFailed, Relay: relay, Reason: status.Error})
		}
	}
	return next
}

// halt returns the record that stops or pauses a running rollout; ok is false if there is no reason to.
func (s *State) halt(now time.Time, agents map[int]AgentStatus, evaluation Evaluation) (halt Record, ok bool) {
	for relay, reason := range s.Failed {
		return Record{At: now, Kind: recordStopped, Reason: fmt.Sprintf("update of relay %d failed: %s", relay, reason)}, true
	}
	if evaluation.Regressed {
		return Record{At: now, Kind: recordStopped, Reason: evaluation.Reason}, true
	}
	if zone, relays := evacuatedZone(agents); relays > 0 {
		reason := fmt.Sprintf("zone %s is evacuated by %d relays: resume once it is restored", zone, relays)
		return Record{At: now, Kind: recordPaused, Reason: reason}, true
	}
	return Record{}, false
}

// advance returns the records that start the next updates of the stage, its bake time, or the next stage.
func (s *State) advance(now time.Time, agents map[int]AgentStatus, evaluation Evaluation) []Record {
	if remaining := s.Plan.relaysAfter(s.Stage) - len(s.Updated) - len(s.Updating); remaining > 0 {
		return s.startUpdates(now, agents, remaining)
	}
	if len(s.Updating) > 0 {
		return nil
	}
	if s.BakingSince.IsZero() {
		return []Record{{At: now, Kind: recordBaking}}
	}
	return s.endStage(now, agents, evaluation)
}

// startUpdates returns records that start updates of up to remaining further relays, within the limits of the plan on parallel
// updates.
func (s *State) startUpdates(now time.Time, agents map[int]AgentStatus, remaining int) (next []Record) {
	for _, agent := range s.updateOrder() {
		if remaining == 0 || len(s.Updating)+len(next) >= s.Plan.MaxParallel {
			break
		}
		status := agents[agent.Relay]
		isUpdated := slices.Contains(s.Updated, agent.Relay) || s.Updating[agent.Relay] != ""
		if isUpdated || !status.Reachable || !status.Settled || !s.sharesZone(agent, next) {
			continue
		}
		next = append(next, Record{At: now, Kind: recordUpdating, Relay: agent.Relay, Version: s.NewVersion})
		remaining--
	}
	return next
}

// endStage returns the record that promotes a stage after its bake time, if the evaluation is conclusive, or that pauses the
// rollout if it is not after the maximum bake time. If all relays are updated, there is no control cohort to compare with, and
// the minimum bake time is enough.
func (s *State) endStage(now time.Time, agents map[int]AgentStatus, evaluation Evaluation) []Record {
	baked := now.Sub(s.BakingSince)
	expired := baked >= s.Plan.MaxBakeTime.AsDuration()
	for _, relay := range s.Updated {
		if !agents[relay].Reachable && !expired {
			return nil
		}
	}
	needsEvaluation := !evaluation.Conclusive && len(s.Updated) < len(s.Plan.Agents)
	switch {
	case baked < s.Plan.BakeTime.AsDuration():
		return nil
	case needsEvaluation && !expired:
		return nil
	case needsEvaluation:
		reason := fmt.Sprintf("the evaluation of stage %d is inconclusive after %v: %s",
			s.Stage+1, s.Plan.MaxBakeTime.AsDuration(), evaluation.Reason)
		return []Record{{At: now, Kind: recordPaused, Reason: reason}}
	case s.Stage == len(s.Plan.Stages)-1:
		return []Record{{At: now, Kind: recordFinished}}
	}
	return []Record{{At: now, Kind: recordPromoted}}
}

// updateOrder returns the agents in the order of their updates: that of the plan or, with Plan.ByZone, one zone after another.
func (s *State) updateOrder() []Agent {
	agents := slices.Clone(s.Plan.Agents)
	if s.Plan.ByZone {
		slices.SortStableFunc(agents, func(a, b Agent) int { return cmp.Compare(a.Zone, b.Zone) })
	}
	return agents
}

// sharesZone reports whether a relay is in the same zone as all relays with a running update and as those that the records in next
// start to update.
func (s *State) sharesZone(agent Agent, next []Record) bool {
	for _, other := range s.Plan.Agents {
		isNext := slices.ContainsFunc(next, func(r Record) bool { return r.Relay == other.Relay })
		if (isNext || s.Updating[other.Relay] != "") && other.Zone != agent.Zone {
			return false
		}
	}
	return true
}

// rollBack returns the records that restore the old versions of the updated relays, the last updated first. The rollback is
// finished when all of them have their old version: it waits for a relay that does not answer.
func (s *State) rollBack(now time.Time, agents map[int]AgentStatus) (next []Record) {
	plans := map[int]Agent{}
	for _, agent := range s.Plan.Agents {
		plans[agent.Relay] = agent
	}
	isWaiting := false
	for _, relay := range slices.Backward(s.Updated) {
		if s.Updating[relay] != "" {
			continue
		}
		status := agents[relay]
		isBlocked := !status.Reachable || !status.Settled || s.Failed[relay] != ""
		if isBlocked || len(s.Updating)+len(next) >= s.Plan.MaxParallel || !s.sharesZone(plans[relay], next) {
			isWaiting = true
			continue
		}
		next = append(next, s.restore(now, relay))
	}
	if len(next) > 0 || len(s.Updating) > 0 {
		return next
	}
	if !isWaiting {
		return []Record{{At: now, Kind: recordFinished}}
	}
	return s.retryRestore(now, agents)
}

// retryRestore returns a record for one relay whose rollback failed and whose agent is ready for another attempt; none if there is
// no such relay.
func (s *State) retryRestore(now time.Time, agents map[int]AgentStatus) []Record {
	for _, relay := range s.Updated {
		if s.Failed[relay] != "" && agents[relay].Reachable && agents[relay].Settled {
			return []Record{s.restore(now, relay)}
		}
	}
	return nil
}

// restore returns the record that starts the update of a relay to its old version.
func (s *State) restore(now time.Time, relay int) Record {
	return Record{At: now, Kind: recordUpdating, Relay: relay, Version: s.OldVersions[relay]}
}
