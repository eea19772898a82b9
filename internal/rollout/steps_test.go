package rollout

import (
	"slices"
	"testing"
	"time"
)

// Guards against the promotion of a version that is not known to be healthy: a stage with an unreachable relay or an inconclusive
// evaluation is not promoted, and the rollout pauses after the maximum bake time.
func TestUnreachableIsNotHealthy(t *testing.T) {
	m := newModel()
	m.State.Plan.BakeTime, m.State.Plan.MaxBakeTime = Duration(10*time.Second), Duration(time.Minute)
	now := modelTime
	for _, record := range []Record{
		{Kind: recordUpdating, Relay: 0, Version: "new"},
		{Kind: recordUpdated, Relay: 0, Version: "new"},
		{Kind: recordBaking, At: now},
	} {
		m.State.Apply(record)
	}
	m.Relays[0] = modelRelay{Version: "new"}
	for _, c := range []struct {
		name        string
		baked       time.Duration
		unreachable int
		evaluation  Evaluation
		want        string // kind of the one record that is expected, or "" for none
	}{
		{"unreachable relay", 20 * time.Second, 0, Evaluation{Conclusive: true}, ""},
		{"before the bake time", 9 * time.Second, noRelay, Evaluation{Conclusive: true}, ""},
		{"inconclusive", 20 * time.Second, noRelay, Evaluation{}, ""},
		{"inconclusive after the maximum bake time", 2 * time.Minute, noRelay, Evaluation{Reason: "too little traffic"}, recordPaused},
		{"conclusive", 20 * time.Second, noRelay, Evaluation{Conclusive: true}, recordPromoted},
	} {
		next := m.State.Next(now.Add(c.baked), m.agents(c.unreachable), c.evaluation)
		if c.want == "" && len(next) > 0 || c.want != "" && (len(next) != 1 || next[0].Kind != c.want) {
			t.Errorf("%s: got records %+v, want one of kind %q", c.name, next, c.want)
		}
	}
}

// Guards against updates that alternate between zones: with by_zone, all relays of one zone come before those of the next.
func TestUpdateOrder(t *testing.T) {
	var zones []string
	for _, agent := range (&State{Plan: modelPlan()}).updateOrder() {
		zones = append(zones, agent.Zone)
	}
	if !slices.Equal(zones, []string{"a", "a", "a", "b"}) {
		t.Errorf("got zones in the order %v, want a, a, a, b", zones)
	}
}
