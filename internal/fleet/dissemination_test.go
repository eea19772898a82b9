package fleet

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// A new fact must reach 99% of 200 relays within 300 ms at a loss rate of up to 10%, within 1 s at 30%, and within 8 s at 50%.
// Too few transmissions for the loss rate make it slower.
func TestDissemination(t *testing.T) {
	for _, c := range []struct {
		loss   float64
		within time.Duration
	}{{0, 300 * time.Millisecond}, {0.1, 300 * time.Millisecond}, {0.3, time.Second}, {0.5, 8 * time.Second}} {
		for seed := range uint64(5) {
			s := newSimulation(200, c.loss, seed)
			s.run(3*time.Second, nil)
			for _, node := range s.nodes { // set directly, since an estimate takes many heartbeats: see TestLossEstimator
				node.losses.rate = c.loss
			}
			s.nodes[17].Observe(KindDestinationClosed, "7", 500, false, s.now, s.now)
			started := s.now
			at, ok := s.run(started+c.within, func() bool { return s.coverage(KindDestinationClosed, "7") >= 0.99 })
			if !ok {
				t.Errorf("loss %v, seed %d: coverage %.3f after %v", c.loss, seed, s.coverage(KindDestinationClosed, "7"), at-started)
			}
			t.Logf("loss %v, seed %d: coverage 0.99 after %v", c.loss, seed, at-started)
		}
	}
}

// A new fact must reach 99% of a fleet of 1,000 or 10,000 relays within 1 s, and an idle relay must send at most 40 bytes a second
// there, so that the protocol scales with the size of the fleet.
func TestLargeFleet(t *testing.T) {
	for _, c := range []struct {
		relays int
		loss   float64
	}{{1000, 0.1}, {1000, 0.3}, {10_000, 0.1}} {
		if c.relays > 1000 && testing.Short() {
			continue
		}
		s := newSimulation(c.relays, c.loss, 1)
		s.run(time.Second, nil)
		for _, node := range s.nodes {
			node.losses.rate = c.loss
		}
		before := s.bytesSent
		s.run(s.now+time.Second, nil)
		idleRate := float64(s.bytesSent-before) / float64(c.relays)
		s.nodes[17].Observe(KindDestinationClosed, "7", 500, false, s.now, s.now)
		started := s.now
		at, ok := s.run(started+time.Second, func() bool { return s.coverage(KindDestinationClosed, "7") >= 0.99 })
		if !ok || idleRate > 40 {
			t.Errorf("%d relays, loss %v: coverage %.3f after %v; %.1f B/s each when idle",
				c.relays, c.loss, s.coverage(KindDestinationClosed, "7"), at-started, idleRate)
		}
		t.Logf("%d relays, loss %v: coverage 0.99 after %v; %.1f B/s each when idle", c.relays, c.loss, at-started, idleRate)
	}
}

// Relays must estimate the loss rate from gaps in heartbeats to within 0.15, and adapt the transmit limit to it.
func TestLossEstimator(t *testing.T) {
	for _, c := range []struct {
		loss             float64
		minTransmitLimit int
	}{{0, 1}, {0.3, 3}} {
		s := newSimulation(30, c.loss, 1)
		s.run(60*time.Second, nil)
		for i, node := range s.nodes {
			limit := node.losses.transmitLimit()
			if math.Abs(node.losses.rate-c.loss) > 0.15 || limit < c.minTransmitLimit || c.loss == 0 && limit > 1 {
				t.Errorf("loss %v: relay %d estimates a loss rate of %.2f and transmits facts %d times", c.loss, i, node.losses.rate, limit)
			}
		}
	}
}

// An idle relay must send at most 40 bytes a second, independent of the size of the fleet, and count all relays as live.
func TestIdleTraffic(t *testing.T) {
	for _, relays := range []int{10, 60, 300} {
		s := newSimulation(relays, 0.1, 1)
		s.run(10*time.Second, nil)
		before := s.bytesSent
		s.run(70*time.Second, nil)
		rate := float64(s.bytesSent-before) / 60 / float64(relays)
		t.Logf("%d relays: %.1f B/s each", relays, rate)
		if rate > 40 {
			t.Errorf("%d relays: each sends %.1f B/s when idle, want at most 40", relays, rate)
		}
		for _, node := range s.nodes {
			if live := node.LiveMembers(s.now); len(live) != relays {
				t.Fatalf("fleet of %d relays: a relay counts only %d as live", relays, len(live))
			}
		}
	}
}

// After a partition during which each side gained new facts, all relays must have the same facts within 20 s, including a relay
// that starts when the partition heals. Broadcasts don't cross the partition, so this depends on anti-entropy.
func TestPartitionHeals(t *testing.T) {
	for _, loss := range []float64{0, 0.3} {
		s := newSimulation(60, loss, 3)
		s.run(2*time.Second, nil)
		s.cut = func(from, to int) bool { return (from < 30) != (to < 30) }
		for i := range 10 {
			s.nodes[i].Observe(KindEndpointEjected, fmt.Sprint("left", i), 1, false, s.now, s.now)
			s.nodes[50+i].Observe(KindEndpointEjected, fmt.Sprint("right", i), 1, false, s.now, s.now)
		}
		s.run(s.now+3*time.Second, nil)
		if s.coverage(KindEndpointEjected, "left0") > 0.5 || s.coverage(KindEndpointEjected, "right0") > 0.5 {
			t.Fatal("facts crossed the partition: the simulation does not drop messages between the two sides")
		}
		s.cut = func(int, int) bool { return false }
		s.nodes[44] = NewNode(44, 60, 2, "v", 0, 9, s.now)
		healed := s.now
		at, ok := s.run(s.now+20*time.Second, s.converged)
		if !ok || s.coverage(KindEndpointEjected, "left3") < 1 || s.coverage(KindEndpointEjected, "right3") < 1 {
			t.Errorf("loss %v: relays still have different facts %v after the partition healed", loss, at-healed)
		}
		t.Logf("loss %v: converged after %v", loss, at-healed)
	}
}

// A relay without contact must become suspected and no longer count as live at the others, and must itself drop facts that expire
// while it is isolated.
func TestFailureDetection(t *testing.T) {
	s := newSimulation(20, 0.1, 1)
	s.run(10*time.Second, nil)
	s.nodes[3].Observe(KindDestinationClosed, "7", 0, false, s.now, s.now)
	s.run(s.now+time.Second, nil)
	s.cut = func(from, to int) bool { return from == 5 || to == 5 }
	s.run(s.now+5*minHeartbeatInterval+3*time.Second, nil)
	if live := s.nodes[0].LiveMembers(s.now); slices.Contains(live, 5) || len(live) != 19 || !s.nodes[0].Suspected(5, s.now) {
		t.Errorf("live members %v, want 19 members, without relay 5, which is suspected", live)
	}
	if facts := s.nodes[5].Facts(KindDestinationClosed, s.now); len(facts) > 0 {
		t.Errorf("the isolated relay still returns the expired facts %+v", facts)
	}
}
