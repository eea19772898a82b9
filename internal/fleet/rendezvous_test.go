package fleet

import (
	"fmt"
	"testing"
)

// Keys are distributed evenly, and a member that leaves does not change the order of the others.
func TestRank(t *testing.T) {
	var live []int
	for member := range 60 {
		live = append(live, member)
	}
	owned := map[int]int{} // number of keys, by their owner
	for i := range 3000 {
		key := fmt.Sprint(i)
		leaving := Rank(key, live, 59)
		for _, member := range live[:59] {
			rank := Rank(key, live, member)
			if rank == 0 {
				owned[member]++
			}
			after := Rank(key, live[:59], member)
			if rank > leaving && after != rank-1 || rank < leaving && after != rank {
				t.Fatalf("key %s: member %d goes from rank %d to %d as the member of rank %d leaves", key, member, rank, after, leaving)
			}
		}
	}
	for member, keys := range owned { // 50 expected; five standard deviations
		if keys < 15 || keys > 85 {
			t.Errorf("member %d owns %d keys", member, keys)
		}
	}
}
