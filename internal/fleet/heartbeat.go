package fleet

import (
	"math"
	"time"
)

// zoneBits is the number of low bits of a heartbeat's value that hold the zone; the others hold its sequence number.
const zoneBits = 8

// zoneMask selects the zone in a heartbeat's value.
const zoneMask = 1<<zoneBits - 1

// Zone returns the zone of the origin. The fact must be a heartbeat (KindMember).
func (f Fact) Zone() int { return int(f.Value & zoneMask) }

// HeartbeatInterval returns the mean interval between the heartbeats of one relay.
func (n *Node) HeartbeatInterval() time.Duration {
	return max(minHeartbeatInterval, time.Duration(n.size)*heartbeatIntervalPerRelay)
}

// heartbeat returns a message to all relays with a heartbeat and the send rates that were set since the previous heartbeat.
func (n *Node) heartbeat(now time.Duration) Outgoing {
	n.nextHeartbeatAt = now + n.jitter(n.HeartbeatInterval())
	n.heartbeatSeq++
	facts := []Fact{n.newFact(KindMember, n.version, n.heartbeatSeq<<zoneBits|n.zone, now)}
	for key, value := range n.pendingRates {
		facts = append(facts, n.newFact(KindSendRate, key, value, now))
	}
	clear(n.pendingRates)
	for _, fact := range facts {
		n.Merge(fact, now)
	}
	data, _ := encodeMessage(0, 0, facts, now)
	return Outgoing{AllRelays, data}
}

// heartbeatID identifies one heartbeat of a member.
type heartbeatID struct {
	incarnation uint32
	seq         uint64
}

// lossEstimator estimates the share of messages that the network loses, from gaps in the sequence numbers of the heartbeats
// of other relays.
type lossEstimator struct {
	rate float64             // estimated loss rate, from 0 to 1
	last map[int]heartbeatID // latest heartbeat received directly from each relay, by its number
}

func newLossEstimator() lossEstimator {
	return lossEstimator{rate: initialLossRate, last: map[int]heartbeatID{}}
}

// record updates the estimate with a heartbeat that was received directly from its origin.
func (e *lossEstimator) record(fact Fact) {
	last := e.last[int(fact.Origin)]
	current := heartbeatID{fact.Incarnation, fact.Value >> zoneBits}
	sameProcess := last.incarnation == current.incarnation
	if sameProcess && current.seq > last.seq {
		lost := float64(min(current.seq-last.seq, maxHeartbeatGap) - 1)
		e.rate += lossSmoothing * (lost + 1) * (lost/(lost+1) - e.rate)
	}
	if current.incarnation > last.incarnation || sameProcess && current.seq > last.seq {
		e.last[int(fact.Origin)] = current
	}
}

// transmitLimit returns how many times to broadcast a fact so that the expected share of relays that receive none of the
// broadcasts is at most acceptedMissShare. The result is between 1 and maxTransmits.
func (e *lossEstimator) transmitLimit() int {
	lossRate := min(maxLossRate, max(minLossRate, e.rate))
	wanted := math.Log(acceptedMissShare) / math.Log(lossRate)
	return min(maxTransmits, max(1, int(math.Ceil(wanted))))
}
