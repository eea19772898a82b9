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

// Version is a relay binary with the label that it has in the result.
type Version struct {
	Label  string
	Binary string
}

// Options are the parameters of a run besides its plan.
type Options struct {
	Versions []Version // measured one after the other at each point; which is first rotates from point to point
	Out      string    // directory for the result file
	Program  string    // source revision of this program, recorded in the result
	// Self is the path of this program, which is started again for the hollow relays; only a sweep over relays needs
	// it.
	Self     string
	Progress func(line string)
}

// Run executes a plan and returns the result with the path of its file, which is rewritten after each point. If ctx
// is cancelled, Run returns the points measured so far and the error of ctx.
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

// variant is a condition under which each point is measured: for sweeps over relays the share of lost datagrams, else
// none.
type variant struct {
	name string
	loss Share
}

func (p *Plan) variants() (all []variant) {
	if p.Sweep != SweepRelays {
		return []variant{{}}
	}
	for _, loss := range p.Fleet.Loss {
		text, _ := loss.MarshalText() // MarshalText of a share does not fail
		all = append(all, variant{string(text) + " of datagrams lost", loss})
	}
	return all
}

// measurePoint measures one point of one version in a directory of its own. It returns an error if the point could
// not be set up or ctx was cancelled; a failed measurement is reported in the point.
func (p *Plan) measurePoint(ctx context.Context, x int, v variant, version Version, dir string, o Options) (Point, error) {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return Point{}, err
	}
	defer os.RemoveAll(dir)
	subnet, err := platform.AcquireSubnet()
	if err != nil {
		return Point{}, err
	}
	defer subnet.Release()
	limited, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	go enforceMemoryLimit(limited, p.allowedMB(), stop)
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
		point = measureFleet(limited, p, x, v, version.Binary, o.Self, dir, subnet, progress)
	} else {
		point = measureSingle(limited, p, x, version.Binary, dir, subnet, progress)
	}
	point.Relay, point.Variant = version.Label, v.name
	if errors.Is(context.Cause(limited), errMemory) {
		point.Failed = errMemory.Error()
	}
	return point, ctx.Err()
}

// enforceMemoryLimit cancels a point when this process and its children use more memory than allowed.
func enforceMemoryLimit(ctx context.Context, allowedMB float64, stop context.CancelCauseFunc) {
	const pollEvery = 500 * time.Millisecond
	for clock.Sleep(ctx, pollEvery) {
		if usedMB(children(os.Getpid())) > allowedMB {
			stop(errMemory)
			return
		}
	}
}

// maxLateShare is the share of late submissions at a point above which the run is invalid.
const maxLateShare = 0.01

// add appends a point, and marks the run as invalid if the test bed was late with too many submissions.
func (r *Run) add(point Point) {
	if float64(point.Late) > maxLateShare*float64(point.HandIns) {
		r.Invalid = fmt.Sprintf("the test bed sent %d of %d submissions late at point %d", point.Late, point.HandIns, point.X)
	}
	r.Points = append(r.Points, point)
	r.Seconds = time.Since(r.Begun).Seconds()
}
