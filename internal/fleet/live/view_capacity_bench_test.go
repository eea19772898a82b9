package live

import (
	"fmt"
	"testing"
	"time"

	"milletsail/internal/fleet"
)

// BenchmarkReceivedFact measures the time to process a received message with one new fact, including the new assessment, by the
// number of relays.
func BenchmarkReceivedFact(b *testing.B) {
	for _, relays := range []int{60, 300, 1200} {
		b.Run(fmt.Sprint(relays), func(b *testing.B) {
			reported := 0
			s := New(Options{Size: relays, Version: "v", Send: func(int, []byte) {}, OnAssessment: func(PeerAssessment) { reported++ },
				OnFact: func(fleet.Fact, time.Duration) {}})
			sender := fleet.NewNode(1, relays, 1, "v", 0, 1, 0)
			var datagrams [][]byte
			now := time.Duration(0)
			for len(datagrams) < 10_000 {
				sender.Observe(fleet.KindDestinationClosed, fmt.Sprint(len(datagrams)), 1000, false, now, now)
				for _, send := range sender.Tick(now + 20*time.Millisecond) {
					if send.To == fleet.AllRelays {
						datagrams = append(datagrams, send.Message)
					}
				}
				now += time.Minute // each fact is broadcast in a message of its own
				sender.RemoveExpired(now)
			}
			i := 0
			for b.Loop() {
				if i%len(datagrams) == 0 {
					b.StopTimer()
					s = New(s.options)
					b.StartTimer()
				}
				s.Receive(1, datagrams[i%len(datagrams)])
				i++
			}
			if reported == 0 {
				b.Fatal("OnAssessment was not called: no received fact was new")
			}
			// The messages include heartbeats. These cause no assessment, and their cost is small in comparison.
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(reported), "ns/fact")
		})
	}
}

// BenchmarkView measures the time to create a view and encode it as JSON, and the size of the JSON, per fact and by the number of
// facts. The service is locked while the view is created.
func BenchmarkView(b *testing.B) {
	for _, facts := range []int{490, 4_900, 49_000} {
		b.Run(fmt.Sprint(facts), func(b *testing.B) {
			s := New(Options{Size: 1200, Version: "v"})
			now := time.Since(s.startedAt)
			for i := range facts {
				id := fleet.FactID{Kind: fleet.KindEndpointEjected, Origin: uint16(1 + i%1199), Key: fmt.Sprint("s-", i/5)}
				s.node.Merge(fleet.Fact{FactID: id, FactVersion: fleet.FactVersion{Incarnation: 1, Seq: uint32(i)}, ObservedAt: now}, now)
			}
			size := 0
			for b.Loop() {
				size = len(s.JSON())
			}
			b.ReportMetric(float64(size)/float64(facts), "B/fact")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(facts), "ns/fact")
		})
	}
}
