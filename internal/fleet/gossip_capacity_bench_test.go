package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// storedFacts is a node of a fleet of 1,200 that knows of closings, five origins for each destination.
func storedFacts(facts int) *Node {
	const relays, origins = 1200, 5
	n := NewNode(0, relays, 1, "v", 0, 1, 0)
	for i := range facts {
		id := FactID{KindDestinationClosed, uint16(1 + (i*7+i%origins)%(relays-1)), fmt.Sprint(i / origins)}
		n.Merge(Fact{FactID: id, FactVersion: FactVersion{1, uint32(i)}, Value: 1000, Via: id.Origin}, 0)
	}
	return n
}

// BenchmarkFacts measures what facts cost a node by their number: memory, the digest and the sweep that run with each
// comparison, and the longest wait of a caller meanwhile, which is the whole of them.
func BenchmarkFacts(b *testing.B) {
	for _, facts := range []int{490, 4_900, 49_000, 98_000} {
		before := heapInUse()
		n := storedFacts(facts)
		memory := (heapInUse() - before) / float64(len(n.facts))
		parts := []struct {
			name string
			work func()
		}{
			{"digest", func() { n.Digest(time.Second) }},
			{"sums", func() { n.BucketDigests(time.Second) }},
			{"sweep", func() { n.RemoveExpired(time.Second) }},
		}
		for _, part := range parts {
			b.Run(fmt.Sprintf("%s/%d", part.name, facts), func(b *testing.B) {
				for b.Loop() {
					part.work()
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(n.facts)), "ns/fact")
				b.ReportMetric(memory, "B/fact")
			})
		}
		runtime.KeepAlive(n)
	}
}

// BenchmarkHeardFact measures a datagram with one new fact: its bytes, and the time to take it in.
func BenchmarkHeardFact(b *testing.B) {
	for _, facts := range []int{490, 49_000} {
		b.Run(fmt.Sprint(facts), func(b *testing.B) {
			n := storedFacts(facts)
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

// BenchmarkHeartbeat measures a heartbeat that is taken in, and a list of the live members, by their number.
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

// BenchmarkDetection measures in virtual time, with a tenth of the datagrams lost, how long a fleet takes to drop a relay that
// ended without a word, and what each sends at rest. 1,200 relays take minutes: -benchtime 1x.
func BenchmarkDetection(b *testing.B) {
	for _, relays := range []int{60, 300, 1200} {
		b.Run(fmt.Sprint(relays), func(b *testing.B) {
			for seed := uint64(1); b.Loop(); seed++ {
				m := newModel(relays, 0.1, seed)
				beat := m.nodes[0].HeartbeatInterval()
				m.run(6*beat, nil) // all have heard of all, and none counts as just started
				sent, received, since := m.sent, m.bytes, m.now
				unknown := 0
				for _, n := range m.nodes {
					unknown += relays - len(n.Facts(KindMember, m.now))
				}
				m.cut = func(from, to int) bool { return from == 5 || to == 5 }
				dropped := 0
				var half, all time.Duration
				for dropped < relays-1 && m.now < since+8*beat {
					m.run(m.now+500*time.Millisecond, nil)
					dropped = 0
					for i, n := range m.nodes {
						if i != 5 && n.silence(5, m.now) >= time.Duration(failureTimeout*float64(beat)) {
							dropped++
						}
					}
					if half == 0 && 2*dropped >= relays {
						half = m.now - since
					}
				}
				all = m.now - since
				if dropped < relays-1 {
					b.Fatalf("%d of %d have dropped it after %v", dropped, relays-1, all)
				}
				seconds := all.Seconds()
				b.ReportMetric(beat.Seconds(), "s-heartbeat")
				b.ReportMetric(half.Seconds(), "s-half-dropped")
				b.ReportMetric(seconds, "s-all-dropped")
				b.ReportMetric(float64(m.sent-sent)/float64(relays)/seconds, "B-sent/s")
				b.ReportMetric(float64(m.bytes-received)/float64(relays)/seconds, "B-received/s")
				b.ReportMetric(100*float64(unknown)/float64(relays*relays), "%-members-unknown")
			}
		})
	}
}

// heapInUse is how many bytes are in use.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkHeal measures in virtual time how long a fleet of 60 that was cut in two takes until all have one view again, by the
// number of facts that each side learned meanwhile, and the bytes that each relay gets until then. Facts that are about to pass
// their bound of 30 s would drop out first, so that half of a minute is the longest.
func BenchmarkHeal(b *testing.B) {
	const relays = 60
	for _, facts := range []int{10, 100, 300, 1_000} {
		b.Run(fmt.Sprint(facts), func(b *testing.B) {
			var seconds, received float64
			for seed := uint64(1); b.Loop(); seed++ {
				m := newModel(relays, 0, seed)
				m.run(2*time.Second, nil)
				m.cut = func(from, to int) bool { return (from < relays/2) != (to < relays/2) }
				for i := range facts {
					m.nodes[i%(relays/2)].Observe(KindEndpointEjected, fmt.Sprint("left", i), 1, false, m.now, m.now)
					m.nodes[relays/2+i%(relays/2)].Observe(KindEndpointEjected, fmt.Sprint("right", i), 1, false, m.now, m.now)
				}
				m.run(m.now+2*time.Second, nil)
				m.cut = func(int, int) bool { return false }
				healed, before := m.now, m.bytes
				at, whole := m.run(healed+25*time.Second, func() bool {
					for _, n := range m.nodes {
						if n.Digest(m.now) != m.nodes[0].Digest(m.now) {
							return false
						}
					}
					return true
				})
				if !whole {
					b.Logf("%d facts a side: no one view %v after the heal", facts, at-healed)
				}
				seconds += (at - healed).Seconds()
				received += float64(m.bytes-before) / relays
			}
			b.ReportMetric(seconds/float64(b.N), "s-healed")
			b.ReportMetric(received/seconds, "B-received/s")
		})
	}
}
