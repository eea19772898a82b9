package policy_test

import (
	"math/rand"
	"testing"
	"time"

	"milletsail/policy"
)

// A pause of the traffic is long enough for state to go, and a long wait goes on after it.
const (
	longPause = 121 * time.Second
	longWait  = 4 * time.Minute
)

// Endpoints and Destination make a world the Directory of its list.
func (w *world) Endpoints(destination int) (listed []policy.Endpoint) {
	for _, e := range w.eps {
		if e.Destination == destination {
			listed = append(listed, e)
		}
	}
	return listed
}

func (w *world) Destination(endpoint string) (int, bool) {
	for _, e := range w.eps {
		if e.ID == endpoint {
			return e.Destination, true
		}
	}
	return 0, false
}

// pause lets the traffic stop from time to time, and when nothing is out any more, the time pass in which the
// state of idle destinations goes.
func (w *world) pause() {
	if !w.quiet {
		w.quiet = w.random.Intn(60) == 0
		return
	}
	for _, m := range w.checker.order {
		busy := !m.completed
		for _, t := range m.attempts {
			busy = busy || t.open
		}
		if busy {
			return
		}
	}
	w.quiet = false
	w.now += longPause
}

// Neither loading state on demand nor dropping it breaks a rule: waits, what an outage leaves, and the order
// of keys.
func TestRulesOnDemand(t *testing.T) {
	for seed := range int64(150) {
		r := rand.New(rand.NewSource(seed))
		w := &world{random: r, settings: variant(r)}
		w.settings.Directory = w
		if _, err := runIn(w, seed, 800); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}
