package fleet

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Everyone is the receiver of a note that goes to every other relay.
	Everyone = -1
	// tellings is how often a new fact is told at most, at tellAt after it was learned: each time reaches those that lost
	// all before it. It is told as often as leaves missed of the fleet to anti-entropy, by the share of the beats that is
	// lost, which is taken for lossUnknown where none have come.
	tellings            = 4
	missed, lossUnknown = 0.005, 0.05
	lossGain            = 1.0 / 64 // the weight of a beat in the share of those that are lost
	// tellers is how many of the relays that meet the same thing at once tell of it, in the mean.
	tellers = 8
	// alike is how old what is said of a thing may be for a new observation of the same to add little.
	alike = 300 * time.Millisecond
	// together is how long facts wait for others to travel with.
	together = 10 * time.Millisecond
	// beatEach sets how often a relay tells of itself: so long for each member, but no more often than beatLeast, so
	// that what the fleet sends in all grows with its size and not with the square of it.
	beatEach, beatLeast = 100 * time.Millisecond, 5 * time.Second
	// digestEach is how often a relay compares with one other, drawn.
	digestEach = 400 * time.Millisecond
	// newcomerAsks a newcomer asks of one relay each, drawn, askAgain apart, until newcomerHears notes have answered it;
	// an answer has briefNotes at most.
	newcomerAsks, newcomerHears, briefNotes = 4, 2, 4
	askAgain                                = 300 * time.Millisecond
	// suspectAfter beats that were missed a member is suspected, goneAfter it counts as gone.
	suspectAfter, goneAfter = 2.5, 5.0
)

var tellAt = [tellings]time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond}

// Outgoing is a note to be sent.
type Outgoing struct {
	To      int // number of a relay, or All
	Message []byte
}

// Node is one relay's part in the fleet.
type Node struct {
	*Store
	self        uint16
	size        int // relays of the configuration
	incarnation uint32
	seq         uint32
	draw        *rand.Rand
	version     string
	zone        uint64

	rumours  []rumour
	heard    map[int]time.Duration // when the last note came from a relay
	started  time.Duration
	beatAt   time.Duration
	digestAt time.Duration
	asks     int // a newcomer's questions for what others know
	answers  int // that came
	beats    uint64
	lastBeat map[int]beat      // that came from a relay
	loss     float64           // share of the beats that are lost
	paces    map[string]uint64 // destinations' paces that are to be told with the next beat
}

// beat is one telling of a member, by its number since its process started.
type beat struct {
	incarnation uint32
	no          uint64
}

// zoneBits of a member's value are its zone, the others the number of its beat.
const zoneBits = 8

// rumour is a fact that is still to be told.
type rumour struct {
	id    FactID
	stamp FactVersion
	from  time.Duration // when it was learned
	told  int
}

// NewNode gives a node that knows of itself alone. incarnation has to grow with each start of a relay's process.
func NewNode(self, size int, incarnation uint32, version string, zone int, seed uint64, now time.Duration) *Node {
	n := &Node{Store: NewStore(), self: uint16(self), size: size, incarnation: incarnation, version: version, zone: uint64(max(0, zone)) & (1<<zoneBits - 1),
		draw: rand.New(rand.NewPCG(seed, uint64(self))), heard: map[int]time.Duration{}, started: now, paces: map[string]uint64{},
		lastBeat: map[int]beat{}, loss: lossUnknown}
	n.beatAt = now + time.Duration(n.draw.Float64()*float64(n.HeartbeatInterval()))
	n.digestAt = now + time.Duration(n.draw.Float64()*float64(digestEach))
	return n
}

// HeartbeatInterval is how often each relay tells of itself.
func (n *Node) HeartbeatInterval() time.Duration {
	return max(beatLeast, time.Duration(n.size)*beatEach)
}

// Observe takes in what this relay observed itself at a moment, to tell all. Of common things, which many meet at once, few
// tell, and the others keep it to themselves: each further origin adds little, and would have to go round as well.
func (n *Node) Observe(kind Kind, key string, value uint64, common bool, seen, now time.Duration) {
	if len(key) > maxKey {
		return
	}
	origins, youngest := n.CountReporters(kind, key, now)
	known := origins > 0 && youngest < alike
	if common && known && n.draw.Float64()*float64(n.size) >= tellers {
		return
	}
	f := n.own(kind, key, value, min(seen, now))
	n.Merge(f, now)
	n.rumours = append(n.rumours, rumour{f.FactID, f.FactVersion, now, 0})
}

// own is a new fact of this relay's.
func (n *Node) own(kind Kind, key string, value uint64, now time.Duration) Fact {
	n.seq++
	return Fact{FactID: FactID{kind, n.self, key}, FactVersion: FactVersion{n.incarnation, n.seq}, Value: value, ObservedAt: now, Via: n.self}
}

// ObserveRate takes in what this relay sends a destination and what arrives for it, as PaceValue has it. It is told with
// the next beat, the latest value alone.
func (n *Node) ObserveRate(key string, value uint64) {
	if len(key) <= maxKey {
		n.paces[key] = value
	}
}

// NextTick is when Tick has something to do.
func (n *Node) NextTick() time.Duration {
	next := min(n.beatAt, n.digestAt)
	if n.asking() {
		next = min(next, n.askAt())
	}
	for _, r := range n.rumours {
		next = min(next, r.from+together+tellAt[r.told])
	}
	return next
}

// Tick gives the notes that are due.
func (n *Node) Tick(now time.Duration) (out []Outgoing) {
	if now >= n.beatAt {
		n.beatAt = now + time.Duration((0.75+0.5*n.draw.Float64())*float64(n.HeartbeatInterval()))
		n.beats++
		told := []Fact{n.own(KindMember, n.version, n.beats<<zoneBits|n.zone, now)}
		for key, value := range n.paces {
			told = append(told, n.own(KindSendRate, key, value, now))
		}
		clear(n.paces)
		for _, f := range told {
			n.Merge(f, now)
		}
		note, _ := pack(0, 0, told, now)
		out = append(out, Outgoing{Everyone, note})
	}
	if n.asking() && now >= n.askAt() {
		n.asks++
		if to, ok := n.peer(); ok {
			note, _ := pack(isNewcomer, 0, nil, now)
			out = append(out, Outgoing{to, note})
		}
	}
	var due []Fact
	left := n.rumours[:0]
	for _, r := range n.rumours {
		f := n.facts[r.id]
		if f.FactVersion != r.stamp { // something newer is known
			continue
		}
		if now >= r.from+together+tellAt[r.told] {
			due = append(due, f)
			r.told++
		}
		if r.told < n.tellings() {
			left = append(left, r)
		}
	}
	n.rumours = left
	for len(due) > 0 {
		note, sent := pack(0, 0, due, now)
		out = append(out, Outgoing{Everyone, note})
		due = due[max(1, sent):]
	}
	if now >= n.digestAt {
		n.digestAt = now + time.Duration((0.75+0.5*n.draw.Float64())*float64(digestEach))
		n.RemoveExpired(now)
		if to, ok := n.peer(); ok {
			note, _ := pack(hasDigest, n.Digest(now), nil, now)
			out = append(out, Outgoing{to, note})
		}
	}
	return out
}

// Receive takes in a note of another relay, and gives what is said in return. fresh is what was new in it.
func (n *Node) Receive(from int, note []byte, now time.Duration) (out []Outgoing, fresh []Fact) {
	m, ok := parse(note)
	if !ok || from == int(n.self) {
		return nil, nil
	}
	n.heard[from] = now
	for _, f := range m.facts {
		f.ObservedAt += now
		f.Via = uint16(from)
		if f.Kind == KindMember && f.direct() {
			n.count(f)
		}
		if f.Origin == n.self { // what an earlier process of ours said, or a lie: we know better
			continue
		}
		if n.Merge(f, now) {
			fresh = append(fresh, f)
		}
	}
	if m.flags&isBrief != 0 {
		n.answers++
	}
	if m.flags&isNewcomer != 0 {
		return n.brief(from, now), fresh
	}
	// Three steps: a digest that differs is answered with the sums of buckets; the one that asked gives its facts of those
	// that differ, with its own sums; and the other gives its own. What both have does not travel.
	switch {
	case m.flags&hasSums != 0:
		return n.differing(from, m.sums, m.flags&isAnswer != 0, now), fresh
	case m.flags&hasDigest != 0 && m.digest != n.Digest(now):
		sums := n.BucketDigests(now)
		note, _ := packSums(isAnswer, 0, &sums, nil, now)
		return append(out, Outgoing{from, note}), fresh
	}
	return nil, fresh
}

// differing gives another relay the facts of the buckets in which its sums are not ours, as far as some notes hold them,
// drawn where there are more; with our own sums where it does not have them yet.
func (n *Node) differing(to int, theirs BucketDigests, tell bool, now time.Duration) (out []Outgoing) {
	own := n.BucketDigests(now)
	var sums *BucketDigests
	if tell {
		sums = &own
	}
	var facts []Fact
	n.moving(now, func(f Fact) {
		if b := f.bucket(); own[b] != theirs[b] {
			facts = append(facts, f)
		}
	})
	slices.SortFunc(facts, func(a, b Fact) int { return a.FactID.compare(b.FactID) }) // what is drawn does not follow a map's order
	n.draw.Shuffle(len(facts), func(i, j int) { facts[i], facts[j] = facts[j], facts[i] })
	for len(out) < briefNotes && (len(facts) > 0 || sums != nil) {
		note, sent := packSums(0, 0, sums, facts, now)
		out = append(out, Outgoing{to, note})
		facts, sums = facts[sent:], nil
	}
	return out
}

// count learns from the numbers of the beats of one member how many get lost.
func (n *Node) count(f Fact) {
	last, now := n.lastBeat[int(f.Origin)], beat{f.Incarnation, f.Value >> zoneBits}
	if last.incarnation == now.incarnation && now.no > last.no {
		lost := float64(min(now.no-last.no, 8) - 1)
		n.loss += lossGain * (lost + 1) * (lost/(lost+1) - n.loss)
	}
	if now.incarnation > last.incarnation || now.incarnation == last.incarnation && now.no > last.no {
		n.lastBeat[int(f.Origin)] = now
	}
}

// tellings is how often a new fact is told.
func (n *Node) tellings() int {
	again := math.Log(missed) / math.Log(min(0.9, max(1e-9, n.loss)))
	return min(tellings, max(1, int(math.Ceil(again))))
}

// Zone gives a member's zone.
func (f Fact) Zone() int { return int(f.Value & (1<<zoneBits - 1)) }

// asking tells whether this relay has just started and knows of nothing yet.
func (n *Node) asking() bool { return n.answers < newcomerHears && n.asks < newcomerAsks && n.size > 1 }

func (n *Node) askAt() time.Duration { return n.started + time.Duration(n.asks)*askAgain }

// brief tells a newcomer what there is, in few notes: of each thing the youngest two.
func (n *Node) brief(to int, now time.Duration) (out []Outgoing) {
	all := n.Facts(0, now)
	slices.SortStableFunc(all, func(a, b AgedFact) int { return cmp.Compare(a.Age, b.Age) })
	said := map[topic]int{}
	var facts []Fact
	for _, a := range all {
		if t := (topic{a.Kind, a.Key}); a.Kind != KindMember && a.Origin != uint16(to) && said[t] < 2 {
			said[t]++
			facts = append(facts, a.Fact)
		}
	}
	for len(out) < briefNotes && (len(facts) > 0 || len(out) == 0) {
		note, sent := pack(isBrief, 0, facts, now)
		out = append(out, Outgoing{to, note})
		facts = facts[sent:]
	}
	return out
}

// peer draws another relay.
func (n *Node) peer() (int, bool) {
	if n.size < 2 {
		return 0, false
	}
	p := n.draw.IntN(n.size - 1)
	if p >= int(n.self) {
		p++
	}
	return p, true
}

// LiveMembers lists the members that count as there, this one included: those heard of, by a note of theirs or by another's
// word of them, within goneAfter beats. One that has just started, and so can't know, counts all of the configuration.
func (n *Node) LiveMembers(now time.Duration) (live []int) {
	within := time.Duration(goneAfter * float64(n.HeartbeatInterval()))
	for i := range n.size {
		if i == int(n.self) || now-n.started < within || n.silence(i, now) < within {
			live = append(live, i)
		}
	}
	return live
}

// Suspected tells whether a member has missed some beats.
func (n *Node) Suspected(member int, now time.Duration) bool {
	return n.silence(member, now) >= time.Duration(suspectAfter*float64(n.HeartbeatInterval()))
}

// silence is how long a member has not been heard of.
func (n *Node) silence(member int, now time.Duration) time.Duration {
	last, ok := n.heard[member]
	if !ok {
		last = n.started
	}
	return now - last
}

// LiveByZone counts live members by zone: those whose zone is not known are shared out like the others.
// live is in order, as Live gives it.
func (n *Node) LiveByZone(live []int, now time.Duration) map[int]float64 {
	known, all := map[int]float64{}, 0.0
	for id, f := range n.facts {
		if id.Kind != KindMember {
			continue
		}
		a, ok := f.aged(now)
		if _, there := slices.BinarySearch(live, int(a.Origin)); ok && there {
			known[a.Zone()]++
			all++
		}
	}
	for zone := range known {
		known[zone] *= float64(len(live)) / all
	}
	return known
}
