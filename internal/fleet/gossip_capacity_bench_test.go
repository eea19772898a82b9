package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// nodeWithFacts returns a node of a fleet of 1,200 relays that has the given number of facts about closed destinations, with five
// origins for each destination.
func nodeWithFacts(facts int) *Node {
	const relays, origins = 1200, 5
	n := NewNode(0, relays, 1, "v", 0, 1, 0)
	for i := range facts {
		id := FactID{KindDestinationClosed, uint16(1 + (i*7+i%origins)%(relays-1)), fmt.Sprint(i / origins)}
		n.Merge(Fact{FactID: id, FactVersion: FactVersion{1, uint32(i)}, Value: 1000, Via: id.Origin}, 0)
	}
	return n
}

// BenchmarkFacts measures the cost per fact of a node's store, by the number of facts: the memory, and the time to compute the
// digest ("digest") and the bucket digests ("sums") and to remove expired facts ("sweep"). Anti-entropy runs these while other
// callers of the service wait for its lock.
func BenchmarkFacts(b *testing.B) {
	for _, facts := range []int{490, 4_900, 49_000, 98_000} {
		before := heapInUse()
		n := nodeWithFacts(facts)
		memory := (heapInUse() - before) / float64(len(n.facts))
		operations := []struct {
			name string
			work func()
		}{
			{"digest", func() { n.Digest(time.Second) }},
			{"sums", func() { n.BucketDigests(time.Second) }},
			{"sweep", func() { n.RemoveExpired(time.Second) }},
		}
		for _, operation := range operations {
			b.Run(fmt.Sprintf("%s/%d", operation.name, facts), func(b *testing.B) {
				for b.Loop() {
					operation.work()
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(n.facts)), "ns/fact")
				b.ReportMetric(memory, "B/fact")
			})
		}
		runtime.KeepAlive(n)
	}
}

// BenchmarkReceivedFact measures the size of a datagram with one new fact, and the time to encode, decode and merge it.
func BenchmarkReceivedFact(b *testing.B) {
	for _, facts := range []int{490, 49_000} {
		b.Run(fmt.Sprint(facts), func(b *testing.B) {
			n := nodeWithFacts(facts)
			size, i := 0, 0
			for b.Loop() {
				id := FactID{KindDestinationClosed, uint16(1 + i%1199), fmt.Sprint(i % (facts / 5))}
				fact := Fact{FactID: id, FactVersion: FactVersion{1_764_000_000, uint32(facts + i)}, Value: 1000}
				datagram, _ := encodeMessage(0, 0, []Fact{fact}, 0)
				n.Receive(int(id.Origin), datagram, 0)
				size += len(datagram)
				i++
			}
			b.ReportMetric(float64(size)/float64(b.N), "B/fact")
		})
	}
}

// BenchmarkHeartbeat measures the time to process a received heartbeat ("heard") and to list the live members ("live"), by the
// number of relays.
func BenchmarkHeartbeat(b *testing.B) {
	for _, relays := range []int{60, 300, 1200} {
		b.Run(fmt.Sprintf("heard/%d", relays), func(b *testing.B) {
			n := NewNode(0, relays, 1, "v", 0, 1, 0)
			size, i := 0, 0
			for b.Loop() {
				id := FactID{KindMember, uint16(1 + i%(relays-1)), "1.2.3"}
				fact := Fact{FactID: id, FactVersion: FactVersion{1_764_000_000, uint32(i)}, Value: uint64(i) << zoneBits}
				datagram, _ := encodeMessage(0, 0, []Fact{fact}, 0)
				n.Receive(int(id.Origin), datagram, 0)
				size += len(datagram)
				i++
			}
			b.ReportMetric(float64(size)/float64(b.N), "B/heartbeat")
		})
		b.Run(fmt.Sprintf("live/%d", relays), func(b *testing.B) {
			n := NewNode(0, relays, 1, "v", 0, 1, 0)
			for b.Loop() {
				n.LiveMembers(time.Hour)
			}
		})
	}
}

// BenchmarkDetection measures in virtual time, at a loss rate of 10%, how long the relays of a fleet take to count a crashed relay
// as failed, and the traffic of each relay meanwhile. A simulation of 1,200 relays takes minutes: use -benchtime 1x.
func BenchmarkDetection(b *testing.B) {
	for _, relays := range []int{60, 300, 1200} {
		b.Run(fmt.Sprint(relays), func(b *testing.B) {
			for seed := uint64(1); b.Loop(); seed++ {
				measureDetection(b, relays, seed)
			}
		})
	}
}

// measureDetection isolates relay 5 of a simulation and reports how long the others take to count it as failed.
func measureDetection(b *testing.B, relays int, seed uint64) {
	b.Helper()
	s := newSimulation(relays, 0.1, seed)
	interval := s.nodes[0].HeartbeatInterval()
	s.run(6*interval, nil) // by now heartbeats have reached all relays, and the failure timeout has passed since the start
	sent, received, crashedAt := s.bytesSent, s.bytes, s.now
	unknown := 0
	for _, node := range s.nodes {
		unknown += relays - len(node.Facts(KindMember, s.now))
	}
	s.cut = func(from, to int) bool { return from == 5 || to == 5 }
	detected := 0
	var half time.Duration
	for detected < relays-1 && s.now < crashedAt+8*interval {
		s.run(s.now+500*time.Millisecond, nil)
		detected = s.countDetected(5)
		if half == 0 && 2*detected >= relays {
			half = s.now - crashedAt
		}
	}
	all := s.now - crashedAt
	if detected < relays-1 {
		b.Fatalf("%d of %d relays have detected the crash after %v", detected, relays-1, all)
	}
	seconds := all.Seconds()
	b.ReportMetric(interval.Seconds(), "s-heartbeat")
	b.ReportMetric(half.Seconds(), "s-half-dropped")
	b.ReportMetric(seconds, "s-all-dropped")
	b.ReportMetric(float64(s.bytesSent-sent)/float64(relays)/seconds, "B-sent/s")
	b.ReportMetric(float64(s.bytes-received)/float64(relays)/seconds, "B-received/s")
	b.ReportMetric(100*float64(unknown)/float64(relays*relays), "%-members-unknown")
}

// countDetected returns the number of relays that count the crashed relay as failed.
func (s *simulation) countDetected(crashed int) (detected int) {
	for i, node := range s.nodes {
		if i != crashed && node.silence(crashed, s.now) >= node.heartbeatIntervals(failureTimeout) {
			detected++
		}
	}
	return detected
}

// heapInUse returns the number of bytes that are allocated and in use.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkHeal measures in virtual time how long a fleet of 60 relays takes to converge after a partition, by the number of new
// facts on each side, and the rate at which each relay receives bytes until then. A run ends before the facts expire after 30 s.
func BenchmarkHeal(b *testing.B) {
	const relays = 60
	for _, facts := range []int{10, 100, 300, 1_000} {
		b.Run(fmt.Sprint(facts), func(b *testing.B) {
			var seconds, received float64
			for seed := uint64(1); b.Loop(); seed++ {
				s := newSimulation(relays, 0, seed)
				s.run(2*time.Second, nil)
				s.cut = func(from, to int) bool { return (from < relays/2) != (to < relays/2) }
				for i := range facts {
					s.nodes[i%(relays/2)].Observe(KindEndpointEjected, fmt.Sprint("left", i), 1, false, s.now, s.now)
					s.nodes[relays/2+i%(relays/2)].Observe(KindEndpointEjected, fmt.Sprint("right", i), 1, false, s.now, s.now)
				}
				s.run(s.now+2*time.Second, nil)
				s.cut = func(int, int) bool { return false }
				healed, before := s.now, s.bytes
				at, ok := s.run(healed+25*time.Second, s.converged)
				if !ok {
					b.Logf("%d facts on each side: relays still have different facts %v after the partition healed", facts, at-healed)
				}
				seconds += (at - healed).Seconds()
				received += float64(s.bytes-before) / relays
			}
			b.ReportMetric(seconds/float64(b.N), "s-healed")
			b.ReportMetric(received/seconds, "B-received/s")
		})
	}
}
