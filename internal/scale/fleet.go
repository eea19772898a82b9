package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/lab/history"
	"milletsail/internal/lab/platform"
	"milletsail/internal/lab/relays"
	"milletsail/internal/lab/scenario"
	"milletsail/internal/scale/hollow"
	"milletsail/internal/scale/process"
)

const (
	// fleetZones is the number of zones over which the relays of a fleet are spread.
	fleetZones = 3
	// factInterval is the time between two shared facts; factWait is the time that is left for the last one to reach
	// all relays.
	factInterval, factWait = 250 * time.Millisecond, 5 * time.Second
)

// fleetTestBed is a fleet of real and hollow relays, connected to the lab's stand-ins of the platform.
type fleetTestBed struct {
	plan     *Plan
	x        int
	variant  variant
	platform *platform.Platform
	history  *history.Writer
	real     *relays.Fleet
	hollow   *hollowFleet
	point    Point
}

// measureFleet measures one point of a sweep over relays. An error is reported in the Failed field of the point.
func measureFleet(ctx context.Context, plan *Plan, x int, v variant, binary, self, dir string, subnet *platform.Subnet, progress func(string)) Point {
	begun := time.Now()
	b := &fleetTestBed{plan: plan, x: x, variant: v, point: Point{X: x}}
	err := b.open(ctx, binary, self, dir, subnet, progress)
	defer b.close()
	if err == nil {
		err = b.run(ctx, progress)
	}
	if err != nil {
		b.point.Failed = err.Error()
	}
	b.point.Seconds = time.Since(begun).Seconds()
	return b.point
}

// fleetScenario returns the scenario of a fleet with a minimal load, so that the cost of membership and gossip
// dominates.
func fleetScenario(seed uint64, count int) *scenario.Scenario {
	s := scenario.Default()
	s.Seed, s.Fleet.Relays, s.Fleet.ShareFacts = seed, count, true
	s.Fleet.Zones = []string{"a", "b", "c"}[:fleetZones]
	s.Classes = []scenario.Class{{Name: usualClass, Effect: "retryable", Group: "all", Target: scenario.Duration(2 * time.Second),
		Deadline: scenario.Duration(usualDeadline), Memory: scenario.Duration(15 * time.Second), Worth: 1, LateShare: 0.3, Share: 1}}
	s.Destinations = []scenario.Destination{{Count: 1, Endpoints: 1, Share: 1, Limit: "none", Service: scenario.Duration(40 * time.Millisecond),
		Workers: 16, Queue: 16, MaxBatch: 1}}
	s.Hosts = []scenario.Host{{Name: "d0-e0", Zone: "a", Destination: &s.Destinations[0]}}
	return &s
}

// open starts the stand-ins, the hollow relays and the real relays, and waits until all are ready.
func (b *fleetTestBed) open(ctx context.Context, binary, self, dir string, subnet *platform.Subnet, progress func(string)) error {
	s := fleetScenario(b.plan.Seed, b.x)
	file, err := os.Create(filepath.Join(dir, "history.jsonl"))
	if err != nil {
		return err
	}
	b.history = history.NewWriter(file, time.Now())
	if b.platform, err = platform.New(s, b.history, subnet); err != nil {
		return fmt.Errorf("start the stand-ins: %w", err)
	}
	for relay := range b.x {
		b.platform.ImpairDatagrams(relay, b.variant.loss.Part(), 0)
	}
	progress("start")
	real := min(b.plan.Fleet.Real, b.x-1)
	if b.hollow, err = startHollow(ctx, self, dir, real, b.x, fleetZones, b.plan.Seed, subnet); err != nil {
		return err
	}
	if b.real, err = relays.New(s, b.history, b.platform, subnet, binary, dir, nil); err != nil {
		return err
	}
	b.real.Relays = b.real.Relays[:real]
	begun := time.Now()
	err = b.real.Start(ctx)
	b.point.add("real relays to ready", "s", time.Since(begun).Seconds())
	return err
}

func (b *fleetTestBed) close() {
	if b.real != nil {
		b.real.Stop()
	}
	if b.hollow != nil {
		b.hollow.close()
	}
	if b.platform != nil {
		b.platform.Close()
	}
	if b.history != nil {
		_ = b.history.Close()
	}
}

// run measures the cost of an idle fleet, then how fast facts spread, then how fast a dead relay is detected.
func (b *fleetTestBed) run(ctx context.Context, progress func(string)) error {
	clock.Sleep(ctx, b.plan.Phases.Settle.D())
	progress("at rest")
	if err := b.measureIdle(ctx); err != nil {
		return err
	}
	progress("facts")
	if err := b.measureFactSpread(ctx); err != nil {
		return err
	}
	progress("a dead relay")
	return b.measureFailureDetection(ctx)
}

// fleetReading is the resource usage and traffic of a fleet at one time, as totals over its relays.
type fleetReading struct {
	at                 time.Time
	hollowCPU, realCPU time.Duration
	hollowMB, realMB   float64
	traffic            hollow.Traffic
	sent, sentBytes    int
}

func (b *fleetTestBed) read(ctx context.Context) (r fleetReading, err error) {
	if r.traffic, err = b.hollow.count(ctx); err != nil {
		return r, err
	}
	if r.hollowCPU, r.hollowMB, err = b.hollow.usage(); err != nil {
		return r, err
	}
	for _, relay := range b.real.Relays {
		usage, err := process.UsageOf(relay.PID())
		if err != nil {
			return r, fmt.Errorf("read the usage of relay %d: %w", relay.No, err)
		}
		r.realCPU, r.realMB = r.realCPU+usage.CPU, r.realMB+usage.ResidentMB
	}
	r.at = time.Now()
	r.sent, r.sentBytes, _ = b.platform.DatagramCounts()
	return r, nil
}

// measureIdle measures the resources that relays use for membership and gossip while no facts are shared.
func (b *fleetTestBed) measureIdle(ctx context.Context) error {
	before, err := b.read(ctx)
	if err != nil {
		return err
	}
	if !clock.Sleep(ctx, b.plan.Fleet.Measure.D()) {
		return ctx.Err()
	}
	after, err := b.read(ctx)
	if err != nil {
		return err
	}
	seconds, hollows, reals := after.at.Sub(before.at).Seconds(), float64(b.hollow.relays()), float64(len(b.real.Relays))
	const percent, kilobytes = 100, 1024
	b.point.add("hollow relay processor", "% of a core", percent*(after.hollowCPU-before.hollowCPU).Seconds()/seconds/hollows)
	b.point.add("hollow relay resident", "kB", kilobytes*after.hollowMB/hollows)
	if reals > 0 {
		b.point.add("real relay processor", "% of a core", percent*(after.realCPU-before.realCPU).Seconds()/seconds/reals)
		b.point.add("real relay resident", "MB", after.realMB/reals)
	}
	// "a relay" in the following names means "for each relay": bytes and datagrams sent are averages over all relays,
	// those received over the hollow relays.
	b.point.add("sent a relay", "B/s", float64(after.sentBytes-before.sentBytes)/seconds/float64(b.x))
	b.point.add("datagrams sent a relay", "1/s", float64(after.sent-before.sent)/seconds/float64(b.x))
	b.point.add("received a relay", "B/s", float64(after.traffic.ReceivedBytes-before.traffic.ReceivedBytes)/seconds/hollows)
	b.point.add("datagrams received a relay", "1/s", float64(after.traffic.Received-before.traffic.Received)/seconds/hollows)
	return nil
}

// measureFactSpread shares facts one after the other and measures the time until each reaches the hollow relays.
func (b *fleetTestBed) measureFactSpread(ctx context.Context) error {
	random := generator(b.plan.Seed, 3)
	first, hollows := len(b.real.Relays), b.hollow.relays()
	shared := map[string]time.Time{}
	var took []time.Duration
	collect := func(span time.Duration) {
		limited, cancel := context.WithTimeout(ctx, span)
		defer cancel()
		for len(took) < b.plan.Fleet.Facts*hollows {
			e, err := b.hollow.await(limited, hollow.Learned)
			if err != nil {
				return
			}
			if since, known := shared[e.Key]; known {
				took = append(took, max(0, time.Unix(0, e.At).Sub(since)))
			}
		}
	}
	for fact := range b.plan.Fleet.Facts {
		key := strconv.Itoa(1000 + fact)
		shared[key] = time.Now()
		if err := b.hollow.broadcast(hollow.Command{Do: hollow.Share, Relay: first + random.IntN(hollows), Key: key}); err != nil {
			return err
		}
		collect(factInterval)
	}
	collect(factWait)
	if err := ctx.Err(); err != nil {
		return err
	}
	slices.Sort(took)
	missing := b.plan.Fleet.Facts*hollows - len(took)
	// The figure "fact in force" is the time from sharing a fact until each hollow relay first knows it.
	b.point.addQuantiles("fact in force", "ms", milliseconds, took, missing, factWait)
	b.point.add("facts that did not arrive", "% of deliveries", 100*float64(missing)/float64(b.plan.Fleet.Facts*hollows))
	return nil
}

// measureFailureDetection stops a hollow relay and measures the time until each other hollow relay drops it.
func (b *fleetTestBed) measureFailureDetection(ctx context.Context) error {
	stopped := b.x - 1
	if err := errors.Join(b.hollow.broadcast(hollow.Command{Do: hollow.Watch, Relay: stopped}), b.hollow.broadcast(hollow.Command{Do: hollow.Stop, Relay: stopped})); err != nil {
		return err
	}
	died := time.Now()
	limited, cancel := context.WithTimeout(ctx, b.plan.Fleet.DeadWait.D())
	defer cancel()
	others := b.hollow.relays() - 1
	var took []time.Duration
	for len(took) < others {
		e, err := b.hollow.await(limited, hollow.Dropped)
		if err != nil {
			break
		}
		took = append(took, time.Unix(0, e.At).Sub(died))
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	slices.Sort(took)
	b.point.addQuantiles("dead relay dropped", "s", time.Duration.Seconds, took, others-len(took), b.plan.Fleet.DeadWait.D())
	return nil
}
