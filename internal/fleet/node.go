package fleet

import (
	"math/rand/v2"
	"time"
)

// AllRelays is the value of Outgoing.To for a message to all other relays.
const AllRelays = -1

// Outgoing is a message to send.
type Outgoing struct {
	To      int // number of the receiving relay, or AllRelays
	Message []byte
}

// Node runs the gossip protocol of one relay. All times are durations since an arbitrary start, by a monotonic clock that the
// caller reads.
type Node struct {
	*Store
	self        uint16 // number of this relay
	size        int    // number of relays in the configuration
	incarnation uint32
	seq         uint32 // sequence number of the last fact that this relay published
	version     string // version of the program
	zone        uint64 // zone of this relay, within zoneMask
	rng         *rand.Rand
	startedAt   time.Duration

	broadcasts      transmitLimitedQueue
	join            joinState
	losses          lossEstimator
	lastReceivedAt  map[int]time.Duration // time of the last message from each relay, by its number
	nextHeartbeatAt time.Duration
	nextDigestAt    time.Duration
	heartbeatSeq    uint64            // sequence number of the last heartbeat of this relay
	pendingRates    map[string]uint64 // send rates to announce with the next heartbeat, by destination
}

// NewNode returns a node without facts. Each process of a relay must have a higher incarnation than the process before, since
// other relays ignore facts with a lower one.
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

// Observe records an observation that this relay made at observedAt, and enqueues it for broadcast. A common observation is
// one that many relays make at about the same time: if it was already reported within dedupWindow, only a random few of the
// other relays record and report it too, since each further report adds little information at the same cost.
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

// newFact returns a fact of this relay with the next sequence number.
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

// ObserveRate sets this relay's send rate to the destination with the given key; value is the result of EncodeRate. The next
// heartbeat announces the latest value.
func (n *Node) ObserveRate(key string, value uint64) {
	if len(key) <= maxKeySize {
		n.pendingRates[key] = value
	}
}

// NextTick returns the time at which Tick has to be called next.
func (n *Node) NextTick() time.Duration {
	next := min(n.nextHeartbeatAt, n.nextDigestAt)
	if n.joining() {
		next = min(next, n.nextJoinRequestAt())
	}
	return n.broadcasts.nextDueAt(next)
}

// Tick returns the messages that are due at now: heartbeats, join requests, broadcasts and digests.
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

// Receive processes a message from another relay. It returns the answers to send and the facts that were new to this relay.
// A message that can't be decoded is ignored.
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

// mergeAll merges the facts of a message and returns the new ones. Facts with this relay as their origin are ignored: only
// this relay writes them, so those in a message are copies, date from an earlier process or are forged.
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

// randomPeer returns the number of a random other relay, or false if the fleet has no other.
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

// jitter returns the interval multiplied by a random factor: see jitterMin.
func (n *Node) jitter(interval time.Duration) time.Duration {
	return time.Duration((jitterMin + jitterSpan*n.rng.Float64()) * float64(interval))
}
