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

// world is relays and their agents, as the model has them: each change takes until the model says that it ended.
type world struct {
	S     State
	At    map[int]relayAt
	Asked map[int]string // by the controller, not yet come to the agent: it may still come, or be lost
	Kept  bool           // a rollback was begun or done
	Stop  bool           // a stop was written and no rollback since
}

type relayAt struct {
	Version, Going, Err string
}

// planted are mistakes of a controller, to show that the model finds them.
type planted int

const (
	sound planted = iota
	tooMany
	twoZones
	goesOn       // takes further relays into change after a stop
	forgetsOne   // ends a rollback with a relay on the new version
	sendsTooSoon // acts before it writes
)

func (w *world) clone() *world {
	text, _ := json.Marshal(w)
	var c world
	_ = json.Unmarshal(text, &c)
	if c.S.Updating == nil {
		c.S.Updating = map[int]string{}
	}
	if c.S.Failed == nil {
		c.S.Failed = map[int]string{}
	}
	return &c
}

func (w *world) key() string {
	text, _ := json.Marshal(w)
	return string(text)
}

// seen is what agents say, but for those in unknown.
func (w *world) seen(unknown int) map[int]AgentStatus {
	all := map[int]AgentStatus{}
	for relay, at := range w.At {
		all[relay] = AgentStatus{Reachable: relay != unknown, Version: at.Version, Settled: at.Going == "", Error: at.Err}
	}
	return all
}

// step has the controller take its next steps: write records and then ask. It dies after some records where dies is
// above 0, and its questions get lost where lost is set.
func (w *world) step(unknown int, v Evaluation, dies int, lost bool, how planted) {
	now := time.Unix(1000, 0)
	s := &w.S
	was := s.Plan
	plan := *was
	s.Plan = &plan
	if how == tooMany {
		s.Plan.MaxParallel++
	}
	if how == twoZones {
		s.Plan.ByZone, s.Plan.Agents = false, slices.Clone(s.Plan.Agents)
		for i := range s.Plan.Agents {
			s.Plan.Agents[i].Zone = "one"
		}
	}
	if how == goesOn && s.Phase == Stopped {
		s.Phase = Running
		v.Regressed = false
	}
	next := s.Next(now, w.seen(unknown), v)
	if how == goesOn && w.Stop {
		s.Phase = Stopped
	}
	s.Plan = was
	for i, r := range next {
		if how == forgetsOne && r.Kind == recordUpdating && s.Phase == RollingBack && len(s.Updated) == 1 {
			r = Record{Kind: recordFinished}
		}
		if dies > 0 && i >= dies {
			return
		}
		s.Apply(r)
		w.Stop = s.Phase == Stopped
		if how == sendsTooSoon && r.Kind == recordUpdating && dies > 0 {
			w.Asked[r.Relay] = r.Version
			delete(s.Updating, r.Relay)
		}
	}
	if dies > 0 {
		return
	}
	if s.Phase != Stopped {
		for relay, to := range s.Updating {
			if !lost && relay != unknown {
				w.Asked[relay] = to
			}
		}
	}
	for relay, to := range w.Asked {
		at := w.At[relay]
		if at.Going == "" && (at.Version != to || at.Err != "") {
			at.Going, at.Err = to, ""
			w.At[relay] = at
		}
	}
	clear(w.Asked)
}

// check names the invariant that a world breaks.
func (w *world) check() string {
	zones, n := map[string]bool{}, 0
	for _, a := range w.S.Plan.Agents {
		if w.At[a.Relay].Going != "" {
			n++
			zones[a.Zone] = true
		}
	}
	switch {
	case n > w.S.Plan.MaxParallel:
		return fmt.Sprintf("%d relays in change", n)
	case len(zones) > 1:
		return "two zones in change"
	}
	for relay, at := range w.At {
		if w.S.Phase == RolledBack && (at.Version != w.S.OldVersions[relay] || at.Going != "") {
			return fmt.Sprintf("rolled back, and relay %d has %+v", relay, at)
		}
		if at.Going != "" && w.S.Updating[relay] == "" {
			return fmt.Sprintf("relay %d is in change, and nothing on disk says so", relay)
		}
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

func begin() *world {
	w := &world{At: map[int]relayAt{}, Asked: map[int]string{}}
	old := map[int]string{}
	for i := range 4 {
		w.At[i] = relayAt{Version: "old"}
		old[i] = "old"
	}
	w.S.Apply(Record{Kind: recordStarted, Plan: modelPlan(), Version: "new", OldVersions: old})
	return w
}

// explore takes every order of steps, deaths, lost questions, failures, verdicts and orders, up to a number of worlds,
// the shallow ones first, and gives the first invariant that is broken, and how many worlds it saw.
func explore(how planted, most int) (broken string, n int, all []*world) {
	first := begin()
	if how != sound { // mistakes with several relays show early
		first.S.Plan.Stages = first.S.Plan.Stages[2:]
	}
	seen := map[string]bool{first.key(): true}
	queue := []*world{first}
	for len(queue) > 0 && len(seen) < most {
		w := queue[0]
		queue = queue[1:]
		var after []*world
		do := func(f func(*world)) {
			c := w.clone()
			f(c)
			after = append(after, c)
		}
		for _, v := range []Evaluation{{}, {Conclusive: true}, {Regressed: true, Reason: "worse"}} {
			do(func(c *world) { c.step(-1, v, 0, false, how) })
		}
		do(func(c *world) { c.step(-1, Evaluation{}, 0, true, how) })
		do(func(c *world) { c.step(-1, Evaluation{}, 1, false, how) })
		do(func(c *world) { c.step(1, Evaluation{Conclusive: true}, 0, false, how) })
		for relay, at := range w.At {
			if at.Going != "" {
				do(func(c *world) { c.At[relay] = relayAt{Version: at.Going} })
				do(func(c *world) { c.At[relay] = relayAt{Version: at.Version, Err: "it does not start"} })
			}
		}
		s := &w.S
		if s.Phase == Running {
			do(func(c *world) { c.S.Apply(Record{Kind: recordPaused, Reason: "ordered"}) })
		}
		if s.Phase == Paused {
			do(func(c *world) { c.S.Apply(Record{Kind: recordResumed}) })
		}
		if s.Phase == Running || s.Phase == Paused || s.Phase == RollingBack {
			do(func(c *world) { c.S.Apply(Record{Kind: recordStopped, Reason: "ordered"}); c.Stop = true })
		}
		if s.Phase != RollingBack && s.Phase != RolledBack {
			do(func(c *world) { c.S.Apply(Record{Kind: recordRollback, Reason: "ordered"}); c.Stop = false })
		}
		for _, c := range after {
			if what := c.check(); what != "" {
				return what + " in " + c.key(), len(seen), nil
			}
			if c.Stop && w.Stop && len(c.S.Updating) > len(w.S.Updating) {
				return "a relay is taken into change after a stop: " + c.key(), len(seen), nil
			}
			if k := c.key(); !seen[k] {
				seen[k] = true
				queue = append(queue, c)
				if c.S.Phase == RollingBack || c.S.Phase == Running {
					all = append(all, c)
				}
			}
		}
	}
	return "", len(seen), all
}

// worlds is how many the model looks at: $ROLLOUT_WORLDS, or as many as a test that runs beside others can.
func worlds() int {
	if n, err := strconv.Atoi(os.Getenv("ROLLOUT_WORLDS")); err == nil {
		return n
	}
	return 2500
}

// Whatever comes in between, the rules hold; and from each world that was seen, a controller that is left alone comes to
// an end: all on the old version where it rolls back, all on the new one where nothing is wrong.
func TestEveryOrder(t *testing.T) {
	broken, n, all := explore(sound, worlds())
	if broken != "" {
		t.Fatal(broken)
	}
	t.Logf("%d worlds", n)
	for i := 0; i < len(all); i += 1 + len(all)/300 {
		w := all[i].clone()
		began := w.S.Phase
		for range 60 {
			w.step(-1, Evaluation{Conclusive: true}, 0, false, sound)
			for relay, at := range w.At {
				if at.Going != "" {
					w.At[relay] = relayAt{Version: at.Going}
				}
			}
		}
		if p := w.S.Phase; began == RollingBack && p != RolledBack || began == Running && p != Done && p != Stopped {
			t.Fatalf("left alone, %s ends as %s: %s", began, p, all[i].key())
		}
		for relay, at := range w.At {
			if w.S.Phase == Done && at.Version != "new" {
				t.Fatalf("done, and relay %d has %+v", relay, at)
			}
		}
	}
}

// The model finds planted mistakes.
func TestModelFindsMistakes(t *testing.T) {
	for how := tooMany; how <= sendsTooSoon; how++ {
		if broken, n, _ := explore(how, worlds()); broken == "" {
			t.Errorf("mistake %d is not found in %d worlds", how, n)
		}
	}
}

// A relay that does not answer counts as unknown: its stage is not passed before the longest bake, and then pauses.
func TestUnknownIsNotGood(t *testing.T) {
	w := begin()
	w.S.Plan.BakeTime, w.S.Plan.MaxBakeTime = Duration(10*time.Second), Duration(time.Minute)
	now := time.Unix(1000, 0)
	for _, r := range []Record{{Kind: recordUpdating, Relay: 0, Version: "new"}, {Kind: recordUpdated, Relay: 0, Version: "new"}, {Kind: recordBaking, At: now}} {
		w.S.Apply(r)
	}
	w.At[0] = relayAt{Version: "new"}
	if next := w.S.Next(now.Add(20*time.Second), w.seen(0), Evaluation{Conclusive: true}); len(next) > 0 {
		t.Errorf("with its relay unknown the stage goes on: %+v", next)
	}
	if next := w.S.Next(now.Add(9*time.Second), w.seen(-1), Evaluation{Conclusive: true}); len(next) > 0 {
		t.Errorf("before its bake the stage goes on: %+v", next)
	}
	if next := w.S.Next(now.Add(20*time.Second), w.seen(-1), Evaluation{}); len(next) > 0 {
		t.Errorf("with too little traffic the stage goes on: %+v", next)
	}
	if next := w.S.Next(now.Add(2*time.Minute), w.seen(-1), Evaluation{Reason: "too little traffic"}); len(next) != 1 || next[0].Kind != recordPaused {
		t.Errorf("after the longest bake: %+v", next)
	}
	if next := w.S.Next(now.Add(20*time.Second), w.seen(-1), Evaluation{Conclusive: true}); len(next) != 1 || next[0].Kind != recordPromoted {
		t.Errorf("found good: %+v", next)
	}
}

func TestPlan(t *testing.T) {
	const good = "version = \"v\"\n[[stage]]\nrelays = 1\n[[stage]]\nshare = 1.0\n[[agent]]\nrelay = 0\nzone = \"a\"\naddress = \"127.0.0.1:1\"\n[[agent]]\nrelay = 1\nzone = \"a\"\naddress = \"127.0.0.1:2\"\n"
	p, err := ParsePlan("plan", []byte(good))
	if err != nil || p.relaysAfter(0) != 1 || p.relaysAfter(1) != 2 || p.Gate.FalsePositiveRate != 0.01 {
		t.Fatalf("%+v, %v", p, err)
	}
	for _, bad := range []string{"", "bake = 10\n" + good, "bake = \"-1s\"\n" + good, "speed = 1\n" + good, "on_death = \"x\"\n" + good, "longest_bake = \"1s\"\n" + good,
		"most_in_change = 0\n" + good, good + "[[stage]]\nrelays = 1\n", good + "[[stage]]\nrelays = 3\n", good + "[[stage]]\nshare = 1.1\n",
		good + "[gate]\nfalse_stop = 0.0\n", good + "[gate]\nworse_by = 2.0\n", good + "[[agent]]\nrelay = 1\nzone = \"a\"\naddress = \"127.0.0.1:3\"\n",
		good + "[[agent]]\nrelay = 2\nzone = \"a\"\naddress = \"127.0.0.1:2\"\n", good + "[[agent]]\nrelay = 2\naddress = \"127.0.0.1:4\"\n"} {
		if _, err := ParsePlan("plan", []byte(bad)); err == nil || err.Error()[:4] != "plan" {
			t.Errorf("%q: %v", bad, err)
		}
	}
	if !slices.Equal((&State{Plan: modelPlan()}).zonesInOrder(), []string{"a", "a", "a", "b"}) {
		t.Error("not one zone after the other")
	}
}

func (s *State) zonesInOrder() (all []string) {
	for _, a := range s.updateOrder() {
		all = append(all, a.Zone)
	}
	return all
}
