package fleet

import (
	"math/rand/v2"
	"time"
)

// AllRelays is the receiver of a message to all other relays.
const AllRelays = -1

// Outgoing is a message to send.
type Outgoing struct {
	To      int // number of a relay, or AllRelays
	Message []byte
}

// Node is the gossip protocol of one relay. Times are durations since an arbitrary start, by a monotonic clock.
type Node struct {
	*Store
	self        uint16
	size        int // number of relays in the configuration
	incarnation uint32
	seq         uint32 // of the last fact
	version     string
	zone        uint64
	rng         *rand.Rand
	startedAt   time.Duration

	broadcasts      transmitLimitedQueue
	join            joinState
	losses          lossEstimator
	lastReceivedAt  map[int]time.Duration // time of the last message, by relay
	nextHeartbeatAt time.Duration
	nextDigestAt    time.Duration
	heartbeatSeq    uint64
	pendingRates    map[string]uint64 // send rates to announce with the next heartbeat, by destination
}

// NewNode returns a node without facts. incarnation must grow with each process of a relay.
func NewNode(self, size int, incarnation uint32, version string, zone int, seed uint64, now time.Duration) *Node {
	node := &Node{
		Store:          NewStore(),
		self:           uint16(self),
		size:           size,
		incarnation:    incarnation,
		version:        version,
		zone:           uint64(max(0, zone)) & zoneMask,
		rng:            rand.New(rand.NewPCG(seed, uint64(self))),
		startedAt:      now,
		losses:         newLossEstimator(),
		lastReceivedAt: map[int]time.Duration{},
		pendingRates:   map[string]uint64{},
	}
	node.nextHeartbeatAt = now + time.Duration(node.rng.Float64()*float64(node.HeartbeatInterval()))
	node.nextDigestAt = now + time.Duration(node.rng.Float64()*float64(digestInterval))
	return node
}

// Observe records an observation of this relay, made at observedAt, and enqueues it for broadcast. Many relays make a
// common observation at about the same time: if one was reported within the dedup window, only a random few of the others
// report theirs, since each further report adds little and costs as much.
func (n *Node) Observe(kind Kind, key string, value uint64, common bool, observedAt, now time.Duration) {
	if len(key) > maxKeySize {
		return
	}
	reporters, youngest := n.CountReporters(kind, key, now)
	reported := reporters > 0 && youngest < dedupWindow
	if common && reported && n.rng.Float64()*float64(n.size) >= fanOut {
		return
	}
	fact := n.newFact(kind, key, value, min(observedAt, now))
	n.Merge(fact, now)
	n.broadcasts.enqueue(fact, now)
}

// newFact returns a fact of this relay with the next version.
func (n *Node) newFact(kind Kind, key string, value uint64, observedAt time.Duration) Fact {
	n.seq++
	return Fact{
		FactID:      FactID{kind, n.self, key},
		FactVersion: FactVersion{n.incarnation, n.seq},
		Value:       value,
		ObservedAt:  observedAt,
		Via:         n.self,
	}
}

// ObserveRate sets this relay's send rate to a destination, as EncodeRate returns it. The next heartbeat announces the
// latest value.
func (n *Node) ObserveRate(key string, value uint64) {
	if len(key) <= maxKeySize {
		n.pendingRates[key] = value
	}
}

// NextTick returns the time at which Tick has work to do.
func (n *Node) NextTick() time.Duration {
	next := min(n.nextHeartbeatAt, n.nextDigestAt)
	if n.joining() {
		next = min(next, n.nextJoinRequestAt())
	}
	return n.broadcasts.nextDueAt(next)
}

// Tick returns the messages that are due.
func (n *Node) Tick(now time.Duration) (out []Outgoing) {
	if now >= n.nextHeartbeatAt {
		out = append(out, n.heartbeat(now))
	}
	if n.joining() && now >= n.nextJoinRequestAt() {
		out = append(out, n.joinRequest(now)...)
	}
	out = append(out, n.broadcastDue(now)...)
	if now >= n.nextDigestAt {
		out = append(out, n.sendDigest(now)...)
	}
	return out
}

// Receive takes in a message of another relay, and returns the answers and the facts that were new. A message that can't be
// decoded is ignored.
func (n *Node) Receive(from int, data []byte, now time.Duration) (out []Outgoing, fresh []Fact) {
	received, err := decodeMessage(data)
	if err != nil || from == int(n.self) {
		return nil, nil
	}
	n.lastReceivedAt[from] = now
	fresh = n.mergeAll(from, received.facts, now)
	if received.flags&flagJoinAnswer != 0 {
		n.join.answers++
	}
	if received.flags&flagJoin != 0 {
		return n.joinAnswer(from, now), fresh
	}
	return n.reconcile(from, &received, now), fresh
}

// mergeAll merges the facts of a message and returns the new ones. This relay is the only writer of its own facts: those of
// a message come from an earlier process or are forged, and are ignored.
func (n *Node) mergeAll(from int, facts []Fact, now time.Duration) (fresh []Fact) {
	for _, fact := range facts {
		fact.ObservedAt += now
		fact.Via = uint16(from)
		if fact.Kind == KindMember && fact.firstHand() {
			n.losses.record(fact)
		}
		if fact.Origin != n.self && n.Merge(fact, now) {
			fresh = append(fresh, fact)
		}
	}
	return fresh
}

// randomPeer returns another relay, if there is one.
func (n *Node) randomPeer() (int, bool) {
	if n.size < 2 {
		return 0, false
	}
	peer := n.rng.IntN(n.size - 1)
	if peer >= int(n.self) {
		peer++
	}
	return peer, true
}

// jitter returns a random duration around an interval.
func (n *Node) jitter(interval time.Duration) time.Duration {
	return time.Duration((jitterMin + jitterSpan*n.rng.Float64()) * float64(interval))
}
