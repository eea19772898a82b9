package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/lab/platform"
)

// Version is a binary of the relay under a label.
type Version struct {
	Label  string
	Binary string
}

// Options are what a run needs beside its plan.
type Options struct {
	Versions []Version // measured in turn at each point; the one that begins changes from point to point
	Out      string    // folder that the result is written to
	Program  string    // revision of this program
	// Self is this program, which runs hollow relays by its command; empty for the program that runs.
	Self     string
	Progress func(line string)
}

// Run runs a plan. The result holds the points that were measured, also where the run was broken off by ctx, which the
// error then says; it is written after each point.
func (p *Plan) Run(ctx context.Context, o Options) (run *Run, file string, err error) {
	if err := p.checkRoom(); err != nil {
		return nil, "", err
	}
	dir, err := os.MkdirTemp("", "milletsail-scale-")
	if err != nil {
		return nil, "", err
	}
	defer os.RemoveAll(dir)
	run = &Run{Title: p.Title, Sweep: p.Sweep, Axis: axes[p.Sweep], Plan: *p, Begun: time.Now(), Machine: describeMachine(), Program: o.Program}
	for _, version := range o.Versions {
		run.Relays = append(run.Relays, describeBinary(version.Label, version.Binary))
	}
	for i, x := range p.Points {
		for _, variant := range p.variants() {
			for j := range o.Versions {
				version := o.Versions[(i+j)%len(o.Versions)]
				point, err := p.measurePoint(ctx, x, variant, version, filepath.Join(dir, fmt.Sprint(len(run.Points))), o)
				if err != nil {
					return run, file, err
				}
				run.add(point)
				if file, err = run.Write(o.Out); err != nil {
					return run, "", err
				}
			}
		}
	}
	run.Complete = true
	file, err = run.Write(o.Out)
	return run, file, err
}

// variant is a second condition that each point is measured under.
type variant struct {
	name string
	loss Share
}

func (p *Plan) variants() (all []variant) {
	if p.Sweep != SweepRelays {
		return []variant{{}}
	}
	for _, loss := range p.Fleet.Loss {
		text, _ := loss.MarshalText() // a number always has a text
		all = append(all, variant{string(text) + " of datagrams lost", loss})
	}
	return all
}

// measurePoint measures one point of one version in a folder of its own. An error says that the run was broken off.
func (p *Plan) measurePoint(ctx context.Context, x int, v variant, version Version, dir string, o Options) (Point, error) {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return Point{}, err
	}
	defer os.RemoveAll(dir)
	subnet, err := platform.TakeSubnet()
	if err != nil {
		return Point{}, err
	}
	defer subnet.Release()
	guarded, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	go enforceMemoryLimit(guarded, p.allowedMB(), stop)
	begun := time.Now()
	progress := func(step string) {
		if o.Progress != nil {
			at := fmt.Sprintf("%d %s", x, axes[p.Sweep])
			if v.name != "" {
				at += ", " + v.name
			}
			o.Progress(fmt.Sprintf("%s, relay %s: %s (%.0f s)", at, version.Label, step, time.Since(begun).Seconds()))
		}
	}
	var point Point
	if p.Sweep == SweepRelays {
		point = measureFleet(guarded, p, x, v, version.Binary, o.Self, dir, subnet, progress)
	} else {
		point = measureSingle(guarded, p, x, version.Binary, dir, subnet, progress)
	}
	point.Relay, point.Variant = version.Label, v.name
	if errors.Is(context.Cause(guarded), errMemory) {
		point.Failed = errMemory.Error()
	}
	return point, ctx.Err()
}

// enforceMemoryLimit ends a point that uses too much memory.
func enforceMemoryLimit(ctx context.Context, allowedMB float64, stop context.CancelCauseFunc) {
	const lookEvery = 500 * time.Millisecond
	for clock.Sleep(ctx, lookEvery) {
		if usedMB(children(os.Getpid())) > allowedMB {
			stop(errMemory)
			return
		}
	}
}

// maxLateShare of the hand-ins of a point may be late before the run shows nothing.
const maxLateShare = 0.01

// add adds a point, and marks the run where the test bed was late in it.
func (r *Run) add(point Point) {
	if float64(point.Late) > maxLateShare*float64(point.HandIns) {
		r.Invalid = fmt.Sprintf("the test bed was late with %d of %d hand-ins at %d", point.Late, point.HandIns, point.X)
	}
	r.Points = append(r.Points, point)
	r.Seconds = time.Since(r.Begun).Seconds()
}
