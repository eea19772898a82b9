package endpoints

const (
	// shardBits is the binary logarithm of the number of shards of an index. Each shard grows independently, so that an
	// insertion moves at most a few thousand slots.
	shardBits = 8
	// minShardSize is the number of places of a shard after its first insertion. The number doubles whenever the shard grows.
	minShardSize = 8
	// none stands for the absence of a slot.
	none = 1<<32 - 1
)

// index maps 64-bit hashes to slots. It is a hash table with open addressing and linear probing that stores slot numbers only;
// the keys stay with its owner, which supplies hashOf to return the hash of the key at a slot.
type index struct {
	shards [1 << shardBits]shard
	hashOf func(slot uint32) uint64
}

// shard is the part of an index for the hashes with the same top shardBits bits.
type shard struct {
	places []uint32 // slot number + 1; 0 for a free place
	count  int      // number of occupied places
}

func newIndex(hashOf func(slot uint32) uint64) *index { return &index{hashOf: hashOf} }

func (x *index) shard(hash uint64) *shard { return &x.shards[hash>>(64-shardBits)] }

// find returns the first slot in the probe sequence of a hash for which same returns true, or none. Slots with other hashes may
// be passed to same.
func (x *index) find(hash uint64, same func(slot uint32) bool) uint32 {
	s := x.shard(hash)
	if len(s.places) == 0 {
		return none
	}
	mask := uint64(len(s.places) - 1)
	for at := hash & mask; s.places[at] != 0; at = (at + 1) & mask {
		if slot := s.places[at] - 1; same(slot) {
			return slot
		}
	}
	return none
}

// add inserts a slot that the index does not contain. The shard grows once it would be more than three quarters full.
func (x *index) add(hash uint64, slot uint32) {
	s := x.shard(hash)
	if (s.count+1)*4 > len(s.places)*3 {
		x.grow(s)
	}
	s.insert(hash, slot)
	s.count++
}

func (x *index) grow(s *shard) {
	old := s.places
	s.places = make([]uint32, max(minShardSize, 2*len(old)))
	for _, place := range old {
		if place != 0 {
			s.insert(x.hashOf(place-1), place-1)
		}
	}
}

func (s *shard) insert(hash uint64, slot uint32) {
	mask := uint64(len(s.places) - 1)
	at := hash & mask
	for s.places[at] != 0 {
		at = (at + 1) & mask
	}
	s.places[at] = slot + 1
}

// remove removes a slot that the index contains, and moves later slots of its probe sequence back (backward shift
// deletion), so that no tombstone is needed.
func (x *index) remove(hash uint64, slot uint32) {
	s := x.shard(hash)
	mask := uint64(len(s.places) - 1)
	gap := hash & mask
	for s.places[gap] != slot+1 {
		gap = (gap + 1) & mask
	}
	for at := (gap + 1) & mask; s.places[at] != 0; at = (at + 1) & mask {
		home := x.hashOf(s.places[at]-1) & mask
		if (at-home)&mask >= (at-gap)&mask {
			s.places[gap] = s.places[at]
			gap = at
		}
	}
	s.places[gap] = 0
	s.count--
}
