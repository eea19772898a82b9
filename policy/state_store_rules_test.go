package policy_test

import (
	"math/rand"
	"testing"
	"time"

	"milletsail/policy"
)

const (
	// trafficPauseOnDemand is longer than stateIdleTimeout, after which idle state may be dropped.
	trafficPauseOnDemand = 121 * time.Second
	// longRetryAfter is still in force after a trafficPauseOnDemand.
	longRetryAfter = 4 * time.Minute
)

// Endpoints returns the listed endpoints of a destination. With Destination, it implements policy.Directory.
func (g *eventGenerator) Endpoints(destination int) (listed []policy.Endpoint) {
	for _, e := range g.endpoints {
		if e.Destination == destination {
			listed = append(listed, e)
		}
	}
	return listed
}

func (g *eventGenerator) Destination(endpoint string) (int, bool) {
	for _, e := range g.endpoints {
		if e.ID == endpoint {
			return e.Destination, true
		}
	}
	return 0, false
}

// pauseTraffic stops the arrivals at random. Once all messages have ended and no attempt is in flight, it
// moves the clock by trafficPauseOnDemand, so that idle state is dropped, and lets arrivals go on.
func (g *eventGenerator) pauseTraffic() {
	if !g.trafficPaused {
		g.trafficPaused = g.random.Intn(60) == 0
		return
	}
	for _, m := range g.checker.order {
		busy := !m.completed
		for _, t := range m.attempts {
			busy = busy || t.open
		}
		if busy {
			return
		}
	}
	g.trafficPaused = false
	g.now += trafficPauseOnDemand
}

// TestRulesWithStateOnDemand guards against rules that break when state is dropped and loaded on demand: that
// a Retry-After, an outage or the order of keys is forgotten too early.
func TestRulesWithStateOnDemand(t *testing.T) {
	for seed := range int64(150) {
		r := rand.New(rand.NewSource(seed))
		g := &eventGenerator{random: r, settings: randomSettings(r)}
		g.settings.Directory = g
		if _, err := runWith(g, seed, 800); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}
