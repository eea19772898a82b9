package policy

import (
	"math"
	"testing"
	"time"
)

// A relay that has just started begins with the fleet's send rate, one that has learned its own does not; and
// no send rate is taken that is beyond what a relay comes to by itself.
func TestStartsWithTheFleetsRate(t *testing.T) {
	for _, c := range []struct{ reported, want float64 }{{0.4, 0.4}, {0.01, minRateShare},
		{50, probingRateShare}} {
		d := largeFleetRelay(t, 10, 100, "a")
		d.Handle(moment(ms), []Event{PeerRateReceived{LiveRelays: 10, Reporters: 4, RateShare: c.reported,
			ArrivalRate: 1, ValidFor: time.Minute}})
		if got := d.queues[0].limiter.rate; math.Abs(got-10*c.want) > 1e-9 {
			t.Errorf("told %v, it begins with %v a second, want %v", c.reported, got, 10*c.want)
		}
	}
	d := largeFleetRelay(t, 10, 100, "a")
	d.Handle(moment(ms), []Event{arrive("m", 0)})
	d.Handle(moment(2*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Completed: true}})
	d.Handle(moment(3*ms),
		[]Event{PeerRateReceived{LiveRelays: 10, Reporters: 4, RateShare: 0.4, ArrivalRate: 1,
			ValidFor: time.Minute}})
	if got := d.queues[0].limiter.rate; got < 9.9 {
		t.Errorf("a relay at work comes to %v a second by the reports of others", got)
	}
}

// Over a fleet with uneven traffic, the parts of the budget of a destination in slow start add up to no more
// than even ones do, and a relay without the others' reports takes an even one.
func TestTrafficSharesAddUp(t *testing.T) {
	sum, traffic := 0.0, []float64{0.2, 0.2, 0.5, 1, 1, 1.5, 2, 3, 3, 6}
	mean := 0.0
	for _, v := range traffic {
		mean += v / float64(len(traffic))
	}
	for _, v := range traffic {
		d := largeFleetRelay(t, len(traffic), 100, "a")
		q := d.queues[0]
		q.admission.arrivals = decayingCounter{value: v * counterTimeConstant.Seconds(), updatedAt: 0,
			startedAt: moment(-time.Hour)}
		d.Handle(moment(ms), []Event{PeerRateReceived{LiveRelays: 10, Reporters: 8, RateShare: 1,
			ArrivalRate: mean, ArrivalRateError: 0.5, ValidFor: time.Second}})
		sum += d.trafficShare(q)
		if d.now = moment(2 * time.Second); d.trafficShare(q) != 1 {
			t.Errorf("past its bound: %v", d.trafficShare(q))
		}
	}
	if sum > 10 || sum < 7 {
		t.Errorf("the parts of ten relays come to %v", sum)
	}
}

// A send rate is shared for one destination after the other, as seldom as relays tell of themselves.
func TestPublishRate(t *testing.T) {
	d := largeFleetRelay(t, 60, 60, "a")
	n := 0
	for now := time.Duration(0); now < time.Minute; now += 100 * ms {
		for _, a := range d.Handle(moment(now), []Event{TimerFired{}}) {
			if a, ok := a.(PublishRate); ok && a.RateShare == 1 {
				n++
			}
		}
	}
	if n < 9 || n > 10 {
		t.Errorf("shared %d times in a minute, want nine or ten", n)
	}
}
