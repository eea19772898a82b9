package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

const (
	// rateDecreaseFactor is the multiplicative decrease of a send rate after rejections, at most once in
	// rateWindow.
	rateDecreaseFactor = 0.85
	// minRateShare is the share of the even share below which rejections do not lower a rate. It is well
	// below 1, since a destination may lower its limit, and rejected calls count against that limit.
	minRateShare = 0.15
	// rateIncreaseGain is the exponential growth of a send rate per second, for each second that has passed
	// without a rejection (unit 1/s²).
	rateIncreaseGain = 0.06
	// maxQuietTime bounds the time without a rejection that speeds up the growth, so that a rate rises slowly
	// near a limit.
	maxQuietTime = 5 * time.Second
	// probingRateShare is the multiple of the even share above which a rate rises only while messages wait.
	probingRateShare = 1.5
	// minRemainingAllowance is the remaining share of its allowance below which a destination's load report
	// slows the rise of the send rate. Without load reports, the rate rises at full speed.
	minRemainingAllowance = 0.5
	// lowRateCalls is the even share, in calls per rateWindow, below which a relay counts as having a low
	// rate: it calls too seldom to learn the state of a destination by itself.
	lowRateCalls = 0.5
	// rateWindow is the time whose calls a send rate allows as one burst, and the shortest time between two
	// decreases: receivers commonly count calls in windows of about this length.
	rateWindow = time.Second
)

// sendRateLimiter limits the calls of one queue: rejections lower its rate by a factor, and it rises again
// while there are none (AIMD). It belongs to one queue and is not safe for concurrent use.
type sendRateLimiter struct {
	listedRate float64 // calls a second that all relays may make together; 0 for unknown
	rate       float64 // calls a second that this relay may make; 0 for unlimited
	bucket     tokenBucket
	// decreasedAt is the time of the last decrease or start. A report of little allowance moves it forward
	// (recordSuccess).
	decreasedAt instant.Time
	increasedAt instant.Time // time up to which increases have been applied
}

// burst returns the number of calls that may be sent at once.
func (l *sendRateLimiter) burst() float64 { return math.Max(1, l.rate*rateWindow.Seconds()) }

// refill adds the tokens accrued until now and returns the number of calls that may be sent.
func (l *sendRateLimiter) refill(now instant.Time) float64 {
	return l.bucket.refill(now, l.rate, l.burst())
}

// start resets the limiter to a rate, for a destination whose listed rate for all relays is listedRate.
func (l *sendRateLimiter) start(listedRate, rate float64, since instant.Time) {
	l.listedRate, l.rate, l.decreasedAt = listedRate, rate, since
	l.bucket.reset(l.burst(), since)
}

// mayDecrease reports whether a rejection lowers the rate. All rejections within one rateWindow count as one.
func (l *sendRateLimiter) mayDecrease(now instant.Time) bool {
	return now >= l.decreasedAt.Add(rateWindow)
}

// decrease lowers the rate by a factor or, if that is lower, to halfway between the rate and the even share,
// but not below minRateShare of the even share.
func (l *sendRateLimiter) decrease(now instant.Time, evenShare float64) {
	decreased := math.Min(l.rate*rateDecreaseFactor, (l.rate+evenShare)/2)
	l.rate, l.decreasedAt = math.Max(minRateShare*evenShare, decreased), now
}

// increase raises the rate for the time between from and now, but not above limit. quietSince is the end of
// the last pause or decrease.
func (l *sendRateLimiter) increase(now, from, quietSince instant.Time, limit float64) {
	exponent := rateIncreaseGain * min(now.Sub(quietSince), maxQuietTime).Seconds() * now.Sub(from).Seconds()
	l.rate = math.Min(l.rate*math.Exp(exponent), limit)
}

// sendTokens returns the number of calls that the send rate of a queue allows now.
func (d *Dispatcher) sendTokens(q *queue) float64 {
	d.increaseRate(q)
	return q.limiter.refill(d.now)
}

// increaseRate raises the send rate of a queue for the time that has passed without a rejection here or at
// another relay. Successes of this relay are no condition, since a relay in a large fleet has too few of
// them.
func (d *Dispatcher) increaseRate(q *queue) {
	limiter := &q.limiter
	quietSince := max(limiter.decreasedAt, q.circuit.backoffUntil)
	from := max(limiter.increasedAt, quietSince)
	limiter.increasedAt = d.now
	limit := limiter.listedRate
	if d.hasLowRate(q) && d.now > d.fleet.lastGossipAt.Add(rateWindow) {
		limit = d.evenShare(q) // without recent gossip, rejections at other relays are unknown
	}
	if d.now <= from || limiter.rate >= limit || q.allEjected() {
		return
	}
	if limiter.rate < probingRateShare*d.evenShare(q) || len(q.waiting) > 0 {
		limiter.increase(d.now, from, quietSince, limit)
	}
}

// setListedRate applies the rate, in calls a second for all relays, that the destination of a queue is listed
// with.
func (d *Dispatcher) setListedRate(q *queue, rate float64, since instant.Time) {
	usable := rate > 0 && !math.IsInf(rate, 0)
	if d.settings.Weights != WeightsOff && usable && rate != q.limiter.listedRate {
		q.limiter.start(rate, rate/d.relayCount(), since)
	}
}

// evenShare returns the listed rate of a queue divided by the number of relays, in calls a second.
func (d *Dispatcher) evenShare(q *queue) float64 { return q.limiter.listedRate / d.relayCount() }

// hasLowRate reports whether the even share is known and below lowRateCalls per rateWindow, so low that a
// second probe would exceed this relay's part of what a destination in slow start can take.
func (d *Dispatcher) hasLowRate(q *queue) bool {
	return q.limiter.listedRate > 0 && d.evenShare(q)*rateWindow.Seconds() < lowRateCalls
}
