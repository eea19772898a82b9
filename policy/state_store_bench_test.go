package policy

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// oneEach is a Directory of n destinations with one endpoint each that takes no memory.
type oneEach int

func (n oneEach) Endpoints(destination int) []Endpoint {
	if destination >= int(n) {
		return nil
	}
	return []Endpoint{{ID: fmt.Sprint("e", destination), Destination: destination, Weight: 100}}
}

func (n oneEach) Destination(endpoint string) (no int, ok bool) {
	_, err := fmt.Sscanf(endpoint, "e%d", &no)
	return no, err == nil && no < int(n)
}

// BenchmarkArrival measures a message, from its arrival to its success, at 208 messages a second: all for ten
// destinations, or for all in turn, so that each loads state where there are many.
func BenchmarkArrival(b *testing.B) {
	tests := []struct{ listed, used int }{{1_000, 10}, {490_000, 10}, {1_000, 1_000}, {490_000, 490_000}}
	for _, tt := range tests {
		b.Run(fmt.Sprintf("%d of %d", tt.used, tt.listed), func(b *testing.B) {
			s := onDemandSettings()
			s.Directory = oneEach(tt.listed)
			d, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			before := heap()
			d.Handle(0, []Event{EndpointsUpdated{}})
			now, no, highest := time.Duration(0), 0, 0
			for b.Loop() {
				now += time.Second / 208
				no = (no + 7919) % tt.used
				deliverMessages(b, d, now, no)
				highest = max(highest, len(d.destinations))
			}
			b.ReportMetric(float64(highest), "destinations")
			b.ReportMetric((heap()-before)/float64(len(d.destinations)), "B/destination")
			runtime.KeepAlive(d)
		})
	}
}

// heap is how many bytes are in use.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
