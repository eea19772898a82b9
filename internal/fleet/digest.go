package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// digestBuckets is the number of buckets that facts are hashed into. It is part of the message format: with two bytes
	// a bucket, the digests take half of a message.
	digestBuckets = 64
	// digestMargin is the remaining lifetime below which a fact is left out of digests: the clocks of two relays disagree
	// on the moment at which it expires.
	digestMargin = time.Second
)

// BucketDigests holds a digest for each bucket of facts. Two relays whose digests of a bucket differ hold different facts
// in it.
type BucketDigests [digestBuckets]uint16

// BucketDigests returns the digests of the facts that anti-entropy compares: all but periodic ones and those about to expire.
func (s *Store) BucketDigests(now time.Duration) (digests BucketDigests) {
	s.eachComparable(now, func(fact Fact) {
		hash := fact.hash()
		digests[fact.bucket()] += uint16(hash ^ hash>>16 ^ hash>>32 ^ hash>>48)
	})
	return digests
}

// Digest returns one digest of the same facts. It is a sum over hashes, so it does not depend on their order.
func (s *Store) Digest(now time.Duration) uint32 {
	var sum uint64
	s.eachComparable(now, func(fact Fact) { sum += fact.hash() })
	return uint32(sum ^ sum>>32)
}

// eachComparable calls yield with each fact that anti-entropy compares.
func (s *Store) eachComparable(now time.Duration, yield func(Fact)) {
	for about, origins := range s.origins {
		if about.kind.periodic() {
			continue
		}
		for _, origin := range origins {
			fact := s.facts[FactID{about.kind, origin, about.key}]
			if now-fact.ObservedAt < Lifetimes[fact.Kind].ExpiresAfter-digestMargin {
				yield(fact)
			}
		}
	}
}

// bucket returns the bucket of the fact's ID.
func (f Fact) bucket() int {
	return int(xxhash.Sum64String(f.Key+"\x00"+string(rune(f.Kind))+string(rune(f.Origin))) % digestBuckets)
}

// hash returns a hash of the fact without its age, which differs between relays.
func (f Fact) hash() uint64 { return xxhash.Sum64(f.appendTo(nil, 0)) }
