package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

const (
	// rateDecreaseFactor is the multiplicative decrease of a send rate, at most once in rateWindow.
	rateDecreaseFactor = 0.85
	// minRateShare is the least that rejections leave of the even share: limits are lowered too, and rejected
	// calls use them up.
	minRateShare = 0.15
	// rateIncreaseGain is the increase of a send rate a second, for each second without a rejection (per s²).
	rateIncreaseGain = 0.06
	// maxQuietTime bounds the time without a rejection that counts, so that a rate rises slowly near a limit.
	maxQuietTime = 5 * time.Second
	// probingRateShare is the multiple of the even share beyond which a rate rises only while messages wait.
	probingRateShare = 1.5
	// minRemainingAllowance is the share of its allowance that a destination must report, where it sends load
	// reports, for a send rate to rise.
	minRemainingAllowance = 0.5
	// lowRateCalls is the even share, in calls a rateWindow, below which a relay meets a destination by
	// chance only.
	lowRateCalls = 0.5
	// rateWindow is the time whose calls may be sent at once: receivers count calls in windows of about this
	// length.
	rateWindow = time.Second
)

// sendRateLimiter limits the calls of one queue: the rate falls by a factor with rejections and rises again
// while there are none (AIMD). It belongs to one queue and is not safe for concurrent use.
type sendRateLimiter struct {
	listedRate  float64 // calls a second that all relays may make; 0 for unknown
	rate        float64 // calls a second of this relay; 0 for unlimited
	bucket      tokenBucket
	decreasedAt instant.Time
	increasedAt instant.Time // when increases were last taken into account
}

// burst is the number of calls that may be sent at once.
func (l *sendRateLimiter) burst() float64 { return math.Max(1, l.rate*rateWindow.Seconds()) }

// refill returns the number of calls that may be sent now.
func (l *sendRateLimiter) refill(now instant.Time) float64 {
	return l.bucket.refill(now, l.rate, l.burst())
}

// start begins anew at a rate, for a destination that is listed with listedRate for all relays.
func (l *sendRateLimiter) start(listedRate, rate float64, since instant.Time) {
	l.listedRate, l.rate, l.decreasedAt = listedRate, rate, since
	l.bucket.reset(l.burst(), since)
}

// mayDecrease reports whether a rejection lowers the rate: the rejections of one window are one event.
func (l *sendRateLimiter) mayDecrease(now instant.Time) bool {
	return now >= l.decreasedAt.Add(rateWindow)
}

// decrease lowers the rate: by a factor, and where that is less, halfway to the even share.
func (l *sendRateLimiter) decrease(now instant.Time, evenShare float64) {
	decreased := math.Min(l.rate*rateDecreaseFactor, (l.rate+evenShare)/2)
	l.rate, l.decreasedAt = math.Max(minRateShare*evenShare, decreased), now
}

// increase raises the rate, up to limit, for the time from a moment until now; quietSince is the end of the
// last pause or decrease.
func (l *sendRateLimiter) increase(now, from, quietSince instant.Time, limit float64) {
	exponent := rateIncreaseGain * min(now.Sub(quietSince), maxQuietTime).Seconds() * now.Sub(from).Seconds()
	l.rate = math.Min(l.rate*math.Exp(exponent), limit)
}

// sendTokens is the number of calls that the send rate of a queue allows now.
func (d *Dispatcher) sendTokens(q *queue) float64 {
	d.increaseRate(q)
	return q.limiter.refill(d.now)
}

// increaseRate raises the send rate of a queue for the time without a rejection here or at another relay. Its
// own successes don't count: one relay of many has them too seldom.
func (d *Dispatcher) increaseRate(q *queue) {
	limiter := &q.limiter
	quietSince := max(limiter.decreasedAt, q.circuit.backoffUntil)
	from := max(limiter.increasedAt, quietSince)
	limiter.increasedAt = d.now
	limit := limiter.listedRate
	if d.hasLowRate(q) && d.now > d.fleet.lastGossipAt.Add(rateWindow) {
		limit = d.evenShare(q) // without gossip, the others' rejections are not known
	}
	if d.now <= from || limiter.rate >= limit || q.allEjected() {
		return
	}
	if limiter.rate < probingRateShare*d.evenShare(q) || len(q.waiting) > 0 {
		limiter.increase(d.now, from, quietSince, limit)
	}
}

// setListedRate takes over the rate that a queue's destination is listed with since a moment.
func (d *Dispatcher) setListedRate(q *queue, rate float64, since instant.Time) {
	usable := rate > 0 && !math.IsInf(rate, 0)
	if d.settings.Weights != WeightsOff && usable && rate != q.limiter.listedRate {
		q.limiter.start(rate, rate/d.relayCount(), since)
	}
}

// evenShare is this relay's even share of a queue's listed rate, in calls a second.
func (d *Dispatcher) evenShare(q *queue) float64 { return q.limiter.listedRate / d.relayCount() }

// hasLowRate reports whether the even share is so low that a second probe is more than this relay's part of
// what a destination in slow start may get.
func (d *Dispatcher) hasLowRate(q *queue) bool {
	return q.limiter.listedRate > 0 && d.evenShare(q)*rateWindow.Seconds() < lowRateCalls
}
