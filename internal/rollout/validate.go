package rollout

import (
	"fmt"
	"time"
)

// InvalidPlanError is the error for an invalid or missing value in a plan.
type InvalidPlanError struct {
	Key    string // key in the plan file, such as "gate.every" or "stage[1]"; lists count from 0
	Reason string // what is wrong with the value, as a predicate of the key: "is missing"
}

func (e *InvalidPlanError) Error() string { return e.Key + ": " + e.Reason }

// validate returns an *InvalidPlanError for the first invalid value, or nil.
func (p *Plan) validate() error {
	for _, check := range []func() error{p.validateValues, p.Gate.validate, p.validateStages, p.validateAgents} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) validateValues() error {
	switch {
	case p.Version == "":
		return &InvalidPlanError{"version", missing}
	case lacksUnit(p.BakeTime):
		return &InvalidPlanError{"bake", noUnit}
	case lacksUnit(p.MaxBakeTime):
		return &InvalidPlanError{"longest_bake", noUnit}
	case lacksUnit(p.Gate.Interval):
		return &InvalidPlanError{"gate.every", noUnit}
	case p.MaxBakeTime < p.BakeTime:
		return &InvalidPlanError{"longest_bake", "is shorter than bake"}
	case p.MaxParallel < 1:
		return &InvalidPlanError{"most_in_change", "is not above 0"}
	case p.OnControllerFailure != resumeOnFailure && p.OnControllerFailure != rollbackOnFailure:
		reason := fmt.Sprintf("%q is not %q or %q", p.OnControllerFailure, resumeOnFailure, rollbackOnFailure)
		return &InvalidPlanError{"on_death", reason}
	}
	return nil
}

func (g *Gate) validate() error {
	const (
		notAShare = "is not above 0 and below 1"
		notAbove1 = "is not above 1"
	)
	isShare := func(v float64) bool { return v > 0 && v < 1 }
	switch {
	case !isShare(g.FalsePositiveRate):
		return &InvalidPlanError{"gate.false_stop", notAShare}
	case !isShare(g.FalseNegativeRate):
		return &InvalidPlanError{"gate.missed", notAShare}
	case !isShare(g.ErrorRateIncrease):
		return &InvalidPlanError{"gate.worse_by", notAShare}
	case !(g.LatencyFactor > 1): // NaN is invalid too
		return &InvalidPlanError{"gate.longer_by", notAbove1}
	case !(g.MemoryFactor > 1):
		return &InvalidPlanError{"gate.memory_factor", notAbove1}
	case g.Interval <= 0:
		return &InvalidPlanError{"gate.every", "is not above 0"}
	}
	return nil
}

func (p *Plan) validateStages() error {
	if len(p.Stages) == 0 {
		return &InvalidPlanError{"stage", missing}
	}
	if len(p.Agents) == 0 {
		return &InvalidPlanError{"agent", missing}
	}
	before := 0
	for i, stage := range p.Stages {
		key := fmt.Sprintf("stage[%d]", i)
		if (stage.Relays > 0) == (stage.Share > 0) || stage.Share > 1 || stage.Relays < 0 || stage.Share < 0 {
			return &InvalidPlanError{key, "needs either relays, above 0, or share, above 0 and at most 1"}
		}
		relays := p.relaysAfter(i)
		if relays > len(p.Agents) {
			return &InvalidPlanError{key, fmt.Sprintf("has %d relays, more than the %d of the plan", relays, len(p.Agents))}
		}
		if relays < before {
			return &InvalidPlanError{key, fmt.Sprintf("has %d relays, fewer than the previous stage", relays)}
		}
		before = relays
	}
	return nil
}

func (p *Plan) validateAgents() error {
	relays, addresses := map[int]bool{}, map[string]bool{}
	for i, agent := range p.Agents {
		key := fmt.Sprintf("agent[%d]", i)
		switch {
		case agent.Address == "":
			return &InvalidPlanError{key + ".address", missing}
		case agent.Zone == "" && p.ByZone:
			return &InvalidPlanError{key + ".zone", "is missing; by_zone requires it"}
		case relays[agent.Relay]:
			return &InvalidPlanError{key + ".relay", fmt.Sprintf("%d is a duplicate", agent.Relay)}
		case addresses[agent.Address]:
			return &InvalidPlanError{key + ".address", agent.Address + " is a duplicate"}
		}
		relays[agent.Relay], addresses[agent.Address] = true, true
	}
	return nil
}

// Values of InvalidPlanError.Reason that several keys share.
const (
	missing = "is missing"
	noUnit  = "has no unit, such as \"10s\""
)

// lacksUnit reports whether a duration was written as a bare number, which TOML decodes as nanoseconds.
func lacksUnit(d Duration) bool { return d > 0 && d.AsDuration() < time.Millisecond }
