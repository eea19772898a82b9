package clients

import (
	"math"
	"slices"
	"testing"
	"time"

	"milletsail/internal/lab/scenario"
)

func parse(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("x.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

const loaded = `length = "100s"
[fleet]
relays = 4
zones = ["a", "b"]
[load]
rate = 100.0
clumps = 0.3
[[class]]
name = "status"
[[class]]
name = "payment"
effect = "dedup"
share = 3.0
[[destination]]
count = 4
[[fault]]
at = "50s"
for = "20s"
kind = "burst"
size = 2.0
[[fault]]
at = "80s"
for = "20s"
kind = "shift"
zone = "b"
size = 3.0
`

// A plan that depends on more than the seed makes runs irreproducible; one whose rates, shares or shifts differ from
// the scenario makes them test something else.
func TestPlan(t *testing.T) {
	s := parse(t, loaded)
	plan := Plan(s)
	if again := Plan(s); !slices.EqualFunc(plan, again, func(a, b Arrival) bool { return a == b }) {
		t.Error("two plans with the same seed differ")
	}
	count := func(from, to time.Duration, which func(Arrival) bool) (n float64) {
		for _, a := range plan {
			if a.At >= from && a.At < to && which(a) {
				n++
			}
		}
		return n
	}
	all := func(Arrival) bool { return true }
	// Clumps of 8 increase the variance: the tolerance is five standard deviations of a Poisson count in which 30% of
	// the messages arrive up to eight at once.
	near := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 5*math.Sqrt(want*(0.7+0.3*8)) {
			t.Errorf("arrivals %s: got %v, want about %v", what, got, want)
		}
	}
	near("before the burst", count(0, 50*time.Second, all), 5000)
	near("in the burst", count(50*time.Second, 70*time.Second, all), 4000)
	near("payments", count(0, 50*time.Second, func(a Arrival) bool { return a.Class.Name == "payment" }), 3750)
	near("zone b in the shift", count(80*time.Second, 100*time.Second, func(a Arrival) bool { return a.Home%2 == 1 }), 1500)
	for i, a := range plan {
		if a.Msg != i+1 || (a.Key != "") != (a.Class.Name == "payment") {
			t.Fatalf("arrival %+v: want consecutive numbers from 1 and a key exactly in class payment", a)
		}
	}
}
