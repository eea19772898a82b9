package lab

import (
	"fmt"
	"testing"
)

// TestColdEndpointsWithinFleetBudget guards against a fleet that together sends an endpoint more calls than it
// withstands after an outage, while relays are killed, restarted and reloaded and endpoints are replaced.
func TestColdEndpointsWithinFleetBudget(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := loadScenario(t, "cold")
			s.Seed = seed
			v := startScenario(t, s, Options{Binary: relayBinary}).wait(t).Verdict
			for _, x := range v.Violations {
				t.Errorf("rule %s violated: relay %d, message %s: %s", x.Rule, x.Relay, x.ID, x.Text)
			}
			if v.Messages < 1000 {
				t.Errorf("%d messages with an outcome, want at least 1000 for a meaningful run", v.Messages)
			}
		})
	}
}
