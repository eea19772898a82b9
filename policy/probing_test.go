package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// largeFleetRelay returns one relay of a fleet, with endpoints of one destination whose listed rate is weight
// calls a second.
func largeFleetRelay(t *testing.T, relays int, weight float64, ids ...string) *Dispatcher {
	t.Helper()
	s := basicSettings()
	s.FleetSize, s.Weights, s.Gossip, s.PublishRates = relays, WeightsNominal, true, true
	var eps []Endpoint
	for _, id := range ids {
		eps = append(eps, Endpoint{ID: id, Weight: weight})
	}
	return start(t, s, eps...)
}

// secondHandCount returns the number of ejections that are recorded as observed by other relays.
func secondHandCount(actions []Action) (n int) {
	for _, a := range actions {
		if a, ok := a.(PersistHealth); ok && a.Ejected && a.SecondHand {
			n++
		}
	}
	return n
}

// Guards against relays that each have to find out for themselves that a destination is down. Its endpoints
// are ejected if at least minObservers relays report rejections for longer than circuitOpenAfter, but not
// against a later success at this relay and not for reports on a single endpoint.
func TestEjectionByPeerReports(t *testing.T) {
	for _, c := range []struct {
		name    string
		e       PeerSuspected
		success bool
		want    int
	}{
		{"three relays for 3 s",
			PeerSuspected{Observers: 3, OldestAge: 3 * time.Second, ValidFor: time.Second}, false, 2},
		{"two relays", PeerSuspected{Observers: 2, OldestAge: 3 * time.Second, ValidFor: time.Second}, false,
			0},
		{"reported for 2 s",
			PeerSuspected{Observers: 9, OldestAge: 2 * time.Second, ValidFor: time.Second}, false, 0},
		{"a success at this relay since",
			PeerSuspected{Observers: 9, OldestAge: 3 * time.Second, ValidFor: time.Second}, true, 0},
		{"another destination",
			PeerSuspected{Destination: 7, Observers: 9, OldestAge: 3 * time.Second, ValidFor: time.Second},
			false, 0},
		{"an endpoint", PeerSuspected{Endpoint: "a", Observers: 3, RecentObservers: 3, OldestAge: 10 * ms,
			ValidFor: time.Second}, false, 0},
		{"an endpoint, three relays, of which one reported it recently",
			PeerSuspected{Endpoint: "a", Observers: 3, RecentObservers: 1, OldestAge: 10 * ms,
				ValidFor: time.Second}, false, 0},
		{"an endpoint, one relay",
			PeerSuspected{Endpoint: "a", Observers: 1, RecentObservers: 1, OldestAge: 10 * ms,
				ValidFor: time.Second}, false, 0},
		{"an endpoint that serves this relay",
			PeerSuspected{Endpoint: "a", Observers: 3, RecentObservers: 3, OldestAge: 2 * time.Second,
				ValidFor: time.Second}, true, 0},
		{"an endpoint that is not listed",
			PeerSuspected{Endpoint: "x", Observers: 9, RecentObservers: 9, OldestAge: 3 * time.Second,
				ValidFor: time.Second}, false, 0},
	} {
		d := largeFleetRelay(t, 60, 60, "a", "b")
		if c.success {
			for i := range 2 {
				id := fmt.Sprint(i)
				for _, a := range d.Handle(moment(9*time.Second), []Event{arrive(id, 0)}) {
					if a, ok := a.(Send); ok {
						d.Handle(moment(9100*ms),
							[]Event{AttemptEnded{ID: id, Endpoint: a.Endpoint, Outcome: OK, Completed: true}})
					}
				}
				d.endpoints["a"].lastUsedAt = 0
				d.endpoints["a"].outlier.lastSuccessAt = moment(9100 * ms)
			}
		}
		if got := secondHandCount(d.Handle(moment(10*time.Second), []Event{c.e})); got != c.want {
			t.Errorf("%s: %d endpoints ejected by reports of other relays, want %d", c.name, got, c.want)
		}
	}
}

// Guards against all relays probing a destination that the fleet reports as down: they probe one after the
// other, in the order of their ranks. Once the report is no longer valid, only their own budgets limit the
// probes.
func TestRelaysProbeInOrderOfRank(t *testing.T) {
	firstProbe := func(rank int, until time.Duration) time.Duration {
		d := largeFleetRelay(t, 300, 60, "a")
		report := PeerSuspected{Observers: 5, OldestAge: 3 * time.Second, NewestAge: 100 * ms,
			ValidFor: until, Rank: rank}
		d.Handle(moment(10*time.Second), []Event{report})
		for now := 10 * time.Second; now < 30*time.Second; now += 10 * ms {
			for _, a := range d.Handle(moment(now),
				[]Event{Arrived{ID: now.String(), TimeLeft: 9 * time.Second}}) {
				if _, ok := a.(Send); ok {
					return now - 10*time.Second
				}
			}
		}
		return time.Duration(never)
	}
	last := time.Duration(0)
	for _, rank := range []int{0, 1, 7, 100} {
		at, want := firstProbe(rank, 10*time.Second),
			time.Duration((1+math.Log2(1+float64(rank)))*float64(probeInterval))-100*ms
		if at < want || at > want+200*ms || at <= last {
			t.Errorf("the relay of rank %d probes after %v, want about %v", rank, at, want)
		}
		last = at
	}
	if at := firstProbe(100, 50*ms); moment(at) != never && at < time.Second {
		t.Errorf("after the report has expired, the relay of rank 100 still probes after %v", at)
	}
}

// Guards against a relay that probes again right after a rejected probe: the next one has to wait for its
// next turn, even though no report of the last probe has arrived.
func TestRejectedProbeWaitsForNextTurn(t *testing.T) {
	d := largeFleetRelay(t, 300, 60, "a")
	d.Handle(moment(10*time.Second),
		[]Event{PeerSuspected{Observers: 5, OldestAge: 3 * time.Second, NewestAge: time.Second,
			ValidFor: 10 * time.Second}})
	var at []time.Duration
	attempts := map[string]int{}
	for now := 10 * time.Second; now < 15*time.Second; now += 10 * ms {
		var events []Event
		if now%(100*ms) == 0 {
			events = append(events, Arrived{ID: now.String(), TimeLeft: 9 * time.Second})
		}
		for _, a := range d.Handle(moment(now), append(events, TimerFired{})) {
			if a, ok := a.(Send); ok {
				at = append(at, now)
				d.Handle(moment(now),
					[]Event{AttemptEnded{ID: a.ID, Endpoint: "a", Attempt: attempts[a.ID],
						Outcome: Rejected}})
				attempts[a.ID]++
			}
		}
	}
	for i := 1; i < len(at); i++ {
		if at[i]-at[i-1] < probeInterval {
			t.Errorf("probed at %v and again at %v, want at least probeInterval between them", at[i-1], at[i])
		}
	}
	if len(at) < 8 {
		t.Errorf("probed only %d times in 5 s, want at least 8", len(at))
	}
}
