package fleet

import (
	"testing"
	"time"
)

// assessedAt is the time at which the reports are received and assessed.
const assessedAt = 8 * time.Second

// receiveReport passes the node a message from relay via with a report by relay origin on endpoint h.
func receiveReport(node *Node, kind Kind, origin, via int, value uint64, seq uint32, observedAt time.Duration) {
	report := Fact{
		FactID:      FactID{kind, uint16(origin), "h"},
		FactVersion: FactVersion{1, seq},
		Value:       value,
		ObservedAt:  observedAt,
	}
	data, _ := encodeMessage(0, 0, []Fact{report}, assessedAt)
	node.Receive(via, data, assessedAt)
}

// An assessment must count only observers with a report newer than any healthy report. All reports forwarded by one relay count
// as one observer, so that a faulty relay cannot appear as several; reports that the filter excludes don't count.
func TestAssess(t *testing.T) {
	const now = assessedAt
	node := NewNode(0, 9, 1, "v", 0, 1, 0)
	for origin := 1; origin <= 3; origin++ {
		receiveReport(node, KindEndpointEjected, origin, origin, uint64(origin%2), 1, time.Duration(origin)*time.Second)
	}
	for origin := 5; origin <= 8; origin++ { // reports that relay 4 forwarded or forged
		receiveReport(node, KindEndpointEjected, origin, 4, 1, 1, 4*time.Second)
	}
	sameZone := func(f Fact) bool { return f.Value == 1 }
	for _, c := range []struct {
		name      string
		include   func(Fact) bool
		healthyAt time.Duration // time at which relay 5 observes the endpoint as healthy; 0 if it does not
		want      Assessment
	}{
		{"all", nil, 0, Assessment{4, 0, 7 * time.Second, 4 * time.Second, 26 * time.Second}},
		{"same zone", sameZone, 0, Assessment{3, 0, 7 * time.Second, 4 * time.Second, 26 * time.Second}},
		{"healthy after the second", nil, 2500 * time.Millisecond,
			Assessment{2, 0, 5 * time.Second, 4 * time.Second, 26 * time.Second}},
		{"healthy after the last", sameZone, 5 * time.Second, Assessment{}},
	} {
		if c.healthyAt > 0 {
			receiveReport(node, KindEndpointRecovered, 5, 5, 1, uint32(c.healthyAt/time.Millisecond), c.healthyAt)
		}
		if got := node.Assess(KindEndpointEjected, KindEndpointRecovered, "h", c.include, now); got != c.want {
			t.Errorf("%s: got assessment %+v, want %+v", c.name, got, c.want)
		}
	}
	receiveReport(node, KindEndpointEjected, 6, 6, 1, 9000, now-time.Second)
	got := node.Assess(KindEndpointEjected, KindEndpointRecovered, "h", nil, now)
	if got.RecentObservers != 1 || got.Observers != 1 {
		t.Errorf("after one recent report: got assessment %+v, want 1 observer and 1 recent observer", got)
	}
	expired := now + Lifetimes[KindEndpointEjected].ExpiresAfter
	if got := node.Assess(KindEndpointEjected, KindEndpointRecovered, "h", nil, expired); got != (Assessment{}) {
		t.Errorf("after all reports expired: got assessment %+v, want the zero value", got)
	}
}
