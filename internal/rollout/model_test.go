package rollout

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// model is a state of the model checker: the state of the controller and that of the relays. An update runs until the checker
// chooses to end it.
type model struct {
	State     State
	Relays    map[int]modelRelay
	Requested map[int]string // by relay: version of an update that was sent and has not arrived
	IsStopped bool           // whether a stop was recorded, and no rollback since
}

// modelRelay is the state of a relay and its agent. UpdatingTo is the version of a running update, or empty; Error is that of the
// last update.
type modelRelay struct {
	Version, UpdatingTo, Error string
}

// mutation is a mutation of the controller, which the model checker has to detect.
type mutation int

const (
	noMutation       mutation = iota
	exceedsParallel           // updates one relay more at once than the plan allows
	updatesTwoZones           // updates relays of two zones at once
	ignoresStop               // starts updates after a stop
	forgetsRelay              // finishes a rollback while a relay still has the new version
	sendsBeforeWrite          // sends an update that is not recorded
	mutationEnd               // one more than the last mutation
)

// noRelay stands for no relay in modelStep.unreachable.
const noRelay = -1

// modelTime is the time of all steps. It need not advance, since the bake time of modelPlan is 0.
var modelTime = time.Unix(1000, 0)

func (m *model) clone() *model {
	text, _ := json.Marshal(m) // can't fail: a model has only values that JSON can encode
	var c model
	_ = json.Unmarshal(text, &c)
	if c.State.Updating == nil {
		c.State.Updating = map[int]string{}
	}
	if c.State.Failed == nil {
		c.State.Failed = map[int]string{}
	}
	return &c
}

// key returns a text that identifies a state.
func (m *model) key() string {
	text, _ := json.Marshal(m)
	return string(text)
}

// agents returns the status of all agents by relay. The agent of the relay unreachable does not answer.
func (m *model) agents(unreachable int) map[int]AgentStatus {
	all := map[int]AgentStatus{}
	for number, relay := range m.Relays {
		all[number] = AgentStatus{
			Reachable: number != unreachable,
			Version:   relay.Version,
			Settled:   relay.UpdatingTo == "",
			Error:     relay.Error,
		}
	}
	return all
}

// modelStep is one step of the controller, with the disturbances during it.
type modelStep struct {
	unreachable int // relay whose agent does not answer, or none
	evaluation  Evaluation
	crashAfter  int  // number of records after which the controller crashes, or 0
	isLost      bool // whether the updates that the controller sends are lost
	mutation    mutation
}

// apply carries out a step of the controller: it applies the records, and then sends the updates to the agents.
func (m *model) apply(step modelStep) {
	s := &m.State
	records := m.next(step)
	for i, record := range records {
		if step.mutation == forgetsRelay && record.Kind == recordUpdating && s.Phase == RollingBack && len(s.Updated) == 1 {
			record = Record{Kind: recordFinished}
		}
		if step.crashAfter > 0 && i >= step.crashAfter {
			return
		}
		s.Apply(record)
		m.IsStopped = s.Phase == Stopped
		if step.mutation == sendsBeforeWrite && record.Kind == recordUpdating && step.crashAfter > 0 {
			m.Requested[record.Relay] = record.Version
			delete(s.Updating, record.Relay)
		}
	}
	if step.crashAfter > 0 {
		return
	}
	if s.Phase != Stopped && !step.isLost {
		for relay, version := range s.Updating {
			if relay != step.unreachable {
				m.Requested[relay] = version
			}
		}
	}
	m.deliver()
}

// next returns the records of a step, by State.Next with the mutation of the step.
func (m *model) next(step modelStep) []Record {
	s := &m.State
	plan, changed := s.Plan, *s.Plan
	s.Plan = &changed
	defer func() { s.Plan = plan }()
	evaluation := step.evaluation
	switch step.mutation {
	case exceedsParallel:
		changed.MaxParallel++
	case updatesTwoZones:
		changed.ByZone, changed.Agents = false, slices.Clone(changed.Agents)
		for i := range changed.Agents {
			changed.Agents[i].Zone = "one"
		}
	case ignoresStop:
		if s.Phase == Stopped {
			s.Phase = Running
			evaluation.Regressed = false
		}
		defer func() {
			if m.IsStopped {
				s.Phase = Stopped
			}
		}()
	default:
	}
	return s.Next(modelTime, m.agents(step.unreachable), evaluation)
}

// deliver starts the updates that were sent to the agents.
func (m *model) deliver() {
	for number, version := range m.Requested {
		relay := m.Relays[number]
		if relay.UpdatingTo == "" && (relay.Version != version || relay.Error != "") {
			relay.UpdatingTo, relay.Error = version, ""
			m.Relays[number] = relay
		}
	}
	clear(m.Requested)
}

// completeUpdates completes all running updates successfully.
func (m *model) completeUpdates() {
	for number, relay := range m.Relays {
		if relay.UpdatingTo != "" {
			m.Relays[number] = modelRelay{Version: relay.UpdatingTo}
		}
	}
}

// violation describes the invariant that a state violates; it returns "" if there is none.
func (m *model) violation() string {
	zones, updating := map[string]bool{}, 0
	for _, agent := range m.State.Plan.Agents {
		if m.Relays[agent.Relay].UpdatingTo != "" {
			updating++
			zones[agent.Zone] = true
		}
	}
	if updating > m.State.Plan.MaxParallel {
		return fmt.Sprintf("%d relays are being updated", updating)
	}
	if len(zones) > 1 {
		return "relays of two zones are being updated"
	}
	for number, relay := range m.Relays {
		if m.State.Phase == RolledBack && (relay.Version != m.State.OldVersions[number] || relay.UpdatingTo != "") {
			return fmt.Sprintf("rollback is finished, but relay %d is in state %+v", number, relay)
		}
		if relay.UpdatingTo != "" && m.State.Updating[number] == "" {
			return fmt.Sprintf("relay %d is being updated without a record of the update", number)
		}
	}
	return ""
}

// violationAfter describes the invariant that a state or the transition to it violates; it returns "" if there is none.
func (m *model) violationAfter(before *model) string {
	if violation := m.violation(); violation != "" {
		return violation
	}
	if m.IsStopped && before.IsStopped && len(m.State.Updating) > len(before.State.Updating) {
		return "an update was started after a stop"
	}
	return ""
}

func modelPlan() *Plan {
	p := defaults()
	p.Version, p.MaxParallel, p.BakeTime, p.MaxBakeTime = "new", 2, 0, Duration(time.Hour)
	p.Stages = []Stage{{Relays: 1}, {Relays: 3}, {Share: 1}}
	for i, zone := range []string{"a", "b", "a", "a"} {
		p.Agents = append(p.Agents, Agent{Relay: i, Zone: zone, Address: fmt.Sprint(i)})
	}
	return &p
}

// newModel returns the state after the start of a rollout by modelPlan.
func newModel() *model {
	m := &model{Relays: map[int]modelRelay{}, Requested: map[int]string{}}
	oldVersions := map[int]string{}
	for i := range 4 {
		m.Relays[i] = modelRelay{Version: "old"}
		oldVersions[i] = "old"
	}
	m.State.Apply(Record{Kind: recordStarted, Plan: modelPlan(), Version: "new", OldVersions: oldVersions})
	return m
}

// successors returns the states that can follow: one for each possible step of the controller, end of an update, and order.
func (m *model) successors(planted mutation) (after []*model) {
	add := func(change func(*model)) {
		next := m.clone()
		change(next)
		after = append(after, next)
	}
	conclusive := Evaluation{Conclusive: true}
	for _, step := range []modelStep{
		{unreachable: noRelay, mutation: planted},
		{unreachable: noRelay, evaluation: conclusive, mutation: planted},
		{unreachable: noRelay, evaluation: Evaluation{Regressed: true, Reason: "worse"}, mutation: planted},
		{unreachable: noRelay, isLost: true, mutation: planted},
		{unreachable: noRelay, crashAfter: 1, mutation: planted},
		{unreachable: 1, evaluation: conclusive, mutation: planted},
	} {
		add(func(next *model) { next.apply(step) })
	}
	for number, relay := range m.Relays {
		if relay.UpdatingTo != "" {
			add(func(next *model) { next.Relays[number] = modelRelay{Version: relay.UpdatingTo} })
			add(func(next *model) {
				next.Relays[number] = modelRelay{Version: relay.Version, Error: "it does not start"}
			})
		}
	}
	for _, action := range []string{OrderPause, OrderResume, OrderAbort, OrderRollback} {
		record, err := m.State.orderRecord(Order{Action: action})
		if err != nil {
			continue
		}
		record.At = time.Time{} // states must not differ by the time
		add(func(next *model) {
			next.State.Apply(record)
			if action == OrderAbort || action == OrderRollback {
				next.IsStopped = action == OrderAbort
			}
		})
	}
	return after
}

// explore visits up to maxStates states, breadth first. It returns the first violation of an invariant, the number of states, and
// those in which the rollout is running or rolling back.
func explore(planted mutation, maxStates int) (violation string, states int, active []*model) {
	first := newModel()
	if planted != noMutation { // fewer stages: several relays are updated within few steps
		first.State.Plan.Stages = first.State.Plan.Stages[2:]
	}
	visited := map[string]bool{first.key(): true}
	queue := []*model{first}
	for len(queue) > 0 && len(visited) < maxStates {
		current := queue[0]
		queue = queue[1:]
		for _, next := range current.successors(planted) {
			key := next.key()
			if violation := next.violationAfter(current); violation != "" {
				return violation + " in " + key, len(visited), nil
			}
			if visited[key] {
				continue
			}
			visited[key] = true
			queue = append(queue, next)
			if next.State.Phase == RollingBack || next.State.Phase == Running {
				active = append(active, next)
			}
		}
	}
	return "", len(visited), active
}

// maxModelStates returns the number of states to visit: $ROLLOUT_WORLDS, or by default few enough for the usual test run.
func maxModelStates() int {
	if n, err := strconv.Atoi(os.Getenv("ROLLOUT_WORLDS")); err == nil {
		return n
	}
	return 2500
}

// Guards the guarantees of the package by model checking: no sequence of steps, crashes, lost requests, failed updates and orders
// violates an invariant. From the visited states, a controller without further disturbances ends the rollout: a rollback is
// completed, and a running rollout is completed on all relays or stopped.
func TestModel(t *testing.T) {
	violation, states, active := explore(noMutation, maxModelStates())
	if violation != "" {
		t.Fatal(violation)
	}
	t.Logf("visited %d states", states)
	for i := 0; i < len(active); i += 1 + len(active)/300 {
		m := active[i].clone()
		phase := m.State.Phase
		for range 60 {
			m.apply(modelStep{unreachable: noRelay, evaluation: Evaluation{Conclusive: true}})
			m.completeUpdates()
		}
		ended := m.State.Phase
		if phase == RollingBack && ended != RolledBack || phase == Running && ended != Done && ended != Stopped {
			t.Fatalf("a rollout in phase %s ended in phase %s, from state %s", phase, ended, active[i].key())
		}
		for number, relay := range m.Relays {
			if ended == Done && relay.Version != "new" {
				t.Fatalf("the rollout is done, but relay %d is in state %+v", number, relay)
			}
		}
	}
}

// Guards against a model checker that detects nothing: it has to find each mutation of the controller.
func TestModelDetectsMutations(t *testing.T) {
	for planted := noMutation + 1; planted < mutationEnd; planted++ {
		if violation, states, _ := explore(planted, maxModelStates()); violation == "" {
			t.Errorf("mutation %d of the controller was not detected in %d states", planted, states)
		}
	}
}
