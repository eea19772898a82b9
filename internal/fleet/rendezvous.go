package fleet

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the rank of a member among the live members for a key, by rendezvous hashing (Thaler and Ravishankar, "Using
// name-based mappings to increase hit rates", 1998). The owner of the key has rank 0, the member that takes over if the owner
// fails has rank 1, and so on. A member that joins or leaves does not change the order of the others.
func Rank(key string, live []int, member int) (rank int) {
	own := rendezvousWeight(key, member)
	for _, other := range live {
		if weight := rendezvousWeight(key, other); weight > own || weight == own && other < member {
			rank++
		}
	}
	return rank
}

// rendezvousWeight returns the weight of a member for a key. The member with the highest weight owns the key.
func rendezvousWeight(key string, member int) uint64 {
	return xxhash.Sum64String(key + "\x00" + strconv.Itoa(member))
}
