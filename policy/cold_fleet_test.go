package policy_test

import (
	"flag"
	"testing"
)

// coldSeeds is the number of seeds of TestColdFleetBudget, for longer runs by hand.
var coldSeeds = flag.Int64("cold-seeds", 60, "number of seeds of TestColdFleetBudget")

// TestColdFleetBudget guards against a fleet whose relays together send an endpoint that is back from an
// outage more than it withstands, whatever each of them knows: one failure, or nothing after a restart.
func TestColdFleetBudget(t *testing.T) {
	delivered := 0
	for seed := range *coldSeeds {
		c := drawColdCase(seed)
		fleet := newColdFleet(t, c)
		if broken := fleet.run(); broken != "" {
			t.Errorf("%v: %s", c, broken)
		}
		delivered += fleet.delivered
	}
	t.Logf("%d messages delivered in all", delivered)
}
