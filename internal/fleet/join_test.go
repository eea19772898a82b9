package fleet

import (
	"fmt"
	"testing"
	"time"
)

// joinRequestTargets replaces relay self by the node, runs the simulation for the duration, and returns the relays to which the
// node sends join requests.
func joinRequestTargets(s *simulation, self int, node *Node, duration time.Duration) map[int]bool {
	s.nodes[self] = node
	targets := map[int]bool{}
	for end := s.now + duration; s.now < end; {
		if node.NextTick() <= s.now {
			out := node.Tick(s.now)
			for _, message := range out {
				if len(message.Message) > 2 && message.Message[2]&flagJoin != 0 {
					targets[message.To] = true
				}
			}
			s.send(self, out)
		}
		s.run(s.now+simulationStep, nil)
	}
	return targets
}

// A joining relay must send each join request to a single relay, at most maxJoinRequests in total and few if answers arrive. Within
// 2 s it must have the send rates and reports that the fleet already knew, although it received no broadcast of them.
func TestJoin(t *testing.T) {
	for _, loss := range []float64{0, 0.3, 1} {
		s := newSimulation(60, 0, 1)
		for i := range 60 {
			s.nodes[i].ObserveRate(fmt.Sprint(i%10), EncodeRate(0.5, 1, 0))
		}
		s.run(12*time.Second, nil)
		s.nodes[1].Observe(KindDestinationClosed, "7", 500, false, s.now, s.now)
		s.run(s.now+500*time.Millisecond, nil)
		s.loss = loss
		node := NewNode(44, 60, 2, "v", 0, 9, s.now)
		targets := joinRequestTargets(s, 44, node, 2*time.Second)
		if len(targets) < 1 || len(targets) > maxJoinRequests || targets[AllRelays] || loss == 0 && len(targets) > 2 {
			t.Errorf("loss %v: join requests were sent to %v, want 1 to 4 single relays, and at most 2 without loss", loss, targets)
		}
		rates := 0
		for destination := range 10 {
			if node.SummarizeRates(fmt.Sprint(destination), 44, s.now).Reporters > 0 {
				rates++
			}
		}
		if closed, _ := node.CountReporters(KindDestinationClosed, "7", s.now); loss < 1 && (rates < 10 || closed == 0) {
			t.Errorf("loss %v: the joined relay has the rates of %d of 10 destinations and %d reports of the closed destination",
				loss, rates, closed)
		}
	}
}
