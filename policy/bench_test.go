package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkHandle measures the two batches of a message, its arrival and its delivery, with 1,000 endpoints
// listed.
func BenchmarkHandle(b *testing.B) {
	s := basicSettings()
	d, err := New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	var list []Endpoint
	for i := range 1000 {
		list = append(list, Endpoint{ID: fmt.Sprint("e", i), Destination: i / 2})
	}
	d.Handle(0, []Event{EndpointsUpdated{Complete: true, Endpoints: list}})
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprint("m", i)
		now += 10 * ms
		for _, a := range d.Handle(moment(now),
			[]Event{Arrived{ID: id, Destination: i % 500, TimeLeft: 10 * time.Second}}) {
			if a, ok := a.(Send); ok {
				d.Handle(moment(now+5*ms),
					[]Event{AttemptEnded{ID: id, Endpoint: a.Endpoint, Outcome: OK, Completed: true}})
			}
		}
	}
}
