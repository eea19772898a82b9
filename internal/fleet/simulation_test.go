package fleet

import (
	"math/rand/v2"
	"time"
)

// simulationStep is the resolution of a simulation's clock.
const simulationStep = 5 * time.Millisecond

// simulation runs a fleet of nodes in virtual time, with a network that loses and delays datagrams.
type simulation struct {
	nodes     []*Node
	rng       *rand.Rand
	loss      float64                 // share of lost datagrams
	cut       func(from, to int) bool // whether the network drops all datagrams from one relay to another
	now       time.Duration
	inFlight  []datagram
	bytes     int // total bytes sent, with a broadcast counted once for each receiver
	bytesSent int // total bytes sent, with a broadcast counted once
}

// datagram is a message in transit.
type datagram struct {
	arrivesAt time.Duration
	from, to  int
	data      []byte
}

func newSimulation(relays int, loss float64, seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 0)), loss: loss, cut: func(int, int) bool { return false }}
	for i := range relays {
		s.nodes = append(s.nodes, NewNode(i, relays, 1, "v", i%3, seed, 0))
	}
	return s
}

// send puts messages into transit with a random delay of 1 to 20 ms, except those that are lost.
func (s *simulation) send(from int, messages []Outgoing) {
	for _, message := range messages {
		s.bytesSent += len(message.Message)
		for to := range s.nodes {
			if to == from || message.To != AllRelays && message.To != to {
				continue
			}
			s.bytes += len(message.Message)
			if s.rng.Float64() >= s.loss && !s.cut(from, to) {
				arrivesAt := s.now + time.Duration(1+s.rng.IntN(20))*time.Millisecond
				s.inFlight = append(s.inFlight, datagram{arrivesAt, from, to, message.Message})
			}
		}
	}
}

// run advances the clock until the condition, if any, holds or until is reached. It returns the time and whether the condition
// held.
func (s *simulation) run(until time.Duration, condition func() bool) (at time.Duration, ok bool) {
	for ; s.now < until; s.now += simulationStep {
		s.deliver()
		for i, node := range s.nodes {
			if node.NextTick() <= s.now {
				s.send(i, node.Tick(s.now))
			}
		}
		if condition != nil && condition() {
			return s.now, true
		}
	}
	return s.now, false
}

// deliver passes the datagrams that have arrived to their receivers and sends the answers.
func (s *simulation) deliver() {
	remaining := s.inFlight[:0]
	var arrived []datagram
	for _, d := range s.inFlight {
		if d.arrivesAt <= s.now {
			arrived = append(arrived, d)
		} else {
			remaining = append(remaining, d)
		}
	}
	s.inFlight = remaining
	for _, d := range arrived {
		answers, _ := s.nodes[d.to].Receive(d.from, d.data, s.now)
		s.send(d.to, answers)
	}
}

// coverage returns the share of the fleet that has an unexpired fact of the given kind and key.
func (s *simulation) coverage(kind Kind, key string) float64 {
	informed := 0
	for _, node := range s.nodes {
		if reporters, _ := node.CountReporters(kind, key, s.now); reporters > 0 {
			informed++
		}
	}
	return float64(informed) / float64(len(s.nodes))
}

// converged reports whether all relays have the same digest, and so the same facts.
func (s *simulation) converged() bool {
	for _, node := range s.nodes {
		if node.Digest(s.now) != s.nodes[0].Digest(s.now) {
			return false
		}
	}
	return true
}
