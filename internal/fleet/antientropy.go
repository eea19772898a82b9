package fleet

import (
	"slices"
	"time"
)

// Anti-entropy repairs what broadcasts missed (Demers and others, "Epidemic algorithms for replicated database
// maintenance", 1987). Each relay sends its digest to a random peer. A peer whose own differs answers with its bucket
// digests; the first relay answers with its facts of the buckets that differ and its own bucket digests; and the peer
// answers with its facts. Facts that both have are not sent.

// sendDigest returns a message with this relay's digest to a random peer, after expired facts are removed.
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

// reconcile returns the answer to a message's digests, if it has any that differ.
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

// sendDifferences returns the facts of the buckets whose digests differ, a random selection if they don't fit, and this
// relay's bucket digests if the peer does not have them yet.
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
	// The selection depends on the seed alone, not on the iteration order of a map.
	slices.SortFunc(facts, func(a, b Fact) int { return compareID(a.FactID, b.FactID) })
	n.rng.Shuffle(len(facts), func(i, j int) { facts[i], facts[j] = facts[j], facts[i] })
	for len(out) < maxAnswerMessages && (len(facts) > 0 || digests != nil) {
		data, sent := encodeWithBuckets(0, 0, digests, facts, now)
		out = append(out, Outgoing{to, data})
		facts, digests = facts[sent:], nil
	}
	return out
}
