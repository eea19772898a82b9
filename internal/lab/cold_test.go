package lab

import (
	"fmt"
	"testing"
)

// TestColdEndpointsWithinFleetBudget guards against a fleet that together sends an endpoint more calls than it
// withstands after an outage, while relays are killed, restarted and reloaded and endpoints are replaced.
func TestColdEndpointsWithinFleetBudget(t *testing.T) { testColdReturns(t, "cold") }

// TestColdSiblingsWithinFleetBudget guards against a fleet that takes the siblings of a failed endpoint for healthy: a
// crowd meets them, and those that replaced others in the outage, as they come back cold.
func TestColdSiblingsWithinFleetBudget(t *testing.T) { testColdReturns(t, "cold-siblings") }

// testColdReturns plays a scenario with two seeds, which may break no rule.
func testColdReturns(t *testing.T, name string) {
	t.Helper()
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := loadScenario(t, name)
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
