package policy

import (
	"math"
	"testing"
	"time"
)

// TestSendRate guards against a send rate that does not recover from rejections, one that rises quickly
// although the destination reports that its allowance is used up, and one that does not fall far enough for a
// limit far below the listed rate.
func TestSendRate(t *testing.T) {
	s := basicSettings()
	s.Weights, s.FleetSize = WeightsNominal, 4
	d := start(t, s, Endpoint{ID: "a", Weight: 8})
	q := d.queues[0]
	if q.limiter.rate != 2 {
		t.Fatalf("send rate %v, want 2: the listed rate of 8 divided among 4 relays", q.limiter.rate)
	}
	reject := func(at time.Duration) {
		d.now = moment(at)
		d.recordRejection(q, limitMessage{})
	}
	reject(time.Second)
	decreased := q.limiter.rate
	if reject(1100 * ms); !(decreased < 2) || q.limiter.rate != decreased {
		t.Errorf("send rate %v after a rejection and %v after another within rateWindow, want one decrease",
			decreased, q.limiter.rate)
	}
	q.waiting = []*message{{}}
	d.now = moment(4 * time.Second)
	d.recordSuccess(d.endpoints["a"], false)
	reportedAt := d.now
	d.sendTokens(q)
	if d.now = d.now.Add(500 * ms); d.now.Sub(q.limiter.decreasedAt) > 1500*ms ||
		q.limiter.decreasedAt >= reportedAt {
		t.Errorf("quiet time counts from %v, want at most 1s before the report of little capacity at %v",
			q.limiter.decreasedAt, reportedAt)
	}
	for range 40 {
		d.now = d.now.Add(500 * ms)
		d.sendTokens(q)
	}
	if q.limiter.rate < 2 {
		t.Errorf("send rate %v after 20 s without a rejection, want at least the even share of 2",
			q.limiter.rate)
	}
	for i := range 30 {
		reject(time.Duration(d.now.Add(time.Duration(1+i%2) * time.Second)))
	}
	if q.limiter.rate > 0.5 {
		t.Errorf("send rate %v after rejections for 45 s, want at most a quarter of the even share",
			q.limiter.rate)
	}
}

// TestEvenShares guards against send rates of all relays that add up to more than the listed rate.
func TestEvenShares(t *testing.T) {
	for _, tt := range []struct {
		relays int
		want   float64
	}{{2, 2}, {400, 0.01}} {
		s := basicSettings()
		s.FleetSize, s.Weights = tt.relays, WeightsNominal
		d := start(t, s, Endpoint{ID: "a", Weight: 4})
		if got := d.queues[0].limiter.rate; got != tt.want {
			t.Errorf("%d relays: send rate %v, want %v", tt.relays, got, tt.want)
		}
	}
}

func TestSendRateLimiter(t *testing.T) {
	var limiter sendRateLimiter
	limiter.start(100, 10, 0)
	if limiter.refill(0) != 10 || limiter.mayDecrease(moment(rateWindow-ms)) ||
		!limiter.mayDecrease(moment(rateWindow)) {
		t.Errorf("%+v at the start, want 10 tokens and no decrease within rateWindow", limiter)
	}
	limiter.decrease(moment(time.Second), 10)
	if want := 10 * rateDecreaseFactor; limiter.rate != want || limiter.decreasedAt != moment(time.Second) {
		t.Errorf("rate %v after a decrease, want %v", limiter.rate, want)
	}
	for range 100 {
		limiter.decrease(moment(time.Second), 10)
	}
	if want := 10 * minRateShare; limiter.rate != want {
		t.Errorf("rate %v after many decreases, want the minimum of %v", limiter.rate, want)
	}
	limiter.increase(moment(2*time.Second), moment(time.Second), moment(time.Second), 100)
	if want := 10 * minRateShare * math.Exp(rateIncreaseGain); math.Abs(limiter.rate-want) > 1e-9 {
		t.Errorf("rate %v after a quiet second, want %v", limiter.rate, want)
	}
	limiter.increase(moment(time.Hour), moment(time.Second), moment(time.Second), 20)
	if limiter.rate != 20 {
		t.Errorf("rate %v after an hour without a rejection, want the limit of 20", limiter.rate)
	}
}
