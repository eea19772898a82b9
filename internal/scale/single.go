package scale

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/lab/platform"
	"milletsail/internal/scale/process"
	"milletsail/internal/scale/standin"
)

// sizeAt returns the load of a point: that of the plan, with the swept dimension set to x.
func (p *Plan) sizeAt(x int) size {
	s := size{destinations: p.Load.Destinations, changes: p.Load.Changes.PerSecond(), messages: p.Load.Messages.PerSecond(), held: p.Load.Held}
	switch p.Sweep {
	case SweepDestinations:
		s.destinations = x
	case SweepChanges:
		s.changes = float64(x)
	case SweepHeld:
		s.held = x
	}
	return s
}

// reading is the resource usage of the relay and its traffic with the stand-ins at one time, as totals.
type reading struct {
	usage   process.Usage
	control standin.Traffic
	calls   standin.Traffic
}

func (b *testBed) read() (r reading, err error) {
	r.usage, err = b.relay.Usage()
	r.control, r.calls = b.discovery.Control(), b.endpoints.Traffic()
	return r, err
}

// phase is the resource usage of a relay during one phase.
type phase struct {
	span    time.Duration
	cpu     float64 // average CPU use, in cores
	storage int64   // bytes written to storage
	written int64   // bytes passed to write calls, without traffic to the stand-ins
	calls   int64   // write calls
	state   int64   // growth of the state directory in bytes
	control standin.Traffic
	changes int
}

// measure runs a function and returns the resource usage of the relay meanwhile. The function returns how many
// changes of the list it made.
func (b *testBed) measure(ctx context.Context, run func() (changes int, err error)) (phase, error) {
	before, err := b.read()
	if err != nil {
		return phase{}, err
	}
	changes, err := run()
	if err != nil {
		return phase{}, err
	}
	if err := ctx.Err(); err != nil {
		return phase{}, err
	}
	after, err := b.read()
	if err != nil {
		return phase{}, err
	}
	p := phase{span: after.usage.At.Sub(before.usage.At), control: after.control.Minus(before.control), changes: changes,
		storage: after.usage.StorageBytes - before.usage.StorageBytes, calls: after.usage.WriteCalls - before.usage.WriteCalls,
		state: after.usage.StateBytes - before.usage.StateBytes}
	p.cpu = (after.usage.CPU - before.usage.CPU).Seconds() / p.span.Seconds()
	p.written = after.usage.WrittenBytes - before.usage.WrittenBytes - p.control.Sent - after.calls.Minus(before.calls).Sent
	return p, nil
}

// single measures one point of a sweep over one relay.
type single struct {
	*testBed
	point Point
	draw  func() int // returns a random destination for a message of the usual class
}

// measureSingle measures one point of a sweep over one relay. An error is reported in the Failed field of the point.
func measureSingle(ctx context.Context, plan *Plan, x int, binary, dir string, subnet *platform.Subnet, progress func(string)) Point {
	m := &single{point: Point{X: x}}
	begun := time.Now()
	b, err := newTestBed(plan, plan.sizeAt(x), binary, dir, subnet)
	if err == nil {
		m.testBed = b
		defer b.close()
		err = m.run(ctx, progress)
		m.point.HandIns, m.point.Late = int(b.clients.scheduled.Load()), int(b.clients.late.Load())
	}
	if err != nil {
		m.point.Failed = err.Error()
	}
	m.point.Seconds = time.Since(begun).Seconds()
	return m.point
}

// run measures the phases of a point in turn.
func (m *single) run(ctx context.Context, progress func(string)) error {
	random := generator(m.plan.Seed, 1)
	usual := m.size.destinations - reservedEntries
	if m.size.held > 0 {
		usual -= heldDestinations
	}
	m.draw = func() int { return reservedEntries + random.IntN(usual) }
	progress("start")
	if err := m.measureStart(ctx); err != nil {
		return err
	}
	if m.size.held > 0 {
		progress("fill")
		if err := m.measureFill(ctx); err != nil {
			return err
		}
	}
	clock.Sleep(ctx, m.plan.Phases.Settle.D())
	if err := m.measurePhases(ctx, progress); err != nil {
		return err
	}
	progress("in force")
	if err := m.measureInForce(ctx); err != nil {
		return err
	}
	if err := m.addMemory("end"); err != nil {
		return err
	}
	m.addMessages()
	if m.plan.Relay.Restart {
		progress("restart")
		return m.measureRestart(ctx)
	}
	return nil
}

func (m *single) measureStart(ctx context.Context) error {
	s, err := m.start(ctx)
	if s.ready > 0 {
		m.point.add("start to ready", "s", s.ready.Seconds())
	}
	if err != nil {
		return err
	}
	m.point.add("start to list in force", "s", s.list.Seconds())
	m.point.add("start processor time", "s", s.usage.CPU.Seconds())
	m.point.add("start control received", "B", float64(m.discovery.Control().Received))
	return nil
}

// measureFill submits the messages that the relay has to hold, and fails if it then holds less than 99% of them.
func (m *single) measureFill(ctx context.Context) error {
	heldClients := newClients(m.subnet.Clients(0), heldClass, uint64(time.Now().UnixNano()))
	defer heldClients.close()
	random := generator(m.plan.Seed, 2)
	first := m.size.destinations - heldDestinations
	took := heldClients.sendUntilAccepted(ctx, m.size.held, m.plan.Relay.Fill.D(), heldDeadline, func() int { return first + random.IntN(heldDestinations) })
	if err := ctx.Err(); err != nil {
		return err
	}
	pending, err := m.counter(pendingCounter)
	if err != nil {
		return err
	}
	m.point.add("messages held", "messages", pending)
	m.point.add("fill", "s", took.Seconds())
	const minFilledShare = 0.99
	if pending < minFilledShare*float64(m.size.held) {
		return fmt.Errorf("the relay holds %.0f of %d messages after %.0f s: %d were refused and %d got no response", pending, m.size.held,
			took.Seconds(), heldClients.refused.Load(), heldClients.failed.Load())
	}
	return nil
}

// measurePhases measures the cost of control, the cost of messages, and whether the two add up to the cost of both
// together.
func (m *single) measurePhases(ctx context.Context, progress func(string)) error {
	phases := m.plan.Phases
	progress("idle")
	idle, err := m.measure(ctx, func() (int, error) { clock.Sleep(ctx, phases.Idle.D()); return 0, nil })
	if err != nil {
		return err
	}
	if err := m.addMemory("idle"); err != nil {
		return err
	}
	progress("changes")
	changes, err := m.measure(ctx, func() (int, error) {
		all, err := m.changeAtRate(ctx, m.size.changes, phases.Changes.D())
		return len(all), err
	})
	if err != nil {
		return err
	}
	if !m.awaitAllChanges(ctx) {
		m.point.add("changes not taken in after the phase", "s", catchUpTimeout.Seconds())
	}
	progress("messages")
	var withoutChanges, withChanges *responseTimes
	messages, err := m.measure(ctx, func() (int, error) {
		withoutChanges = m.clients.sendAtRate(ctx, m.size.messages, phases.Messages.D(), usualDeadline, m.draw)
		return 0, nil
	})
	if err != nil {
		return err
	}
	progress("messages and changes")
	both, err := m.measure(ctx, func() (int, error) {
		done := make(chan *responseTimes)
		go func() { done <- m.clients.sendAtRate(ctx, m.size.messages, phases.Both.D(), usualDeadline, m.draw) }()
		all, err := m.changeAtRate(ctx, m.size.changes, phases.Both.D())
		withChanges = <-done
		return len(all), err
	})
	if err != nil {
		return err
	}
	if !m.awaitAllChanges(ctx) {
		m.point.add("changes not taken in after both", "s", catchUpTimeout.Seconds())
	}
	m.addCPU(idle, changes, messages, both)
	m.addChanges(idle, changes)
	m.addResponseTimes("messages", withoutChanges)
	m.addResponseTimes("both", withChanges)
	m.point.add("stall by changes p99", "ms", responseMS(withChanges, 99)-responseMS(withoutChanges, 99))
	m.point.add("stall by changes max", "ms", responseMS(withChanges, 100)-responseMS(withoutChanges, 100))
	return nil
}

// addCPU adds the CPU use of control and of messages, and the difference between that of both together and the sum of
// the parts.
func (m *single) addCPU(idle, changes, messages, both phase) {
	const percent = 100
	m.point.add("idle processor", "% of a core", percent*idle.cpu)
	m.point.add("control processor", "% of a core", percent*changes.cpu)
	m.point.add("messages processor", "% of a core", percent*(messages.cpu-idle.cpu))
	m.point.add("whole processor", "% of a core", percent*both.cpu)
	m.point.add("split deviation", "% of a core", percent*(both.cpu-changes.cpu-(messages.cpu-idle.cpu)))
}

// addChanges adds the cost of changes of the list, per change and per second. The figures "control received"
// and "control sent" are the bytes that the relay receives from discovery and sends to it, without notifications.
func (m *single) addChanges(idle, changes phase) {
	seconds := changes.span.Seconds()
	m.point.add("control received", "B/s", float64(changes.control.Received)/seconds)
	m.point.add("control sent", "B/s", float64(changes.control.Sent)/seconds)
	m.point.add("idle control received", "B/s", float64(idle.control.Received)/idle.span.Seconds())
	if changes.changes == 0 {
		return
	}
	each := func(value int64) float64 { return float64(value) / float64(changes.changes) }
	m.point.add("processor a change", "ms", 1000*(changes.cpu-idle.cpu)*seconds/float64(changes.changes))
	m.point.add("bytes written a change", "B", each(changes.written))
	m.point.add("bytes to storage a change", "B", each(changes.storage))
	m.point.add("write calls a change", "calls", each(changes.calls))
	m.point.add("folder growth a change", "B", each(changes.state))
}

// responseMS returns a percentile of the response times in milliseconds.
func responseMS(a *responseTimes, percentile float64) float64 {
	const microsecondsOfMillisecond = 1000
	return float64(a.histogram.ValueAtPercentile(percentile)) / microsecondsOfMillisecond
}

// addResponseTimes adds the response times of submitted messages, measured from their scheduled time. Figures' names
// call a response time "answer".
func (m *single) addResponseTimes(name string, a *responseTimes) {
	m.point.add("answer "+name+" p50", "ms", responseMS(a, 50))
	m.point.add("answer "+name+" p99", "ms", responseMS(a, 99))
	m.point.add("answer "+name+" max", "ms", responseMS(a, 100))
	m.point.add("answer "+name+" over 400 ms", "messages", float64(a.unanswered))
}

// addMemory adds the relay's memory and the size of its state directory; when is part of the figures' names, and
// "folder" in them is the state directory.
func (m *single) addMemory(when string) error {
	usage, err := m.relay.Usage()
	if err != nil {
		return err
	}
	m.point.add("resident "+when, "MB", usage.ResidentMB)
	m.point.add("live heap "+when, "MB", usage.LiveHeapMB)
	m.point.add("folder "+when, "B", float64(usage.StateBytes))
	return nil
}

// measureInForce measures the time until the relay's counter reflects each change of the list.
func (m *single) measureInForce(ctx context.Context) error {
	watching, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan []counterSample)
	go func() { done <- m.sampleListCount(watching) }()
	changes, err := m.changeAtRate(ctx, m.size.changes, m.plan.Phases.InForce.D())
	if err == nil {
		limited, cancel := context.WithTimeout(ctx, catchUpTimeout)
		m.awaitListCount(limited)
		cancel()
		clock.Sleep(ctx, 4*pollInterval)
	}
	stop()
	samples := <-done
	if err != nil || len(changes) == 0 {
		return err
	}
	took, missing := timesToEffect(changes, samples)
	if missing > 0 && m.awaitAllChanges(ctx) { // all changes are in effect now
		for _, c := range changes[len(changes)-missing:] {
			took = append(took, time.Since(c.at))
		}
		slices.Sort(took)
		missing = 0
	}
	m.point.addQuantiles("in force", "ms", milliseconds, took, missing, catchUpTimeout)
	return ctx.Err()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// addMessages adds the outcomes of the messages of the usual class.
func (m *single) addMessages() {
	m.point.add("usual messages accepted", "messages", float64(m.clients.accepted.Load()))
	m.point.add("usual messages refused", "messages", float64(m.clients.refused.Load()))
	m.point.add("usual messages without an answer", "messages", float64(m.clients.failed.Load()))
	m.point.add("calls delivered", "calls", float64(m.endpoints.Delivered()))
	m.point.add("notices", "messages", float64(m.discovery.Notices()))
}

// missedChanges is the number of changes of the list that are made while the relay is down for its restart.
const missedChanges = 16

// measureRestart stops the relay, changes the list and starts the relay again with the same state directory.
func (m *single) measureRestart(ctx context.Context) error {
	m.relay.End(syscall.SIGTERM, stopTimeout)
	for range missedChanges {
		if _, err := m.toggleNextEntry(); err != nil {
			return err
		}
	}
	before, whole := m.discovery.Control(), m.discovery.WholeLists()
	s, err := m.start(ctx)
	if err != nil {
		return fmt.Errorf("restart the relay: %w", err)
	}
	m.point.add("restart to ready", "s", s.ready.Seconds())
	m.point.add("restart to list in force", "s", s.list.Seconds())
	m.point.add("restart processor time", "s", s.usage.CPU.Seconds())
	m.point.add("restart control received", "B", float64(m.discovery.Control().Minus(before).Received))
	m.point.add("restart whole lists", "lists", float64(m.discovery.WholeLists()-whole))
	return m.addMemory("restart")
}
