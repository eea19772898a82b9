package fleet

import (
	"slices"
	"time"
)

// LiveMembers returns the numbers of the members that count as live, in ascending order: this relay, and those from which any
// message was received within the failure timeout. Until this relay has run for that long, all relays of the configuration
// count as live.
func (n *Node) LiveMembers(now time.Duration) (live []int) {
	timeout := n.heartbeatIntervals(failureTimeout)
	for member := range n.size {
		if member == int(n.self) || now-n.startedAt < timeout || n.silence(member, now) < timeout {
			live = append(live, member)
		}
	}
	return live
}

// Suspected reports whether no message was received from the member for at least the suspicion timeout.
func (n *Node) Suspected(member int, now time.Duration) bool {
	return n.silence(member, now) >= n.heartbeatIntervals(suspicionTimeout)
}

// heartbeatIntervals returns the duration of the given number of heartbeat intervals.
func (n *Node) heartbeatIntervals(count float64) time.Duration {
	return time.Duration(count * float64(n.HeartbeatInterval()))
}

// silence returns the time since the last message from a member, or since the start of this relay if there was none.
func (n *Node) silence(member int, now time.Duration) time.Duration {
	last, ok := n.lastReceivedAt[member]
	if !ok {
		last = n.startedAt
	}
	return now - last
}

// LiveByZone returns the number of live members in each zone. Live members without a known zone are assigned to the zones in
// proportion to those with a known one, so the numbers can be fractional. live must be in ascending order, as LiveMembers
// returns it.
func (n *Node) LiveByZone(live []int, now time.Duration) map[int]float64 {
	members, known := map[int]float64{}, 0.0
	for id, fact := range n.facts {
		if id.Kind != KindMember {
			continue
		}
		heartbeat, ok := fact.withAge(now)
		if _, isLive := slices.BinarySearch(live, int(heartbeat.Origin)); ok && isLive {
			members[heartbeat.Zone()]++
			known++
		}
	}
	for zone := range members {
		members[zone] *= float64(len(live)) / known
	}
	return members
}
