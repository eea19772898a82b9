package policy

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// singleEndpointDirectory is a Directory whose value is its number of destinations, with one endpoint each.
// It computes its entries, so that it adds no memory to the measurement.
type singleEndpointDirectory int

func (n singleEndpointDirectory) Endpoints(destination int) []Endpoint {
	if destination >= int(n) {
		return nil
	}
	return []Endpoint{{ID: fmt.Sprint("e", destination), Destination: destination, Weight: 100}}
}

func (n singleEndpointDirectory) Destination(endpoint string) (no int, ok bool) {
	_, err := fmt.Sscanf(endpoint, "e%d", &no)
	return no, err == nil && no < int(n)
}

// BenchmarkArrival measures the two batches of a message, its arrival and its delivery, at 208 messages a
// second. They go to ten of the listed destinations, or to all in turn: with 490,000 of them, state is
// dropped before a destination's next message, so that each message loads it anew.
func BenchmarkArrival(b *testing.B) {
	tests := []struct{ listed, used int }{{1_000, 10}, {490_000, 10}, {1_000, 1_000}, {490_000, 490_000}}
	for _, tt := range tests {
		b.Run(fmt.Sprintf("%d of %d", tt.used, tt.listed), func(b *testing.B) {
			s := onDemandSettings()
			s.Directory = singleEndpointDirectory(tt.listed)
			d, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			before := heapBytes()
			d.Handle(0, []Event{EndpointsUpdated{}})
			now, number, highest := time.Duration(0), 0, 0
			for b.Loop() {
				now += time.Second / 208
				number = (number + 7919) % tt.used
				deliverMessages(b, d, now, number)
				highest = max(highest, len(d.destinations))
			}
			b.ReportMetric(float64(highest), "destinations")
			b.ReportMetric((heapBytes()-before)/float64(len(d.destinations)), "B/destination")
			runtime.KeepAlive(d)
		})
	}
}

// heapBytes returns the number of bytes on the heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
