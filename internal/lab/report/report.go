// Package report computes the figures of a run from its history: what was served and refused, how fast, at what cost, and how
// quickly service recovered after each fault. It needs the history only.
package report

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"milletsail/internal/lab/checker"
	"milletsail/internal/lab/history"
)

const (
	// serviceStep is the resolution of the service over time.
	serviceStep = 500 * time.Millisecond
	// baselineSpan is the span before a fault that gives the baseline of its service. Service counts as recovered when it
	// reaches recoveredShare of the baseline over recoveredFor.
	baselineSpan, recoveredShare, recoveredFor = 4 * time.Second, 0.95, time.Second
	// zoneRecoveredShare is the share of a zone's earlier calls, over callWindow, at which the zone counts as recovered.
	// The missing tenth allows for random variation: about 7% in a window of 200 calls.
	zoneRecoveredShare = 0.9
)

// The outcomes of a message from the client's point of view, as reports show them.
const (
	InAim         = "in aim"
	Late          = "late"
	Refused       = "refused"
	HandedBack    = "handed back"
	Undeliverable = "undeliverable"
	Failed        = "failed"
	Unanswered    = "no answer"
	Unresolved    = "no end"
)

// Outcomes lists all outcomes in the order in which a report shows them.
var Outcomes = []string{InAim, Late, Refused, HandedBack, Undeliverable, Failed, Unanswered, Unresolved}

// Figures are the results of one run. Times are in seconds, shares from 0 to 1.
type Figures struct {
	Title    string `json:"title"`
	Seed     uint64 `json:"seed"`
	Relays   int    `json:"relays"`
	Messages int    `json:"messages"`

	Served        float64            `json:"served"`    // worth served, as a share of the worth of all messages
	Outcomes      map[string]float64 `json:"ends"`      // share of the messages, by outcome
	ByClass       map[string]float64 `json:"by_class"`  // worth served, as a share of the class's worth
	Latency       map[string]float64 `json:"latency"`   // percentiles of the time from first hand-in to delivery
	AnswerTime    map[string]float64 `json:"answer"`    // percentiles of the relays' answer times to clients
	Attempts      float64            `json:"attempts"`  // delivery attempts per message
	RejectedShare float64            `json:"turned"`    // share of the calls answered with 429 or 503
	Connections   float64            `json:"connects"`  // new connections per message
	CPU           Summary            `json:"cpu"`       // seconds per relay, summed over its processes
	MemoryMB      Summary            `json:"memory_mb"` // peak memory per relay
	DiskMB        Summary            `json:"disk_mb"`

	Faults     []FaultFigures `json:"faults"`
	Gossip     GossipFigures  `json:"notes"`
	LocalShare float64        `json:"local"` // share of the calls to the relay's own zone; 0 where relays have no zones
	// LocalPossible is the share of the calls whose destination has an endpoint in the relay's own zone.
	LocalPossible float64       `json:"local_most"`
	Overloaded    int           `json:"fell"` // number of overloads of cold endpoints
	Zones         []ZoneFigures `json:"zones"`
	// NewEndpoints are the endpoints that replaced others.
	NewEndpoints []NewEndpoint   `json:"newcomers,omitempty"`
	Service      []Point         `json:"service"`
	Verdict      checker.Verdict `json:"verdict"`
	Lab          Lab             `json:"lab"`
}

// Lab describes how punctual the lab itself was.
type Lab struct {
	Events      int     `json:"events"` // events that the lab had to do at a planned time
	Late        int     `json:"late"`
	MaxLateness float64 `json:"late_most"`
}

// GossipFigures describe the gossip between relays and how far the relays agree, in runs that share facts.
type GossipFigures struct {
	Sent           float64            `json:"sent"`     // datagrams per second over the fleet; a broadcast counts once
	Bytes          float64            `json:"bytes"`    // bytes per second that a relay sends
	Received       float64            `json:"received"` // datagrams per second addressed to a relay; dropped ones count, duplicates do not
	Views          int                `json:"views"`    // number of views that relays returned
	OldestAgeRatio map[string]float64 `json:"oldest"`   // percentiles of the oldest fact's age in a view, as a share of its bound
	Propagation    []Propagation      `json:"known"`
	FinalViews     int                `json:"last"`  // number of views taken after the traffic stopped
	FinalAgreeing  int                `json:"agree"` // number of final views with the most common digest
}

// ZoneFigures describe how the relays evacuated a zone and returned to it.
type ZoneFigures struct {
	Zone        string  `json:"zone"`
	LeftBy      int     `json:"left"`        // number of relays that evacuated it
	Evacuations int     `json:"evacuations"` // largest number of evacuations by one process
	Returns     int     `json:"returns"`     // largest number of returns by one process
	Isolated    int     `json:"cut_off"`     // number of its relays that considered themselves isolated
	FirstLeft   float64 `json:"at"`          // when the first relay was seen to have evacuated it
	// Recovery is the time from the end of the last fault in the zone until the zone gets zoneRecoveredShare of the calls that
	// it got before the first one, counted over callWindow. It is nil if the zone did not recover or had no
	// fault, or if its first fault began earlier than two windows after the start.
	Recovery *float64 `json:"back,omitempty"`
	Faulted  bool     `json:"hit"` // whether a fault affected the zone
}

// Propagation is how quickly the relays learned of a closing or an outage, counted from the first relay that knew.
type Propagation struct {
	Fact   string  `json:"what"`
	At     float64 `json:"at"`
	Relays int     `json:"relays"`
	P50    float64 `json:"p50"`
	P99    float64 `json:"p99"`
}

// Summary is the mean and the maximum of a figure over the relays.
type Summary struct {
	Mean float64 `json:"mean"`
	Max  float64 `json:"most"`
}

// Point is the service to the messages first handed in within one step of time.
type Point struct {
	At      float64 `json:"at"`
	Offered float64 `json:"asked"` // worth of the messages handed in within the step
	Served  float64 `json:"served"`
}

// FaultFigures describe the effect of one fault on the service.
type FaultFigures struct {
	Kind     string   `json:"kind"`
	At       float64  `json:"at"`
	Until    float64  `json:"until"`
	Before   float64  `json:"before"` // share of the worth served over baselineSpan before the fault
	Worst    float64  `json:"worst"`  // lowest share of the worth served in one step, from the fault until recovery
	Rejected int      `json:"turned"` // calls answered with 429 or 503 during the fault
	zone     string   // zone that the fault affects; empty if it is not about a zone
	Recovery *float64 `json:"back,omitempty"` // seconds from the fault's start until 95% of Before, at its end or later; nil without recovery
	// ServableShare is the share of the worth offered during a zone's fault whose destinations also have an endpoint outside of
	// that zone. DegradedTime is the number of seconds from the start of the fault to the end of the last one-second window in
	// which less than 95% of Before × ServableShare was served. Both are 0 for a fault that is not about a zone.
	ServableShare float64 `json:"can"`
	DegradedTime  float64 `json:"carried"`
}

// messageOutcome tracks one message over all its hand-ins.
type messageOutcome struct {
	class               string
	dest                int
	delivered, handedIn history.Micros // delivered is 0 until delivery; handedIn is the first hand-in
	outcome             string
	ids                 []string
}

// Compute computes the figures of a history and includes the checker's verdict.
func Compute(events []history.Event, v checker.Verdict) *Figures {
	facts := events[0].Parameters
	f := &Figures{Title: facts.Title, Seed: facts.Seed, Relays: facts.Relays, Verdict: v, Outcomes: map[string]float64{}, ByClass: map[string]float64{}}
	msgs, byID := map[int]*messageOutcome{}, map[string]*messageOutcome{}
	var order []*messageOutcome
	sent := map[string]history.Micros{}
	latency, answers := hdrhistogram.New(1, time.Hour.Microseconds(), 3), hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	calls := map[int][]string{}
	var attempts, nCalls, turned, connects int
	cpu, memory, disk := newUsageTracker(facts.Relays), newUsageTracker(facts.Relays), newUsageTracker(facts.Relays)
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case history.HandIn:
			m := msgs[e.Message]
			if m == nil {
				m = &messageOutcome{class: e.Class, handedIn: e.Time, dest: -1}
				if e.Dest != nil {
					m.dest = *e.Dest
				}
				msgs[e.Message] = m
				order = append(order, m)
			}
			m.ids = append(m.ids, e.ID)
			byID[e.ID] = m
			sent[e.ID] = e.Time
			m.outcome = cmp.Or(outcomeIfDelivered(m), Unresolved)
		case history.Answer:
			_ = answers.RecordValue(max(1, int64(e.Time-sent[e.ID])))
			if m := byID[e.ID]; m != nil && m.delivered == 0 {
				switch e.Status {
				case "200", "202":
				case "429", "503":
					m.outcome = Refused
				default:
					m.outcome = Failed
				}
			}
		case history.Left:
			if m := byID[e.ID]; m != nil && m.delivered == 0 {
				m.outcome = Unanswered
			}
		case history.Notice:
			if m := byID[e.ID]; m != nil && m.delivered == 0 && e.ID == m.ids[len(m.ids)-1] {
				m.outcome = HandedBack
				if e.Status == "undeliverable" {
					m.outcome = Undeliverable
				}
			}
		case history.Call:
			calls[e.Call] = e.IDs
			attempts += len(e.IDs)
			nCalls++
		case history.Reply:
			if e.Status == "429" || e.Status == "503" {
				turned++
			}
			for n, id := range calls[e.Call] {
				m := byID[id]
				if e.Status != "200" || len(e.States) > n && e.States[n] != "delivered" || m == nil || m.delivered > 0 {
					continue
				}
				m.delivered = e.Time
				m.outcome = deliveryOutcome(m, facts.Classes[m.class])
				_ = latency.RecordValue(max(1, int64(m.delivered-m.handedIn)))
			}
		case history.Connect:
			connects++
		case history.Fell:
			f.Overloaded++
		case history.Usage:
			cpu.record(*e.Relay, e.CPU)
			memory.record(*e.Relay, e.MemoryMB)
			disk.record(*e.Relay, e.DiskMB)
		case history.Late:
			f.Lab.MaxLateness = math.Max(f.Lab.MaxLateness, e.Lateness.Duration().Seconds())
		case history.End:
			f.Lab.Events, f.Lab.Late = e.TimedEvents, e.LateEvents
		}
	}
	f.Messages = len(order)
	f.computeWorth(order, facts)
	f.Latency, f.AnswerTime = percentiles(latency), percentiles(answers)
	n := math.Max(1, float64(f.Messages))
	f.Attempts, f.Connections, f.RejectedShare = float64(attempts)/n, float64(connects)/n, float64(turned)/math.Max(1, float64(nCalls))
	f.CPU, f.MemoryMB, f.DiskMB = cpu.totalSummary(), memory.peakSummary(), disk.peakSummary()
	f.computeFaults(events, order)
	f.computeGossip(events)
	f.computeZones(events)
	f.computeNewEndpoints(events)
	return f
}

// computeZones computes the share of calls within a zone, and the evacuations and recoveries of each zone.
func (f *Figures) computeZones(events []history.Event) {
	facts := events[0].Parameters
	calls, local, localPossible := 0, 0, 0
	destinationZones := map[int]map[string]bool{} // zones with an endpoint, by destination
	for _, h := range facts.Hosts {
		if destinationZones[h.Dest] == nil {
			destinationZones[h.Dest] = map[string]bool{}
		}
		destinationZones[h.Dest][h.Zone] = true
	}
	callTimes := map[string][]float64{} // times of the calls into each zone, in seconds
	all := map[string]*ZoneFigures{}
	leftBy, isolated := map[string]map[int]bool{}, map[int]bool{}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case history.Call:
			if e.Relay != nil && *e.Relay < len(facts.Zones) {
				calls++
				host := facts.Hosts[e.Host]
				callTimes[host.Zone] = append(callTimes[host.Zone], e.Time.Duration().Seconds())
				if host.Zone == facts.Zones[*e.Relay] {
					local++
				}
				if destinationZones[host.Dest][facts.Zones[*e.Relay]] {
					localPossible++
				}
			}
		case history.Zones:
			if e.Isolated && !isolated[*e.Relay] {
				isolated[*e.Relay] = true
			}
			for name, z := range e.Zones {
				if all[name] == nil {
					all[name], leftBy[name] = &ZoneFigures{Zone: name}, map[int]bool{}
				}
				if z.Evacuations > 0 {
					if len(leftBy[name]) == 0 {
						all[name].FirstLeft = e.Time.Duration().Seconds()
					}
					leftBy[name][*e.Relay] = true
				}
				all[name].Evacuations, all[name].Returns = max(all[name].Evacuations, z.Evacuations), max(all[name].Returns, z.Returns)
			}
		}
	}
	for name := range callTimes { // include zones of runs in which relays do not decide by zone
		if all[name] == nil && len(callTimes) > 1 {
			all[name] = &ZoneFigures{Zone: name}
		}
	}
	f.LocalShare, f.LocalPossible = float64(local)/math.Max(1, float64(calls)), float64(localPossible)/math.Max(1, float64(calls))
	for r := range isolated {
		if z := all[facts.Zones[r]]; z != nil {
			z.Isolated++
		}
	}
	for _, name := range sortedKeys(all) {
		all[name].LeftBy = len(leftBy[name])
		f.computeZoneRecovery(all[name], callTimes[name])
		f.Zones = append(f.Zones, *all[name])
	}
}

// rediscoveryGap separates events of the same fact: a relay that learns of it this much later than the one before has seen
// another closing or outage.
const rediscoveryGap = 5 * time.Second

// computeGossip computes the cost of gossip and how quickly and fully facts spread.
func (f *Figures) computeGossip(events []history.Event) {
	end := events[len(events)-1]
	span := math.Max(1e-9, events[0].Parameters.ArrivalsLength.Duration().Seconds())
	relays := math.Max(1, float64(f.Relays))
	n := GossipFigures{Sent: float64(end.GossipSent) / span, Bytes: float64(end.GossipBytes) / span / relays, Received: float64(end.GossipReceived) / span / relays}
	oldest := hdrhistogram.New(1, 10_000_000, 4)
	first := map[string]map[int]history.Micros{} // when each relay first knew of a fact
	digests := map[uint32]int{}
	for i := range events {
		e := &events[i]
		if e.Kind != history.View {
			continue
		}
		n.Views++
		_ = oldest.RecordValue(max(1, int64(e.OldestAgeRatio*1e6)))
		if e.Detail == history.LastView {
			n.FinalViews++
			digests[e.Digest]++
			n.FinalAgreeing = max(n.FinalAgreeing, digests[e.Digest])
		}
		for what, at := range e.KnownSince {
			if first[what] == nil {
				first[what] = map[int]history.Micros{}
			}
			if _, had := first[what][*e.Relay]; !had {
				first[what][*e.Relay] = at
			}
		}
	}
	if n.Views > 0 {
		n.OldestAgeRatio = map[string]float64{"p50": float64(oldest.ValueAtPercentile(50)) / 1e6, "p99.9": float64(oldest.ValueAtPercentile(99.9)) / 1e6, "most": float64(oldest.Max()) / 1e6}
	}
	for _, what := range sortedKeys(first) {
		var at []history.Micros
		for _, t := range first[what] {
			at = append(at, t)
		}
		slices.Sort(at)
		// Relays that learned of it after a long gap refer to a later closing of the same thing.
		for i := 1; i < len(at); i++ {
			if (at[i] - at[i-1]).Duration() > rediscoveryGap {
				at = at[:i]
			}
		}
		after := func(share float64) float64 { return (at[int(share*float64(len(at)-1))] - at[0]).Duration().Seconds() }
		n.Propagation = append(n.Propagation, Propagation{Fact: what, At: at[0].Duration().Seconds(), Relays: len(at), P50: after(0.5), P99: after(0.99)})
	}
	slices.SortFunc(n.Propagation, func(a, b Propagation) int { return cmp.Compare(b.Relays, a.Relays) })
	f.Gossip = n
}

func outcomeIfDelivered(m *messageOutcome) string {
	if m.delivered > 0 {
		return m.outcome
	}
	return ""
}

func deliveryOutcome(m *messageOutcome, c history.Class) string {
	if m.delivered-m.handedIn <= c.Target {
		return InAim
	}
	return Late
}

// worthShare returns the share of its worth that a message earns: 1 within the class's target, falling to its late share at the
// deadline, 0 later or without delivery.
func worthShare(m *messageOutcome, c history.Class) float64 {
	age := m.delivered - m.handedIn
	switch {
	case m.delivered == 0 || age > c.Deadline:
		return 0
	case age <= c.Target:
		return 1
	}
	return 1 - (1-c.LateShare)*float64(age-c.Target)/math.Max(1, float64(c.Deadline-c.Target))
}

// computeWorth sums the worth offered and served, overall, by class and by step of time.
func (f *Figures) computeWorth(order []*messageOutcome, facts *history.Parameters) {
	var asked, served float64
	byClass := map[string][2]float64{}
	steps := map[int]*Point{}
	var begun history.Micros
	if len(order) > 0 {
		begun = order[0].handedIn
	}
	for _, m := range order {
		c := facts.Classes[m.class]
		got := c.Worth * worthShare(m, c)
		asked += c.Worth
		served += got
		sum := byClass[m.class]
		byClass[m.class] = [2]float64{sum[0] + c.Worth, sum[1] + got}
		f.Outcomes[m.outcome] += 1 / float64(len(order))
		n := int((m.handedIn - begun).Duration() / serviceStep)
		if steps[n] == nil {
			steps[n] = &Point{At: (begun.Duration() + time.Duration(n)*serviceStep).Seconds()}
		}
		steps[n].Offered += c.Worth
		steps[n].Served += got
	}
	f.Served = served / math.Max(1e-9, asked)
	for class, sum := range byClass {
		f.ByClass[class] = sum[1] / math.Max(1e-9, sum[0])
	}
	for _, p := range steps {
		f.Service = append(f.Service, *p)
	}
	slices.SortFunc(f.Service, func(a, b Point) int { return cmp.Compare(a.At, b.At) })
}

// servedShare returns the share of the offered worth that was served in a span, given in seconds; ok is false if nothing was
// offered.
func (f *Figures) servedShare(from, to float64) (float64, bool) {
	var asked, served float64
	for _, p := range f.Service {
		if p.At >= from && p.At < to {
			asked, served = asked+p.Offered, served+p.Served
		}
	}
	return served / math.Max(1e-9, asked), asked > 0
}

// computeFaults computes the effect of each fault on the service.
func (f *Figures) computeFaults(events []history.Event, order []*messageOutcome) {
	for _, e := range events {
		if e.Kind != history.Fault {
			continue
		}
		x := FaultFigures{Kind: e.Detail, zone: e.Zone, At: e.Time.Duration().Seconds(), Until: max(e.EndTime, e.Time).Duration().Seconds()}
		for i := range events {
			if r := &events[i]; r.Kind == history.Reply && r.Time >= e.Time && r.Time < max(e.EndTime, e.Time) && (r.Status == "429" || r.Status == "503") {
				x.Rejected++
			}
		}
		x.Before, _ = f.servedShare(x.At-baselineSpan.Seconds(), x.At)
		x.Worst = 1
		for _, p := range f.Service {
			if p.At < x.At-serviceStep.Seconds() {
				continue
			}
			if p.Offered > 0 && x.Recovery == nil {
				x.Worst = math.Min(x.Worst, p.Served/p.Offered)
			}
			// Some faults show only at their end, so recovery counts from then on.
			if got, ok := f.servedShare(p.At, p.At+recoveredFor.Seconds()); ok && x.Recovery == nil && p.At >= x.Until && got >= recoveredShare*x.Before {
				back := math.Max(0, p.At-x.At)
				x.Recovery = &back
			}
		}
		if e.Zone != "" {
			f.computeDegraded(&x, e.Zone, order, events[0].Parameters)
		}
		f.Faults = append(f.Faults, x)
	}
}

// computeDegraded computes ServableShare and DegradedTime of a fault that affects a zone.
func (f *Figures) computeDegraded(x *FaultFigures, zone string, order []*messageOutcome, facts *history.Parameters) {
	servedElsewhere := map[int]bool{}
	for _, h := range facts.Hosts {
		servedElsewhere[h.Dest] = servedElsewhere[h.Dest] || h.Zone != zone
	}
	asked := 0.0
	for _, m := range order {
		if at := m.handedIn.Duration().Seconds(); at >= x.At && at < x.Until {
			worth := facts.Classes[m.class].Worth
			asked += worth
			if servedElsewhere[m.dest] {
				x.ServableShare += worth
			}
		}
	}
	x.ServableShare /= math.Max(1e-9, asked)
	for _, p := range f.Service {
		if p.At < x.At-serviceStep.Seconds() || p.At+recoveredFor.Seconds() > x.Until {
			continue
		}
		if got, ok := f.servedShare(p.At, p.At+recoveredFor.Seconds()); ok && got < recoveredShare*x.Before*x.ServableShare {
			x.DegradedTime = p.At + recoveredFor.Seconds() - x.At
		}
	}
}

// computeZoneRecovery sets Faulted and Recovery of a zone from the times of the calls to it. Recovery stays nil if the first
// fault began within two windows of the start, since the baseline is counted over these.
func (f *Figures) computeZoneRecovery(z *ZoneFigures, at []float64) {
	from, until := math.Inf(1), 0.0
	for i := range f.Faults {
		if x := &f.Faults[i]; x.zone == z.Zone {
			from, until = math.Min(from, x.At), math.Max(until, x.Until)
		}
	}
	z.Faulted = !math.IsInf(from, 1)
	if z.Faulted && from >= 2*callWindow.Seconds() {
		z.Recovery = timeToReach(at, zoneRecoveredShare*baselineCalls(at, from), until)
	}
}

// callWindow is the span over which calls are counted to compare their number with an earlier one.
const callWindow = 2 * time.Second

// baselineCalls returns the mean number of calls in the last two windows before a point in time.
func baselineCalls(calls []float64, until float64) float64 {
	return countWithin(calls, until-2*callWindow.Seconds(), until) / 2
}

// timeToReach returns how long after from the first complete window begins that has at least enough calls, or nil if there is
// none.
func timeToReach(calls []float64, enough, from float64) *float64 {
	for t := from; len(calls) > 0 && t+callWindow.Seconds() <= calls[len(calls)-1]; t += serviceStep.Seconds() / 2 {
		if countWithin(calls, t, t+callWindow.Seconds()) >= enough {
			after := t - from
			return &after
		}
	}
	return nil
}

// countWithin counts the times in a span; from is included, to is not.
func countWithin(times []float64, from, to float64) (n float64) {
	for _, t := range times {
		if t >= from && t < to {
			n++
		}
	}
	return n
}

func percentiles(h *hdrhistogram.Histogram) map[string]float64 {
	all := map[string]float64{}
	for _, p := range []float64{50, 90, 99, 99.9} {
		all[fmt.Sprintf("p%g", p)] = float64(h.ValueAtPercentile(p)) / 1e6
	}
	return all
}

// usageTracker tracks, per relay, a figure that starts again from a low value with each new process.
type usageTracker struct{ finished, latest, highest []float64 }

func newUsageTracker(n int) *usageTracker {
	return &usageTracker{make([]float64, n), make([]float64, n), make([]float64, n)}
}

func (p *usageTracker) record(relay int, v float64) {
	if v < p.latest[relay] {
		p.finished[relay] += p.latest[relay]
	}
	p.latest[relay] = v
	p.highest[relay] = math.Max(p.highest[relay], v)
}

// peakSummary summarizes the highest value of each relay.
func (p *usageTracker) peakSummary() (s Summary) {
	for _, v := range p.highest {
		s.Mean += v / float64(len(p.highest))
		s.Max = math.Max(s.Max, v)
	}
	return s
}

// totalSummary summarizes the sum over the processes of each relay.
func (p *usageTracker) totalSummary() (s Summary) {
	for i := range p.latest {
		v := p.finished[i] + p.latest[i]
		s.Mean += v / float64(len(p.latest))
		s.Max = math.Max(s.Max, v)
	}
	return s
}

// Text writes the figures as a table for a terminal.
func (f *Figures) Text(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	line := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	fmt.Fprintf(w, "%s (seed %d, %d relays, %d messages)\n", f.Title, f.Seed, f.Relays, f.Messages)
	line("worth served", "%.1f%%", 100*f.Served)
	var parts []string
	for _, class := range sortedKeys(f.ByClass) {
		parts = append(parts, fmt.Sprintf("%s %.1f%%", class, 100*f.ByClass[class]))
	}
	line("by class", "%s", strings.Join(parts, ", "))
	parts = nil
	for _, end := range Outcomes {
		if v, ok := f.Outcomes[end]; ok {
			parts = append(parts, fmt.Sprintf("%s %.1f%%", end, 100*v))
		}
	}
	line("messages", "%s", strings.Join(parts, ", "))
	for _, l := range []struct {
		name string
		of   map[string]float64
	}{{"delivered after", f.Latency}, {"answered after", f.AnswerTime}} {
		line(l.name, "p50 %s, p90 %s, p99 %s, p99.9 %s", seconds(l.of["p50"]), seconds(l.of["p90"]), seconds(l.of["p99"]), seconds(l.of["p99.9"]))
	}
	line("per message", "%.2f attempts, %.2f new connections; %.1f%% of the calls rejected", f.Attempts, f.Connections, 100*f.RejectedShare)
	line("per relay", "%.2f s of CPU (%.2f at most), %.0f MB (%.0f at most), %.2f MB of disk at most", f.CPU.Mean, f.CPU.Max, f.MemoryMB.Mean, f.MemoryMB.Max, f.DiskMB.Max)
	for _, x := range f.Faults {
		back := "95% of the share before not reached again"
		if x.Recovery != nil {
			back = fmt.Sprintf("95%% of the share before reached again after %s", seconds(*x.Recovery))
		}
		line(fmt.Sprintf("%s at %.1f s", x.Kind, x.At), "served %.1f%% before, %.1f%% at worst; %s; %d calls rejected", 100*x.Before, 100*x.Worst, back, x.Rejected)
		if x.zone != "" {
			line("", "%.1f%% could be served without the zone; at least 95%% of that was served after %s", 100*x.Before*x.ServableShare, seconds(x.DegradedTime))
		}
	}
	if len(f.Zones) > 0 {
		line("calls in own zone", "%.1f%% of the calls; %.1f%% have an endpoint there", 100*f.LocalShare, 100*f.LocalPossible)
	}
	for _, z := range f.Zones {
		if z.Recovery != nil {
			line("zone "+z.Zone, "calls recovered %s after the end of the fault", seconds(*z.Recovery))
		}
		if z.LeftBy > 0 || z.Isolated > 0 {
			line("zone "+z.Zone, "evacuated by %d relays, first seen at %.1f s, at most %d times by one process; returns at most %d; %d of its relays isolated", z.LeftBy, z.FirstLeft, z.Evacuations, z.Returns, z.Isolated)
		}
	}
	f.newEndpointsText(line)
	if n := f.Gossip; n.Sent > 0 {
		line("gossip", "%.1f datagrams/s sent over the fleet, %.1f bytes/s sent per relay, %.1f datagrams/s addressed to each relay", n.Sent, n.Bytes, n.Received)
	}
	if n := f.Gossip; n.Views > 0 {
		line("views", "%d, oldest fact at %.3f of its age bound (p99.9 %.3f); at the end %d of %d agree", n.Views, n.OldestAgeRatio["most"], n.OldestAgeRatio["p99.9"], n.FinalAgreeing, n.FinalViews)
		for _, k := range n.Propagation[:min(3, len(n.Propagation))] {
			line("known", "%s, first at %.1f s: known to %d relays, to half of them within %s, to 99%% within %s", k.Fact, k.At, k.Relays, seconds(k.P50), seconds(k.P99))
		}
	}
	if f.Overloaded > 0 {
		line("cold endpoints", "%d overloads", f.Overloaded)
	}
	for _, w := range f.Verdict.ColdWindows {
		line("cold", "%s: %s got %d calls in a window, %d from relays that had seen the outage; budget %.1f, threshold %.1f", w.Reading,
			w.Overloaded, w.Calls, w.FromObservers, w.Budget, w.Threshold)
	}
	line("the lab", "%d of %d timed events late, by at most %s", f.Lab.Late, f.Lab.Events, seconds(f.Lab.MaxLateness))
	line("verdict", "%s (%d accepted hand-ins with an outcome in time, %d calls)", f.Verdict.String(), f.Verdict.Messages, f.Verdict.Calls)
	return w.Flush()
}

func seconds(v float64) string {
	return time.Duration(v * float64(time.Second)).Round(100 * time.Microsecond).String()
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
