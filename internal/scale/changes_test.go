package scale

import (
	"slices"
	"testing"
	"time"
)

// A change counts as in effect from the first sample that can reflect it or a later change; uncertainty counts as
// later.
func TestTimesToEffect(t *testing.T) {
	begun := time.Now()
	at := func(ms int) time.Time { return begun.Add(time.Duration(ms) * time.Millisecond) }
	changes := []listChange{{at(0), 9}, {at(100), 8}, {at(200), 9}, {at(300), 10}}
	for _, c := range []struct {
		name    string
		samples []counterSample
		want    []int // milliseconds
		missing int
	}{
		{"a sample for each change", []counterSample{{at(-5), 10}, {at(10), 9}, {at(120), 8}, {at(230), 9}, {at(340), 10}}, []int{10, 20, 30, 40}, 0},
		{"two changes in one sample", []counterSample{{at(130), 8}, {at(340), 10}}, []int{30, 40, 130, 140}, 0},
		{"no sample at the lowest count", []counterSample{{at(10), 9}, {at(340), 10}}, []int{10, 40, 140, 240}, 0},
		{"samples end early", []counterSample{{at(10), 9}}, []int{10}, 3},
		{"no samples", nil, nil, 4},
		{"a count that no change leads to", []counterSample{{at(10), 11}}, nil, 4},
	} {
		took, missing := timesToEffect(changes, c.samples)
		var got []int
		for _, d := range took {
			got = append(got, int(d/time.Millisecond))
		}
		if !slices.Equal(got, c.want) || missing != c.missing {
			t.Errorf("%s: timesToEffect returned %v ms with %d changes missing, want %v with %d missing", c.name, got, missing, c.want, c.missing)
		}
	}
}
