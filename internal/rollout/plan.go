// Package rollout brings a version of the relay to a fleet in stages, compares the relays that have it with those that
// do not, stops where they do worse, and takes them back.
//
// It promises that no more relays than the plan allows are in change at once, and never of two zones; that nothing
// further changes after a stop; that a rollback ends with every relay that can be reached on the version it had; that
// each step is on disk before it is taken and may be repeated harmlessly, so that a controller that dies at any point
// goes on where it was; and that of two controllers only the later one is obeyed. A relay that can't be reached counts
// as unknown, never as good. The package decides nothing about messages.
package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"os"
	"time"

	"milletsail/internal/config"
)

// Duration is a time in a plan, written with its unit.
type Duration = config.Duration

// Plan is what a rollout is to do.
type Plan struct {
	Version     string   `json:"Version" toml:"version"`             // file of the new program
	BakeTime    Duration `json:"Bake" toml:"bake"`                   // how long a stage runs at least before the next
	MaxBakeTime Duration `json:"LongestBake" toml:"longest_bake"`    // how long it is extended for want of traffic; then the rollout pauses
	MaxParallel int      `json:"MostInChange" toml:"most_in_change"` // relays at once
	ByZone      bool     `json:"ByZone" toml:"by_zone"`              // one zone after the other, within a stage
	// OnControllerFailure is what the next start of a controller does with a rollout that was under way: "resume" or "rollback".
	OnControllerFailure string `json:"OnDeath" toml:"on_death"`
	// AllowNoRollback allows a version whose journals or notes the one before can't read: there is no rollback from it.
	AllowNoRollback bool    `json:"OneWay" toml:"one_way"`
	Gate            Gate    `json:"Gate" toml:"gate"`
	Stages          []Stage `json:"Stages" toml:"stage"`
	Agents          []Agent `json:"Agents" toml:"agent"`
}

// Stage is how many relays have the new version at its end.
type Stage struct {
	Relays int     `json:"Relays" toml:"relays"` // or
	Share  float64 `json:"Share" toml:"share"`   // of all, rounded up
}

// Agent is where the agent of one relay listens.
type Agent struct {
	Relay   int    `json:"Relay" toml:"relay"`
	Zone    string `json:"Zone" toml:"zone"`
	Address string `json:"Address" toml:"address"`
}

// Gate is when changed relays count as worse than unchanged ones.
type Gate struct {
	FalsePositiveRate float64  `json:"FalseStop" toml:"false_stop"`       // chance to stop a version that is as good, over the whole rollout
	FalseNegativeRate float64  `json:"Missed" toml:"missed"`              // chance, in a stage, to go on with one that is worse by WorseBy
	ErrorRateIncrease float64  `json:"WorseBy" toml:"worse_by"`           // share of a class's messages more that are refused or fail
	LatencyFactor     float64  `json:"LongerBy" toml:"longer_by"`         // factor on the time that messages take
	MemoryFactor      float64  `json:"MemoryFactor" toml:"memory_factor"` // on the memory of an unchanged relay
	Interval          Duration `json:"Every" toml:"every"`                // between looks
}

// defaults are what a plan holds where it is silent.
func defaults() Plan {
	return Plan{BakeTime: Duration(30 * time.Second), MaxBakeTime: Duration(5 * time.Minute), MaxParallel: 4, ByZone: true, OnControllerFailure: "resume",
		Gate: Gate{FalsePositiveRate: 0.01, FalseNegativeRate: 0.05, ErrorRateIncrease: 0.1, LatencyFactor: 1.5, MemoryFactor: 2, Interval: Duration(time.Second)}}
}

// DefaultPlan is what a plan holds where it is silent, with stages of one relay, a twentieth, a quarter and all.
func DefaultPlan() Plan {
	p := defaults()
	p.Stages = []Stage{{Relays: 1}, {Share: 0.05}, {Share: 0.25}, {Share: 1}}
	return p
}

// ReadPlan reads a plan strictly: an unknown key or a value that makes no sense is an error with its place.
func ReadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePlan(path, text)
}

// ParsePlan is ReadPlan for a text; name stands for it in errors.
func ParsePlan(name string, text []byte) (*Plan, error) {
	p := defaults()
	if err := config.Decode(name, text, &p); err != nil {
		return nil, err
	}
	if err := p.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &p, nil
}

// validate names the first value that makes no sense.
func (p *Plan) validate() error {
	g := &p.Gate
	share := func(v float64) bool { return v > 0 && v < 1 }
	for _, c := range []struct {
		bad  bool
		what string
	}{
		{p.Version == "", "version: names no file"},
		{unitless(p.BakeTime) || unitless(p.MaxBakeTime) || unitless(g.Interval), "bake, longest_bake or gate.every: has no unit, such as \"10s\""},
		{p.MaxBakeTime < p.BakeTime, "longest_bake: is under bake"},
		{p.MaxParallel < 1, "most_in_change: is not above 0"},
		{p.OnControllerFailure != "resume" && p.OnControllerFailure != "rollback", fmt.Sprintf("on_death: %q is not \"resume\" or \"rollback\"", p.OnControllerFailure)},
		{!share(g.FalsePositiveRate), "gate.false_stop: is not above 0 and under 1"},
		{!share(g.FalseNegativeRate), "gate.missed: is not above 0 and under 1"},
		{!share(g.ErrorRateIncrease), "gate.worse_by: is not above 0 and under 1"},
		{!(g.LatencyFactor > 1), "gate.longer_by: is not above 1"},
		{!(g.MemoryFactor > 1), "gate.memory_factor: is not above 1"},
		{g.Interval <= 0, "gate.every: is not above 0"},
		{len(p.Stages) == 0, "stage: there is none"},
		{len(p.Agents) == 0, "agent: there is none"},
	} {
		if c.bad {
			return errors.New(c.what)
		}
	}
	before := 0
	for i, s := range p.Stages {
		if (s.Relays > 0) == (s.Share > 0) || s.Share > 1 || s.Relays < 0 || s.Share < 0 {
			return fmt.Errorf("stage[%d]: needs either relays, above 0, or share, above 0 and at most 1", i)
		}
		n := p.relaysAfter(i)
		if n > len(p.Agents) {
			return fmt.Errorf("stage[%d]: has %d relays, there are %d", i, n, len(p.Agents))
		}
		if n < before {
			return fmt.Errorf("stage[%d]: has %d relays, fewer than the one before", i, n)
		}
		before = n
	}
	relays, addresses := map[int]bool{}, map[string]bool{}
	for i, a := range p.Agents {
		switch {
		case a.Address == "":
			return fmt.Errorf("agent[%d].address: is missing", i)
		case a.Zone == "" && p.ByZone:
			return fmt.Errorf("agent[%d].zone: is missing, and the plan goes by zone", i)
		case relays[a.Relay]:
			return fmt.Errorf("agent[%d].relay: %d is there twice", i, a.Relay)
		case addresses[a.Address]:
			return fmt.Errorf("agent[%d].address: %s is there twice", i, a.Address)
		}
		relays[a.Relay], addresses[a.Address] = true, true
	}
	return nil
}

// unitless tells whether a duration was written as a bare number, which TOML gives as nanoseconds.
func unitless(d Duration) bool { return d > 0 && d.AsDuration() < time.Millisecond }

// relaysAfter is how many relays have the new version at the end of a stage.
func (p *Plan) relaysAfter(stage int) int {
	if s := p.Stages[stage]; s.Relays > 0 {
		return s.Relays
	} else {
		return int(math.Ceil(s.Share * float64(len(p.Agents))))
	}
}

// Checksum names a version of the program by its file's contents.
func Checksum(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]), nil
}
