package endpoints

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkTable measures the memory of a table and the time to fill it, both per entry, for several numbers of entries and with
// 1 or 600 endpoints for each destination.
func BenchmarkTable(b *testing.B) {
	tests := []struct{ entries, each int }{{10_000, 1}, {100_000, 1}, {490_000, 1}, {1_470_000, 1}, {490_000, 600}}
	for _, tt := range tests {
		b.Run(fmt.Sprintf("%d/%d each", tt.entries, tt.each), func(b *testing.B) {
			before := heapInUse()
			var table *Table
			for b.Loop() {
				table = NewTable()
				for i := range tt.entries {
					e := exampleEntry(i)
					e.Block = i / tt.each
					table.Put(e)
				}
			}
			b.ReportMetric((heapInUse()-before)/float64(tt.entries), "B/entry")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tt.entries), "ns/entry")
			runtime.KeepAlive(table)
		})
	}
}

// heapInUse returns the size of the reachable heap in bytes, after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
