package fleet

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the rank of a member among the live ones for a key, by rendezvous hashing (Thaler and Ravishankar, "Using
// name-based mappings to increase hit rates", 1998): 0 for the owner of the key, 1 for the one that takes over from it, and
// so on. A member that joins or leaves does not change the order of the others.
func Rank(key string, live []int, member int) (rank int) {
	own := rendezvousWeight(key, member)
	for _, other := range live {
		if weight := rendezvousWeight(key, other); weight > own || weight == own && other < member {
			rank++
		}
	}
	return rank
}

func rendezvousWeight(key string, member int) uint64 {
	return xxhash.Sum64String(key + "\x00" + strconv.Itoa(member))
}
