package journal

import (
	"fmt"
	"runtime"
	"testing"

	"milletsail/internal/clock"
)

// BenchmarkLiveMessages measures the cost of a live message with a body of 200 bytes and one attempt: memory, bytes on disk,
// disk space reserved, and time to write a new segment, each per message. The name holds the number of live messages.
func BenchmarkLiveMessages(b *testing.B) {
	for _, live := range []int{1_000, 10_000, 100_000, 500_000} {
		b.Run(fmt.Sprint(live), func(b *testing.B) {
			before := heapInUse()
			j, _, err := Open(b.TempDir(), Options{DiskMB: benchDiskMB})
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { _ = j.Close() })
			for i := range live {
				e := benchEntry(i)
				j.Accept(e)
				j.StartAttempt(e, "s-3740d6df", clock.Now())
				j.EndAttempt(e, true)
				if err := j.Commit(); err != nil {
					b.Fatal(err)
				}
			}
			memory := heapInUse() - before
			for b.Loop() {
				if err := j.compact(); err != nil {
					b.Fatal(err)
				}
			}
			messages := float64(live)
			b.ReportMetric(memory/messages, "B-memory/message")
			b.ReportMetric(float64(j.segmentSize)/messages, "B-disk/message")
			b.ReportMetric(2*float64(j.liveSize)/messages, "B-room/message")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/messages, "ns/message")
			runtime.KeepAlive(j)
		})
	}
}

// heapInUse returns the size of the reachable heap objects, in bytes.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
