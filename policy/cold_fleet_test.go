package policy_test

import (
	"flag"
	"testing"
)

// coldSeeds is the number of seeds of the tests of cold fleets, and coldFirst the first of them, for longer runs by
// hand.
var (
	coldSeeds = flag.Int64("cold-seeds", 60, "number of seeds of the tests of cold fleets")
	coldFirst = flag.Int64("cold-first", 0, "first seed of the tests of cold fleets")
)

// TestColdFleetBudget guards against a fleet whose relays together send an endpoint that is back from an
// outage more than it withstands, whatever each of them knows: one failure, or nothing after a restart.
func TestColdFleetBudget(t *testing.T) { testColdFleets(t, drawColdCase) }

// TestCrowdedColdFleetBudget guards against a fleet that keeps the budget of each endpoint by itself and exceeds that
// of the destination, and against gaps that only a crowd uses: saved tokens, siblings, replaced endpoints.
func TestCrowdedColdFleetBudget(t *testing.T) { testColdFleets(t, drawCrowdedColdCase) }

// testColdFleets plays the cases of all seeds, and requires the rule to hold in each of its readings.
func testColdFleets(t *testing.T, draw func(seed int64) *coldCase) {
	t.Helper()
	delivered := 0
	broken := map[string]int{}
	for seed := *coldFirst; seed < *coldFirst+*coldSeeds; seed++ {
		for _, wholeFalls := range []bool{false, true} {
			c := draw(seed)
			fleet := newColdFleet(t, c, wholeFalls)
			for reading, violation := range fleet.run() {
				if violation != "" {
					broken[coldReadingNames[reading]]++
					t.Errorf("%v: %s: %s", c, coldReadingNames[reading], violation)
				}
			}
			delivered += fleet.delivered
		}
	}
	t.Logf("%d messages delivered in all; violations by reading: %v", delivered, broken)
}
