package scale

import (
	"crypto/sha256"
	"debug/buildinfo"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Run is the result of a plan.
type Run struct {
	Title    string    `json:"title"`
	Sweep    string    `json:"sweep"`
	Axis     string    `json:"axis"` // what the points count
	Plan     Plan      `json:"plan"`
	Begun    time.Time `json:"begun"`
	Seconds  float64   `json:"seconds"`
	Machine  Machine   `json:"machine"`
	Program  string    `json:"program"` // revision of this program
	Relays   []Binary  `json:"relays"`  // that were measured, in turn
	Points   []Point   `json:"points"`
	Invalid  string    `json:"invalid,omitempty"` // why the run shows nothing
	Complete bool      `json:"complete"`
}

// Machine is what a run was made on.
type Machine struct {
	Cores    int     `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Kernel   string  `json:"kernel"`
	Load     float64 `json:"load"` // runnable tasks in the minute before the run
}

// Binary is a version of the relay.
type Binary struct {
	Label    string `json:"label"`
	Revision string `json:"revision"`
	Digest   string `json:"digest"` // SHA-256 of the binary
	Modified bool   `json:"modified"`
}

// Point is one measured point of one version.
type Point struct {
	Relay   string   `json:"relay"` // label of the version
	Variant string   `json:"variant,omitempty"`
	X       int      `json:"x"`
	Failed  string   `json:"failed,omitempty"` // why it could not be measured in full
	Figures []Figure `json:"figures"`
	Seconds float64  `json:"seconds"`
	Late    int      `json:"late"` // hand-ins that the test bed was late with
	HandIns int      `json:"hand_ins"`
}

// Figure is one measured value. AtLeast says that the true one is higher.
type Figure struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"`
	Value   float64 `json:"value"`
	AtLeast bool    `json:"at_least,omitempty"`
}

// add adds a figure.
func (p *Point) add(name, unit string, value float64) {
	p.Figures = append(p.Figures, Figure{Name: name, Unit: unit, Value: value})
}

// addLowerBound adds a figure whose true value is higher.
func (p *Point) addLowerBound(name, unit string, value float64) {
	p.Figures = append(p.Figures, Figure{Name: name, Unit: unit, Value: value, AtLeast: true})
}

// addQuantiles adds the quantiles of times in rising order; further ones, which did not come within a bound, count as longer.
func (p *Point) addQuantiles(name, unit string, in func(time.Duration) float64, took []time.Duration, missing int, bound time.Duration) {
	count := len(took) + missing
	for _, quantile := range []struct {
		name  string
		share float64
	}{{"p50", 0.5}, {"p99", 0.99}, {"all", 1}} {
		at := min(count-1, int(quantile.share*float64(count)))
		switch {
		case at < 0: // there is none
		case at >= len(took):
			p.addLowerBound(name+" "+quantile.name, unit, in(bound))
		default:
			p.add(name+" "+quantile.name, unit, in(took[at]))
		}
	}
}

// Get gives a figure by its name.
func (p *Point) Get(name string) (Figure, bool) {
	for _, f := range p.Figures {
		if f.Name == name {
			return f, true
		}
	}
	return Figure{}, false
}

// axes are what the points of each sweep count.
var axes = map[string]string{
	SweepDestinations: "destinations on the list", SweepChanges: "changes of the list a second", SweepHeld: "messages held",
	SweepRelays: "relays",
}

// describeMachine describes the machine.
func describeMachine() Machine {
	m := Machine{Cores: runtime.NumCPU()}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		m.MemoryMB = float64(info.Totalram) * float64(info.Unit) / megabyte
		const loadScale = 1 << 16 // SI_LOAD_SHIFT of sysinfo(2)
		m.Load = float64(info.Loads[0]) / loadScale
	}
	var name unix.Utsname
	if unix.Uname(&name) == nil {
		m.Kernel = unix.ByteSliceToString(name.Release[:])
	}
	return m
}

// describeBinary reads the version of a relay from its binary.
func describeBinary(label, path string) Binary {
	b := Binary{Label: label}
	if text, err := os.ReadFile(path); err == nil {
		b.Digest = fmt.Sprintf("%x", sha256.Sum256(text))
	}
	info, err := buildinfo.ReadFile(path)
	if err != nil {
		return b
	}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}

// Write writes a run as JSON into a folder and gives the file's name.
func (r *Run) Write(dir string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return "", err
	}
	name := filepath.Join(dir, fmt.Sprintf("%s-%s.json", r.Sweep, r.Begun.UTC().Format("20060102T150405")))
	temporary := name + ".new"
	if err := os.WriteFile(temporary, append(text, '\n'), 0o644); err != nil {
		return "", err
	}
	return name, os.Rename(temporary, name)
}

// ReadRuns reads all runs of a folder.
func ReadRuns(dir string) (runs []*Run, err error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		run := &Run{}
		if err := json.Unmarshal(text, run); err != nil {
			return nil, fmt.Errorf("%s: %w", filepath.Base(name), err)
		}
		runs = append(runs, run)
	}
	if len(runs) == 0 {
		return nil, fmt.Errorf("there is no run in %s", strings.TrimSuffix(dir, "/"))
	}
	return runs, nil
}
