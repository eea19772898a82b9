package policy

import (
	"math"
	"time"

	"milletsail/internal/instant"
)

// This file decides by what the fleet's relays tell each other (docs/fleet.md). It only ever brings forward
// or spreads out what this relay would do by itself; without it, or past its bound, everything is as in
// policy.go alone.

const (
	// witnesses relays have to find an endpoint out, or a destination refusing, before their word stands for
	// own findings: one alone may have a bad network of its own, two may share it.
	witnesses = 3
	// tryEach is the time between two tries of the whole fleet at what is out, and between the turn of the
	// first and of the next that may: half the span in which receivers commonly count calls.
	tryEach = burstSpan / 2
	// shareEach relay of the fleet a pace is told so often, shareLeast apart at least: as often as a relay
	// tells of itself, with which it travels.
	shareEach, shareLeast = 100 * time.Millisecond, 5 * time.Second
	// partLeast and partMost bound the part of an even share that uneven traffic makes.
	partLeast, partMost = 0.5, 3
)

// accused takes in what the fleet finds. Own findings that are younger than the first of the others' go
// before it.
func (d *Dispatcher) accused(e PeerSuspected) {
	w := word{e.Observers, e.Rank, d.now.Add(-e.OldestAge), d.now.Add(-e.NewestAge), d.now.Add(e.ValidFor)}
	binds := w.binds(d.now)
	if ep := d.lookUp(e.Endpoint, binds); ep != nil {
		// For zones and turns alone: among many relays single errors soon make three witnesses.
		if ep.word = w; e.RecentObservers >= witnesses {
			ep.failedAt = max(ep.failedAt, w.last)
		}
		return
	}
	q := d.sharedQueue(e.Destination, binds && e.Endpoint == "")
	if e.Endpoint != "" || q == nil {
		return
	}
	q.word = w
	if w.origins < witnesses || d.now.Sub(w.first) <= shutAfter || q.lastOK >= w.first {
		return
	}
	for _, ep := range q.eps {
		if ep.recovered < w.first {
			d.markSick(ep, true)
		}
	}
}

// tryAt is this relay's turn to try what the fleet finds bad, 0 where it says nothing: the first by rank
// some time after the last try of anyone, and where that one has nothing to send, after each further such
// time twice as many.
func (d *Dispatcher) tryAt(ep *endpoint) instant.Time {
	w := ep.word
	q := ep.q.word
	if !w.binds(d.now) || q.origins > 0 && d.now < q.until && q.last > w.last {
		w = q
	}
	if !w.binds(d.now) {
		return 0
	}
	each := tryEach
	if ep.sick {
		each = max(each, wait(1, d.there()*d.budget(ep, 0)))
	}
	return max(w.last, ep.q.triedAt).Add(time.Duration((1 + math.Log2(1+float64(w.rank))) * float64(each)))
}

// fenced tells whether several relays were refused by a destination and none has been served since: not yet
// shut, but one relay's call at a time finds out as well as all do.
func (d *Dispatcher) fenced(q *queue) bool {
	return q.word.origins >= witnesses && d.now < q.word.until && q.lastOK < q.word.first
}

// tries tells whether a destination is out, and this relay the next of the fleet to try it: it does so
// whatever its own pace and pauses are, since it does it for all.
func (d *Dispatcher) tries(q *queue) bool {
	if !q.down() && !d.fenced(q) || len(q.eps) == 0 {
		return false
	}
	at := d.tryAt(q.eps[0])
	return at > 0 && at <= d.now.Add(tryEach)
}

// pausedTo is until when nothing is sent: a told wait binds always, a pause of our own not the one that
// tries for all.
func (d *Dispatcher) pausedTo(q *queue) instant.Time {
	if d.tries(q) {
		return q.waitUntil
	}
	return max(q.waitUntil, q.holdUntil)
}

// pacedBy takes in what other relays send a destination. One that has just started, and so has learned no
// pace of its own, begins with the fleet's.
func (d *Dispatcher) pacedBy(e PeerRateReceived) {
	q := d.sharedQueue(e.Destination, true)
	if q == nil {
		return
	}
	d.relays, q.paced, q.pacedTo = e.LiveRelays, e, d.now.Add(e.ValidFor)
	if d.s.Zones {
		d.apportion(q, e.ArrivalRateByZone)
	}
	if q.n == 0 && q.refusedAt == 0 && q.weight > 0 {
		q.pace = d.even(q) * math.Min(paceRoom, math.Max(paceFloor, e.RateShare))
		q.tokens = math.Min(q.tokens, math.Max(1, q.pace*burstSpan.Seconds()))
	}
}

// there is how many relays share the traffic.
func (d *Dispatcher) there() float64 {
	if d.relays > 0 {
		return float64(min(d.relays, d.s.FleetSize))
	}
	return float64(d.s.FleetSize)
}

// part is this relay's part of what the fleet may send a destination, by the traffic that it has for it, as
// a multiple of an even share. What the others get is known from few: it is taken for a standard error more.
func (d *Dispatcher) part(q *queue) float64 {
	if d.now >= q.pacedTo || q.paced.Reporters < witnesses {
		return 1
	}
	usual := q.paced.ArrivalRate + q.paced.ArrivalRateError
	return math.Min(partMost, math.Max(partLeast, q.arrivals.rate(d.now)/math.Max(1e-9, usual)))
}
