package fleet

import (
	"fmt"
	"testing"
)

// Keys must be distributed evenly over the members, and a member that leaves must not change the order of the others.
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
				t.Fatalf("key %s: member %d went from rank %d to %d when the member of rank %d left", key, member, rank, after, leaving)
			}
		}
	}
	for member, keys := range owned { // the expected number is 50; the bounds are five standard deviations away
		if keys < 15 || keys > 85 {
			t.Errorf("member %d owns %d keys, want 15 to 85", member, keys)
		}
	}
}
