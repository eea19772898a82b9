package policy

import (
	"math"
	"milletsail/internal/instant"
	"time"
)

const (
	// rateDecreaseFactor is the multiplicative decrease of a send rate, at most once in rateWindow.
	rateDecreaseFactor = 0.85
	// minRateShare is the least that rejections leave of the even share: limits are lowered too, and rejected calls
	// use them up.
	minRateShare = 0.15
	// rateIncreaseGain is the increase of a send rate a second, for each second without a rejection (per s²).
	rateIncreaseGain = 0.06
	// maxQuietTime bounds the time without a rejection that counts, so that a rate rises slowly near a limit.
	maxQuietTime = 5 * time.Second
	// probingRateShare is the multiple of the even share beyond which a rate rises only while messages wait.
	probingRateShare = 1.5
	// minRemainingAllowance is the share of its allowance that a destination must report, where it sends load reports,
	// for a send rate to rise.
	minRemainingAllowance = 0.5
	// lowRateCalls is the even share, in calls a rateWindow, below which a relay meets a destination by chance only.
	lowRateCalls = 0.5
	// rateWindow is the time whose calls may be sent at once: receivers count calls in windows of about this length.
	rateWindow = time.Second
)

// sendTokens is what the pace of a queue allows to be sent now.
func (d *Dispatcher) sendTokens(q *queue) float64 {
	d.increaseRate(q)
	return q.limiter.bucket.refill(d.now, q.limiter.rate, math.Max(1, q.limiter.rate*rateWindow.Seconds()))
}

// setListedRate takes in the rate that a queue's destination is listed with since a moment.
func (d *Dispatcher) setListedRate(q *queue, weight float64, since instant.Time) {
	if d.settings.Weights == WeightsOff || !(weight > 0) || math.IsInf(weight, 0) || weight == q.limiter.listedRate {
		return
	}
	q.limiter.listedRate = weight
	q.limiter.rate, q.limiter.decreasedAt = d.evenShare(q), since
	q.limiter.bucket.tokens, q.limiter.bucket.updatedAt = math.Max(1, q.limiter.rate*rateWindow.Seconds()), since
}

// sendRateLimiter limits the calls of one queue by additive increase and multiplicative decrease (AIMD).
type sendRateLimiter struct {
	listedRate  float64 // calls a second that all relays may make; 0 for unknown
	rate        float64 // calls a second of this relay; 0 for unlimited
	bucket      tokenBucket
	decreasedAt instant.Time
	increasedAt instant.Time
}

// increaseRate lets a pace rise while no refusal is heard of. One relay of many has a success in some seconds: its
// own come too seldom to tell.
func (d *Dispatcher) increaseRate(q *queue) {
	calmFrom := max(q.limiter.decreasedAt, q.circuit.backoffUntil)
	from := max(q.limiter.increasedAt, calmFrom)
	q.limiter.increasedAt = d.now
	most := q.limiter.listedRate
	if d.hasLowRate(q) && d.now > d.lastGossipAt.Add(rateWindow) {
		most = d.evenShare(q) // cut off, nobody hears of the others' refusals
	}
	if d.now > from && q.limiter.rate < most && (q.limiter.rate < probingRateShare*d.evenShare(q) || len(q.waiting) > 0) && !q.allEjected() {
		rise := rateIncreaseGain * min(d.now.Sub(calmFrom), maxQuietTime).Seconds() * d.now.Sub(from).Seconds()
		q.limiter.rate = math.Min(q.limiter.rate*math.Exp(rise), most)
	}
}

// hasLowRate tells whether a second knock is more than this relay's part of what a cold destination takes.
func (d *Dispatcher) hasLowRate(q *queue) bool {
	return q.limiter.listedRate > 0 && d.evenShare(q)*rateWindow.Seconds() < lowRateCalls
}

// evenShare is this relay's even share of a queue's limit, in calls a second.
func (d *Dispatcher) evenShare(q *queue) float64 { return q.limiter.listedRate / d.relayCount() }
