package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// digestBuckets is the number of buckets that facts are hashed into. It is part of the message format: at two bytes
	// per bucket, the bucket digests take up half of a message.
	digestBuckets = 64
	// digestMargin is the remaining lifetime below which a fact is left out of digests. Two relays disagree slightly on a
	// fact's age; without the margin, their digests would differ whenever only one of them counts a fact as expired.
	digestMargin = time.Second
)

// BucketDigests holds one digest for each bucket of facts. If the digests of a bucket differ between two relays, so do their
// facts in that bucket.
type BucketDigests [digestBuckets]uint16

// BucketDigests returns the digests, by bucket, of the facts that anti-entropy compares (see eachComparable).
func (s *Store) BucketDigests(now time.Duration) (digests BucketDigests) {
	s.eachComparable(now, func(fact Fact) {
		hash := fact.hash()
		digests[fact.bucket()] += uint16(hash ^ hash>>16 ^ hash>>32 ^ hash>>48)
	})
	return digests
}

// Digest returns one digest over all facts that anti-entropy compares. It is a sum of hashes, so the order of the facts does
// not matter.
func (s *Store) Digest(now time.Duration) uint32 {
	var sum uint64
	s.eachComparable(now, func(fact Fact) { sum += fact.hash() })
	return uint32(sum ^ sum>>32)
}

// eachComparable calls yield with each fact that anti-entropy compares: all facts except those of periodic kinds and those
// that expire within digestMargin.
func (s *Store) eachComparable(now time.Duration, yield func(Fact)) {
	for factSubject, origins := range s.origins {
		if factSubject.kind.periodic() {
			continue
		}
		for _, origin := range origins {
			fact := s.facts[FactID{factSubject.kind, origin, factSubject.key}]
			if now-fact.ObservedAt < Lifetimes[fact.Kind].ExpiresAfter-digestMargin {
				yield(fact)
			}
		}
	}
}

// bucket returns the index of the bucket that the fact's ID is hashed into.
func (f Fact) bucket() int {
	return int(xxhash.Sum64String(f.Key+"\x00"+string(rune(f.Kind))+string(rune(f.Origin))) % digestBuckets)
}

// hash returns a hash of the fact. The age is left out because it differs between relays.
func (f Fact) hash() uint64 { return xxhash.Sum64(f.appendTo(nil, 0)) }
