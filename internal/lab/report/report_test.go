package report

import (
	"fmt"
	"math"
	"testing"
	"time"

	"milletsail/internal/lab/checker"
	"milletsail/internal/lab/history"
)

// twoZoneHistory builds a history with two zones and, every 10 ms, a message to each of two destinations; the first destination
// has endpoints in both zones. Zone b has a fault from 10 to 16 s. From 20 s on, d0-b-n0 replaces an endpoint of the first
// destination.
func twoZoneHistory(zoneBServed func(at time.Duration) bool, toNewEndpoint func(at time.Duration) bool) []history.Event {
	relay, class := 0, history.Class{Effect: "retryable", Target: history.ToMicros(time.Second), Deadline: history.ToMicros(8 * time.Second), Worth: 1}
	events := []history.Event{{Time: 1, Kind: history.Run, Parameters: &history.Parameters{Relays: 1, Zones: []string{"a"}, ArrivalsLength: history.ToMicros(40 * time.Second),
		Classes: map[string]history.Class{"c": class},
		Hosts:   map[string]history.Host{"d0-a": {Dest: 0, Zone: "a"}, "d0-b": {Dest: 0, Zone: "b"}, "d0-b-n0": {Dest: 0, Zone: "b"}, "d1-b": {Dest: 1, Zone: "b"}}}}}
	n := 0
	for at := time.Duration(0); at < 40*time.Second; at += 10 * time.Millisecond {
		t := history.ToMicros(at)
		switch at {
		case 10 * time.Second:
			events = append(events, history.Event{Time: t, Kind: history.Fault, Detail: "down", Zone: "b", EndTime: history.ToMicros(16 * time.Second)})
		case 20 * time.Second:
			events = append(events, history.Event{Time: t, Kind: history.List, Hosts: []history.ListEntry{{Host: "d0-b-n0", Health: "SERVING"}, {Host: "d0-b", Health: "DRAINING"}}})
		case 25 * time.Second:
			events = append(events, history.Event{Time: t, Kind: history.Servers, Relay: history.IntPtr(relay), Trials: map[string]history.TrialState{"d0-b-n0": {Holds: 1}}})
		case 30 * time.Second:
			events = append(events, history.Event{Time: t, Kind: history.Fell, Host: "d0-a"})
		}
		for dest := range 2 {
			n++
			id, host := fmt.Sprint(n), "d0-a"
			served := true
			switch {
			case dest == 1:
				host, served = "d1-b", zoneBServed(at)
			case at < 20*time.Second && n%4 == 1 && zoneBServed(at):
				host = "d0-b"
			case at >= 20*time.Second && toNewEndpoint(at):
				host = "d0-b-n0"
			}
			events = append(events, history.Event{Time: t, Kind: history.HandIn, Relay: history.IntPtr(relay), ID: id, Message: n, Class: "c", Dest: history.IntPtr(dest), TimeLeft: class.Deadline})
			if served {
				events = append(events, history.Event{Time: t, Kind: history.Call, Relay: history.IntPtr(relay), Call: n, Host: host, IDs: []string{id}},
					history.Event{Time: t + 1000, Kind: history.Reply, Call: n, Status: "200"})
			}
		}
	}
	return append(events, history.Event{Time: history.ToMicros(41 * time.Second), Kind: history.End})
}

func expectNear(t *testing.T, what string, got, want, by float64) {
	t.Helper()
	if !(math.Abs(got-want) <= by) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// For a fault of a zone, the report must separate what the other zone can still serve from what is lost, and must find when the
// zone gets its calls again.
func TestZoneFigures(t *testing.T) {
	// Zone b serves nothing from 10 to 18 s; the destination with an endpoint in zone a is served throughout.
	f := Compute(twoZoneHistory(func(at time.Duration) bool { return at < 10*time.Second || at >= 18*time.Second }, func(time.Duration) bool { return false }), checker.Verdict{})
	x := f.Faults[0]
	expectNear(t, "servable share", x.ServableShare, 0.5, 0.01)
	expectNear(t, "degraded time without lost calls in the other zone", x.DegradedTime, 0, 1e-9)
	expectNear(t, "served at worst", x.Worst, 0.5, 0.02)
	expectNear(t, "local share of the calls with an endpoint in their own zone", f.LocalShare/f.LocalPossible, 1, 0.35)
	for _, z := range f.Zones {
		if z.Zone == "b" && (z.Recovery == nil || math.Abs(*z.Recovery-2) > 0.5) {
			t.Errorf("Recovery of zone b: got pointer %v, want one to 2 s within 0.5 s", z.Recovery)
		}
		if z.Faulted != (z.Zone == "b") {
			t.Errorf("zone %s: got faulted %v, want true for zone b only", z.Zone, z.Faulted)
		}
	}
	if f.Overloaded != 1 {
		t.Errorf("got %d overloaded endpoints, want 1", f.Overloaded)
	}
	// Without lost calls the degraded time is 0; it is not when all calls fail during the first 3 s of the fault.
	f = Compute(twoZoneHistory(func(at time.Duration) bool { return true }, func(time.Duration) bool { return false }), checker.Verdict{})
	expectNear(t, "degraded time with nothing lost", f.Faults[0].DegradedTime, 0, 1e-9)
	lossy := twoZoneHistory(func(at time.Duration) bool { return true }, func(time.Duration) bool { return false })
	for i := range lossy {
		if e := &lossy[i]; e.Kind == history.Reply && e.Time > history.ToMicros(10*time.Second) && e.Time < history.ToMicros(13*time.Second) {
			e.Status = "503"
		}
	}
	expectNear(t, "degraded time with 3 s lost", Compute(lossy, checker.Verdict{}).Faults[0].DegradedTime, 3.5, 1)
}

// A new endpoint's exposure must count only until it is held back, and its full traffic must be measured against its
// predecessor's.
func TestNewEndpointFigures(t *testing.T) {
	served := func(time.Duration) bool { return true }
	f := Compute(twoZoneHistory(served, func(at time.Duration) bool { return at%(500*time.Millisecond) == 0 || at > 32*time.Second }), checker.Verdict{})
	if len(f.NewEndpoints) != 1 {
		t.Fatalf("got new endpoints %+v, want exactly one", f.NewEndpoints)
	}
	n := f.NewEndpoints[0]
	if n.HeldAfter == nil || n.FullAfter == nil {
		t.Fatalf("new endpoint %+v: want HeldAfter and FullAfter not nil", n)
	}
	expectNear(t, "held after", *n.HeldAfter, 5, 0.1)
	expectNear(t, "exposed", n.ExposedShare, 0.02, 0.005)
	expectNear(t, "full after", *n.FullAfter, 11, 1)
}
