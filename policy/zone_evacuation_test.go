package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// zonedRelay simulates one relay and the destinations that it calls. Each destination has one endpoint in
// each zone, whose ID is the number of the destination, "-" and the number of the zone.
type zonedRelay struct {
	*testing.T
	d            *Dispatcher
	now          time.Duration
	arrivals     int                                     // messages that have arrived
	outcome      func(ep string, dest, zone int) Outcome // outcome of a call
	sent         map[string]int                          // calls by zone number, and their total as "all"
	zoneChanges  []string                                // state changes of zones, in order
	ownEjections int                                     // ejections that are not second-hand
	pending      []pendingOutcome                        // outcomes of calls in flight
	rng          *rand.Rand
}

// pendingOutcome is an event that a simulation delivers at a later time: the outcome of an attempt or, in
// canaryFleet, a gossip message, which travels as AttemptEnded with an empty ID and the message in Endpoint.
type pendingOutcome struct {
	at    time.Duration
	ended AttemptEnded
}

// newZonedRelay returns a relay with the given numbers of zones and destinations, at which all calls succeed.
func newZonedRelay(t *testing.T, zones, dests int, change func(*Settings)) *zonedRelay {
	t.Helper()
	s := basicSettings()
	s.Zones, s.Slots, s.QueueCapacity, s.SlowStartWindow, s.SlowStartInitialShare = true, 60, 1000,
		4*time.Second, 0.5
	s.Classes = s.Classes[:1]
	if change != nil {
		change(&s)
	}
	var eps []Endpoint
	for dest := range dests {
		for zone := range zones {
			eps = append(eps, Endpoint{ID: fmt.Sprintf("%d-%d", dest, zone), Destination: dest, Zone: zone})
		}
	}
	return &zonedRelay{T: t, d: start(t, s, eps...), sent: map[string]int{}, rng: rand.New(rand.NewPCG(1, 1)),
		outcome: func(string, int, int) Outcome { return OK }}
}

// run simulates until the given time. 100 messages a second arrive, for all destinations in turn, and each
// call ends after 30 to 40 ms.
func (z *zonedRelay) run(until time.Duration) {
	for ; z.now < until; z.now += 5 * ms {
		var events []Event
		for len(z.pending) > 0 && z.pending[0].at <= z.now {
			events = append(events, z.pending[0].ended)
			z.pending = z.pending[1:]
		}
		if z.now%(10*ms) == 0 {
			z.arrivals++
			events = append(events,
				Arrived{ID: fmt.Sprint(z.arrivals), Destination: z.arrivals % len(z.d.destinations),
					TimeLeft: 5 * time.Second})
		}
		for _, a := range z.d.Handle(moment(z.now), append(events, TimerFired{})) {
			switch a := a.(type) {
			case Send:
				var dest, zone int
				if _, err := fmt.Sscanf(a.Endpoint, "%d-%d", &dest, &zone); err != nil {
					z.Fatal(err)
				}
				z.sent[fmt.Sprint(zone)]++
				z.sent["all"]++
				e := AttemptEnded{ID: a.ID, Endpoint: a.Endpoint,
					Attempt: len(z.d.messages.byID[a.ID].attempts) - 1,
					Outcome: z.outcome(a.Endpoint, dest, zone)}
				e.Completed = e.Outcome == OK
				z.pending = append(z.pending,
					pendingOutcome{z.now + 30*ms + time.Duration(z.rng.IntN(10))*ms, e})
				slices.SortStableFunc(z.pending, func(a, b pendingOutcome) int { return int(a.at - b.at) })
			case ZoneStateChanged:
				z.zoneChanges = append(z.zoneChanges, fmt.Sprintf("%d %v", a.Zone, a.State))
			case PersistHealth:
				if a.Ejected && !a.SecondHand {
					z.ownEjections++
				}
			}
		}
	}
}

func (z *zonedRelay) state(number int) ZoneState { return z.d.zones.get(number).state }

// Guards against messages that wait while the endpoints of a failed zone are ejected one by one: the zone has
// to be evacuated as a whole, and to recover once after the failure ends.
func TestZoneEvacuation(t *testing.T) {
	z := newZonedRelay(t, 4, 8, func(s *Settings) { s.Zone = 3 })
	down := false
	z.outcome = func(_ string, _, zone int) Outcome {
		if zone == 1 && down {
			return ConnectError
		}
		return OK
	}
	for _, ep := range z.d.endpoints { // without spillover, all calls would stay in the own zone
		ep.queue.locality.spillover = maxSpillover
	}
	z.run(2 * time.Second)
	down = true
	z.run(4 * time.Second)
	if got := strings.Join(z.zoneChanges, ", "); got != "1 evacuated" {
		t.Fatalf("zone state changes after zone 1 failed: got %s, want only that it was evacuated", got)
	}
	before := z.sent["1"]
	z.run(9 * time.Second)
	if z.sent["1"]-before > 60 {
		t.Errorf("%d calls in 5 s to an evacuated zone, want at most 60 probes", z.sent["1"]-before)
	}
	down = false
	z.run(22 * time.Second)
	if got := strings.Join(z.zoneChanges, ", "); got != "1 evacuated, 1 returning, 1 serving" {
		t.Errorf("zone state changes after zone 1 works again: got %s; want it evacuated, returning and "+
			"serving", got)
	}
	all, _ := z.d.Zones()
	if all[1].Evacuations != 1 || all[1].Recoveries != 1 || all[1].Endpoints != 8 {
		t.Errorf("status of zone 1: %+v, want one evacuation, one recovery and 8 endpoints", all[1])
	}
}

// Guards against a zone that fails and works again every 5 s and is evacuated and restored each time.
func TestFlappingZone(t *testing.T) {
	z := newZonedRelay(t, 4, 8, func(s *Settings) { s.SlowStartWindow = 8 * time.Second })
	z.outcome = func(_ string, _, zone int) Outcome {
		if zone == 1 && z.now/(5*time.Second)%2 == 1 {
			return ConnectError
		}
		return OK
	}
	for _, ep := range z.d.endpoints {
		ep.queue.locality.spillover = 0.5
	}
	for z.now < 35*time.Second {
		for _, q := range z.d.queues { // half of the calls always leave the own zone
			q.locality.spillover = 0.5
		}
		z.run(z.now + 100*ms)
	}
	all, _ := z.d.Zones()
	if all[1].Evacuations != 1 || all[1].Recoveries > 1 {
		t.Errorf("zone status %+v, state changes %v; want one evacuation and at most one recovery", all[1],
			z.zoneChanges)
	}
}

// Guards against the evacuation of zones for failures that have another cause: a destination or a few
// endpoints that are down, failures in all zones, rejections, or a relay that is isolated. An isolated relay
// must not record the other zones' failures as its own observations.
func TestNoFalseEvacuation(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome func(dest, zone, n int) Outcome
	}{
		{"one destination down",
			func(dest, _, _ int) Outcome { return []Outcome{ConnectError, OK}[min(1, dest)] }},
		{"two endpoints down", func(dest, zone, _ int) Outcome {
			return []Outcome{ConnectError, OK}[min(1, dest/2+2*max(zone-1, 1-zone))]
		}},
		{"a third of all calls fails", func(_, _, n int) Outcome { return []Outcome{Reset, OK, OK}[n%3] }},
		{"all calls fail", func(_, _, _ int) Outcome { return Reset }},
		{"rejections in one zone",
			func(_, zone, n int) Outcome { return []Outcome{OK, Rejected, OK}[zone%2*(n%3)] }},
		{"relay isolated", func(_, zone, _ int) Outcome { return []Outcome{OK, ConnectError}[min(1, zone)] }},
	} {
		z := newZonedRelay(t, 3, 8, nil)
		z.run(2 * time.Second)
		z.outcome = func(_ string, dest, zone int) Outcome { return c.outcome(dest, zone, z.rng.IntN(1000)) }
		everIsolated := false
		for z.now < 12*time.Second {
			for _, q := range z.d.queues {
				q.locality.spillover = 0.7
			}
			z.run(z.now + 100*ms)
			_, isolated := z.d.Zones()
			everIsolated = everIsolated || isolated
		}
		if len(z.zoneChanges) > 0 {
			t.Errorf("%s: zone state changes %v, want none", c.name, z.zoneChanges)
		}
		if want := c.name == "relay isolated" || c.name == "all calls fail"; everIsolated != want &&
			c.name != "a third of all calls fails" {
			t.Errorf("%s: relay counts as isolated: %v, want the opposite", c.name, everIsolated)
		}
		// A few ejections come before enough calls have failed to detect the isolation.
		if c.name == "relay isolated" && z.ownEjections > 4 {
			t.Errorf("%s: %d ejections recorded as own observations, want at most 4", c.name, z.ownEjections)
		}
	}
}

// Guards against the evacuation of a zone with more than half of all endpoints: the others could not serve
// all traffic.
func TestPanicThreshold(t *testing.T) {
	s := basicSettings()
	s.Zones, s.Slots = true, 60
	var eps []Endpoint
	for dest := range 8 {
		for n := range 3 {
			eps = append(eps, Endpoint{ID: fmt.Sprintf("%d-1-%d", dest, n), Destination: dest, Zone: 1})
		}
		eps = append(eps, Endpoint{ID: fmt.Sprintf("%d-0", dest), Destination: dest},
			Endpoint{ID: fmt.Sprintf("%d-2", dest), Destination: dest, Zone: 2})
	}
	d := start(t, s, eps...)
	for _, ep := range d.endpoints {
		if ep.outlier.lastSuccessAt = moment(900 * ms); ep.Zone == 1 {
			ep.outlier.lastFailureAt = moment(time.Second)
		}
	}
	d.Handle(moment(time.Second), []Event{TimerFired{}})
	if d.zones.get(1).state != Serving {
		t.Error("zone 1, with three fifths of all endpoints, was evacuated, want it to serve")
	}
}

// Guards against an evacuation order that ends early, affects destinations served from no other zone, or ends
// without slow start. Orders for unknown zones, the last zone or a zone in the requested state already are
// refused.
func TestZoneOrder(t *testing.T) {
	z := newZonedRelay(t, 3, 4, nil)
	z.d.Handle(0, []Event{EndpointsUpdated{Endpoints: []Endpoint{{ID: "9-0", Destination: 9}}}})
	z.run(time.Second)
	for _, bad := range []int{-1, 3, 70} {
		if err := z.d.Order(bad, moment(time.Minute)); err == nil {
			t.Errorf("an order for zone %d, which has no endpoints, was accepted", bad)
		}
	}
	if err := z.d.Order(0, 0); err == nil {
		t.Error("the end of an order was accepted for a zone without an order")
	}
	if err := z.d.Order(0, moment(11*time.Second)); err != nil {
		t.Fatal(err)
	}
	if err := z.d.Order(0, moment(20*time.Second)); err == nil {
		t.Error("a second order for the same zone was accepted")
	}
	if err := z.d.Order(1, moment(11*time.Second)); err != nil {
		t.Error(err)
	}
	if err := z.d.Order(2, moment(11*time.Second)); err == nil {
		t.Error("an order to evacuate the last serving zone was accepted")
	}
	if err := z.d.Order(1, 0); err != nil {
		t.Error(err)
	}
	z.run(1100 * ms)
	before, onlyThere := z.sent["0"], 0
	z.outcome = func(ep string, dest, zone int) Outcome {
		if dest == 9 {
			onlyThere++
		}
		return OK
	}
	for i := range 5 {
		z.d.Handle(moment(z.now),
			[]Event{Arrived{ID: fmt.Sprint("only", i), Destination: 9, TimeLeft: 5 * time.Second}})
	}
	z.run(11 * time.Second)
	if z.sent["0"]-before-onlyThere > 0 {
		t.Errorf("%d calls to a zone evacuated by order, besides those for a destination served only there",
			z.sent["0"]-before-onlyThere)
	}
	if z.state(0) != Recovering {
		z.run(11100 * ms)
	}
	if z.state(0) != Recovering {
		t.Errorf("zone state changes after the order expired: %v, want zone 0 to recover", z.zoneChanges)
	}
	z.run(16 * time.Second)
	if z.state(0) != Serving || z.sent["0"] == before {
		t.Errorf("zone state changes after slow start: %v, want zone 0 to serve, with calls", z.zoneChanges)
	}
}

// Guards against invalid zone numbers in an endpoint list: such endpoints are served like others but belong
// to no zone.
func TestInvalidZoneNumbers(t *testing.T) {
	s := basicSettings()
	s.Zones = true
	d := start(t, s, Endpoint{ID: "a", Zone: -7}, Endpoint{ID: "b", Zone: 1 << 40})
	expect(t, "a message", d.Handle(moment(ms), []Event{arrive("m", 0)}), "m>a")
	if all, _ := d.Zones(); len(all) > 0 {
		t.Errorf("zones of endpoints with invalid zone numbers: %+v, want none", all)
	}
}
