package metrics

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"sync"
)

// endOfText is the last line of the counters at the admin endpoint, after which no more data follows.
const endOfText = "END"

// ReasonCounters count events by counter name and reason, for diagnosis by operators. The zero value is ready to use.
type ReasonCounters struct {
	mu     sync.Mutex
	counts map[string]int64 // by name and reason as written in the text, such as NAME{reason="REASON"}
}

// Increment adds one to the counter of a name and a reason.
func (c *ReasonCounters) Increment(name string, reason fmt.Stringer) { c.Add(name, reason.String(), 1) }

// Add adds n to the counter of a name and a reason.
func (c *ReasonCounters) Add(name, reason string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int64{}
	}
	c.counts[fmt.Sprintf("%s{reason=%q}", name, reason)] += n
}

// Text returns the counters sorted by name and reason, one on each line, followed by the line END without a newline.
func (c *ReasonCounters) Text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(c.counts)) {
		fmt.Fprintf(&b, "%s %d\n", name, c.counts[name])
	}
	return b.String() + endOfText
}
