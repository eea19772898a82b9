// Package rollout updates the relays of a fleet to a new version in stages, compares the updated relays with the others
// (canary analysis), stops if they do worse, and rolls back.
//
// A Controller drives a rollout; it appends each step to a Store and has the agent of each relay, a Server, carry it out. A
// Store is owned by the controller with the latest fencing token.
//
// Guarantees:
//   - No more relays than the plan allows are updated at once, and never those of two zones.
//   - After a stop no further relay is updated; after a rollback each relay that can be reached has its old version.
//   - Each step is on disk before it is carried out, and may be repeated: a controller that crashes at any point is resumed.
//   - Agents obey only the controller with the latest fencing token.
//   - A relay that can't be reached counts as unknown, never as healthy.
package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"os"
	"time"

	"milletsail/internal/config"
)

// Duration is a duration in a plan, written with its unit, such as "10s".
type Duration = config.Duration

// Values of Plan.OnControllerFailure.
const (
	resumeOnFailure   = "resume"
	rollbackOnFailure = "rollback"
)

// Plan describes a rollout. It is read from TOML and stored in records as JSON.
type Plan struct {
	Version string `json:"Version" toml:"version"` // path of the new program
	// BakeTime is the minimum time between the last update of a stage and the start of the next stage.
	BakeTime Duration `json:"Bake" toml:"bake"`
	// MaxBakeTime is the time after the last update of a stage at which the rollout pauses if the evaluation is still inconclusive.
	MaxBakeTime Duration `json:"LongestBake" toml:"longest_bake"`
	// MaxParallel is the maximum number of relays that are updated at once.
	MaxParallel int `json:"MostInChange" toml:"most_in_change"`
	// ByZone orders the updates of a stage by zone: one zone is completed before the next one is begun.
	ByZone bool `json:"ByZone" toml:"by_zone"`
	// OnControllerFailure is "resume" or "rollback": what a controller does with a running rollout that it takes over.
	OnControllerFailure string `json:"OnDeath" toml:"on_death"`
	// AllowNoRollback allows a version that can't be rolled back, since the old version can't read its journals.
	AllowNoRollback bool    `json:"OneWay" toml:"one_way"`
	Gate            Gate    `json:"Gate" toml:"gate"`
	Stages          []Stage `json:"Stages" toml:"stage"`
	Agents          []Agent `json:"Agents" toml:"agent"`
}

// Stage gives the number of relays that have the new version at the end of a stage, by either Relays or Share; the other is 0.
type Stage struct {
	Relays int     `json:"Relays" toml:"relays"`
	Share  float64 `json:"Share" toml:"share"` // share of all relays, above 0 and at most 1; the number is rounded up
}

// Agent identifies a relay, its zone, and the address of its agent.
type Agent struct {
	Relay   int    `json:"Relay" toml:"relay"`
	Zone    string `json:"Zone" toml:"zone"`
	Address string `json:"Address" toml:"address"`
}

// Gate holds the parameters of the canary analysis.
type Gate struct {
	// FalsePositiveRate is the probability, over the whole rollout, of stopping a version that is as good as the old one.
	FalsePositiveRate float64 `json:"FalseStop" toml:"false_stop"`
	// FalseNegativeRate is the probability, in one stage, of promoting a version that is worse by ErrorRateIncrease.
	FalseNegativeRate float64 `json:"Missed" toml:"missed"`
	// ErrorRateIncrease is the increase to detect in the share of rejected or failed messages of a class.
	ErrorRateIncrease float64 `json:"WorseBy" toml:"worse_by"`
	// LatencyFactor is the increase of latency to detect, as a factor.
	LatencyFactor float64 `json:"LongerBy" toml:"longer_by"`
	// MemoryFactor is the maximum ratio of the memory of updated relays to that of the others.
	MemoryFactor float64 `json:"MemoryFactor" toml:"memory_factor"`
	// Interval is the time between two samples of the relays' metrics.
	Interval Duration `json:"Every" toml:"every"`
}

// defaults returns a plan with the default values of the keys that a plan file may omit.
func defaults() Plan {
	return Plan{
		BakeTime:            Duration(30 * time.Second),
		MaxBakeTime:         Duration(5 * time.Minute),
		MaxParallel:         4,
		ByZone:              true,
		OnControllerFailure: resumeOnFailure,
		Gate: Gate{
			FalsePositiveRate: 0.01,
			FalseNegativeRate: 0.05,
			ErrorRateIncrease: 0.1,
			LatencyFactor:     1.5,
			MemoryFactor:      2,
			Interval:          Duration(time.Second),
		},
	}
}

// DefaultPlan returns a plan with the default values and four stages: one relay, then 5%, 25% and 100% of them.
func DefaultPlan() Plan {
	p := defaults()
	p.Stages = []Stage{{Relays: 1}, {Share: 0.05}, {Share: 0.25}, {Share: 1}}
	return p
}

// ReadPlan reads a plan from a file. An unknown key or an invalid value is an error that names the key.
func ReadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePlan(path, text)
}

// ParsePlan parses a plan in TOML; name is the name of the file in errors.
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

// relaysAfter returns the number of relays that have the new version at the end of a stage; stages count from 0.
func (p *Plan) relaysAfter(stage int) int {
	if relays := p.Stages[stage].Relays; relays > 0 {
		return relays
	}
	return int(math.Ceil(p.Stages[stage].Share * float64(len(p.Agents))))
}

// Checksum returns the SHA-256 of a program in hexadecimal, which identifies its version.
func Checksum(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]), nil
}
