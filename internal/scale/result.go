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

// Run is the result of executing a plan.
type Run struct {
	Title    string    `json:"title"`
	Sweep    string    `json:"sweep"`
	Axis     string    `json:"axis"` // quantity that the points give, such as "relays"
	Plan     Plan      `json:"plan"`
	Begun    time.Time `json:"begun"`
	Seconds  float64   `json:"seconds"`
	Machine  Machine   `json:"machine"`
	Program  string    `json:"program"` // source revision of this program
	Relays   []Binary  `json:"relays"`  // versions that were measured
	Points   []Point   `json:"points"`
	Invalid  string    `json:"invalid,omitempty"` // reason why the results must not be used; empty for a valid run
	Complete bool      `json:"complete"`
}

// Machine describes the machine on which a run was made.
type Machine struct {
	Cores    int     `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Kernel   string  `json:"kernel"`
	Load     float64 `json:"load"` // load average over the minute before the run
}

// Binary identifies a version of the relay. Revision and Modified come from the build information of the binary and
// are empty without it.
type Binary struct {
	Label    string `json:"label"`
	Revision string `json:"revision"`
	Digest   string `json:"digest"` // hexadecimal SHA-256 of the binary
	Modified bool   `json:"modified"`
}

// Point holds the measurements of one version at one point of the sweep.
type Point struct {
	Relay   string   `json:"relay"` // label of the version of the relay
	Variant string   `json:"variant,omitempty"`
	X       int      `json:"x"`
	Failed  string   `json:"failed,omitempty"` // error that ended the measurement; empty if it is complete
	Figures []Figure `json:"figures"`
	Seconds float64  `json:"seconds"`
	Late    int      `json:"late"`     // submissions that the test bed sent later than lateThreshold after their scheduled time
	HandIns int      `json:"hand_ins"` // submissions whose scheduled time was reached
}

// Figure is one measured value. AtLeast marks it as a lower bound: the true value is higher.
type Figure struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"`
	Value   float64 `json:"value"`
	AtLeast bool    `json:"at_least,omitempty"`
}

// add appends a measured value.
func (p *Point) add(name, unit string, value float64) {
	p.Figures = append(p.Figures, Figure{Name: name, Unit: unit, Value: value})
}

// addLowerBound appends a value that is a lower bound of the true one.
func (p *Point) addLowerBound(name, unit string, value float64) {
	p.Figures = append(p.Figures, Figure{Name: name, Unit: unit, Value: value, AtLeast: true})
}

// addQuantiles appends the quantiles p50, p99 and maximum ("all") of measured times, which must be in rising order.
// The missing ones did not end within the bound and count as longer than it; quantiles among them are appended as
// lower bounds.
func (p *Point) addQuantiles(name, unit string, in func(time.Duration) float64, took []time.Duration, missing int, bound time.Duration) {
	count := len(took) + missing
	for _, quantile := range []struct {
		name  string
		share float64
	}{{"p50", 0.5}, {"p99", 0.99}, {"all", 1}} {
		at := min(count-1, int(quantile.share*float64(count)))
		switch {
		case at < 0: // no times were measured
		case at >= len(took):
			p.addLowerBound(name+" "+quantile.name, unit, in(bound))
		default:
			p.add(name+" "+quantile.name, unit, in(took[at]))
		}
	}
}

// Get returns the figure with a name, and whether there is one.
func (p *Point) Get(name string) (Figure, bool) {
	for _, f := range p.Figures {
		if f.Name == name {
			return f, true
		}
	}
	return Figure{}, false
}

// axes names the quantity that the points of each sweep give.
var axes = map[string]string{
	SweepDestinations: "destinations on the list", SweepChanges: "changes of the list a second", SweepHeld: "messages held",
	SweepRelays: "relays",
}

// describeMachine returns the properties of this machine; values that can't be read stay zero.
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

// describeBinary identifies a relay binary by its digest and its build information, as far as they can be read.
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

// Write writes the run as a JSON file in a directory, which it creates if needed, and returns the file's path. The
// file replaces an earlier one of the same run atomically.
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

// ReadRuns reads all run files in a directory. It is an error if there are none.
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
		return nil, fmt.Errorf("no result file (*.json) in %s", strings.TrimSuffix(dir, "/"))
	}
	return runs, nil
}
