package policy

import (
	"math"
	"testing"
	"time"
)

// Guards against a restarted relay that begins at the listed rate although the fleet has lowered its rates. A
// relay with outcomes of its own keeps its rate, and reported rates are limited to the range that a relay
// could reach by itself.
func TestNewRelayStartsAtFleetRate(t *testing.T) {
	for _, c := range []struct{ reported, want float64 }{{0.4, 0.4}, {0.01, minRateShare},
		{50, probingRateShare}} {
		d := largeFleetRelay(t, 10, 100, "a")
		d.Handle(moment(ms), []Event{PeerRateReceived{LiveRelays: 10, Reporters: 4, RateShare: c.reported,
			ArrivalRate: 1, ValidFor: time.Minute}})
		if got := d.queues[0].limiter.rate; math.Abs(got-10*c.want) > 1e-9 {
			t.Errorf("with a reported rate share of %v the relay starts at %v calls a second, want %v",
				c.reported, got, 10*c.want)
		}
	}
	d := largeFleetRelay(t, 10, 100, "a")
	d.Handle(moment(ms), []Event{arrive("m", 0)})
	d.Handle(moment(2*ms), []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: OK, Completed: true}})
	d.Handle(moment(3*ms),
		[]Event{PeerRateReceived{LiveRelays: 10, Reporters: 4, RateShare: 0.4, ArrivalRate: 1,
			ValidFor: time.Minute}})
	if got := d.queues[0].limiter.rate; got < 9.9 {
		t.Errorf("rate of a relay with its own outcomes after a report: %v calls a second, want at least 9.9",
			got)
	}
}

// Guards against traffic shares that add up to more than one even share per relay, which would overload a
// destination in slow start. A relay without a valid report takes an even share.
func TestSumOfTrafficShares(t *testing.T) {
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
			t.Errorf("traffic share %v after the report has expired, want 1", d.trafficShare(q))
		}
	}
	if sum > 10 || sum < 7 {
		t.Errorf("the traffic shares of ten relays add up to %v, want 7 to 10", sum)
	}
}

// Guards against send rates that are published too often: in a fleet of 60, each relay publishes the rate of
// one destination every 6 s.
func TestPublishRate(t *testing.T) {
	d := largeFleetRelay(t, 60, 60, "a")
	published := 0
	for now := time.Duration(0); now < time.Minute; now += 100 * ms {
		for _, a := range d.Handle(moment(now), []Event{TimerFired{}}) {
			if a, ok := a.(PublishRate); ok && a.RateShare == 1 {
				published++
			}
		}
	}
	if published < 9 || published > 10 {
		t.Errorf("published %d rates in a minute, want 9 or 10", published)
	}
}
