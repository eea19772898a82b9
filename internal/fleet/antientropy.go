package fleet

import (
	"slices"
	"time"
)

// Anti-entropy sends facts to the relays that missed their broadcasts (Demers and others, "Epidemic algorithms for
// replicated database maintenance", 1987). It has four steps:
//
//  1. Each relay periodically sends the digest of its store to a random peer.
//  2. If the peer's own digest differs, it answers with its bucket digests.
//  3. The first relay answers with its facts in the buckets whose digests differ, and with its own bucket digests.
//  4. The peer answers with its facts in those buckets.
//
// Facts in buckets with equal digests are not sent.

// sendDigest removes expired facts and returns a message with this relay's digest to a random peer.
func (n *Node) sendDigest(now time.Duration) (out []Outgoing) {
	n.nextDigestAt = now + n.jitter(digestInterval)
	n.RemoveExpired(now)
	peer, ok := n.randomPeer()
	if !ok {
		return nil
	}
	data, _ := encodeMessage(flagDigest, n.Digest(now), nil, now)
	return []Outgoing{{peer, data}}
}

// reconcile returns the answer to the digests in a message, or nil if there are none or the digest equals this relay's own.
func (n *Node) reconcile(from int, received *message, now time.Duration) []Outgoing {
	switch {
	case received.flags&flagBucketDigests != 0:
		return n.sendDifferences(from, received, now)
	case received.flags&flagDigest != 0 && received.digest != n.Digest(now):
		own := n.BucketDigests(now)
		data, _ := encodeWithBuckets(flagAnswer, 0, &own, nil, now)
		return []Outgoing{{from, data}}
	}
	return nil
}

// sendDifferences returns messages with the facts in the buckets whose digests differ. If the facts don't fit into
// maxAnswerMessages messages, a random selection is sent. If the received message is itself the answer to a digest, the
// peer does not have this relay's bucket digests yet, and they are sent too.
func (n *Node) sendDifferences(to int, received *message, now time.Duration) (out []Outgoing) {
	own := n.BucketDigests(now)
	var digests *BucketDigests
	if received.flags&flagAnswer != 0 {
		digests = &own
	}
	var facts []Fact
	n.eachComparable(now, func(fact Fact) {
		if bucket := fact.bucket(); own[bucket] != received.buckets[bucket] {
			facts = append(facts, fact)
		}
	})
	// Sorting first makes the shuffle depend on the seed only, not on the iteration order of a map.
	slices.SortFunc(facts, func(a, b Fact) int { return compareID(a.FactID, b.FactID) })
	n.rng.Shuffle(len(facts), func(i, j int) { facts[i], facts[j] = facts[j], facts[i] })
	for len(out) < maxAnswerMessages && (len(facts) > 0 || digests != nil) {
		data, sent := encodeWithBuckets(0, 0, digests, facts, now)
		out = append(out, Outgoing{to, data})
		facts, digests = facts[sent:], nil
	}
	return out
}
