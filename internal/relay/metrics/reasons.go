package metrics

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"sync"
)

// endOfText follows the last counter at the admin endpoint.
const endOfText = "END"

// ReasonCounters count events by a name and a reason, for on-call staff. The zero value is ready to use.
type ReasonCounters struct {
	mu     sync.Mutex
	counts map[string]int64
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

// Text returns the counters sorted by name, one a line, and a line that marks the end.
func (c *ReasonCounters) Text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(c.counts)) {
		fmt.Fprintf(&b, "%s %d\n", name, c.counts[name])
	}
	return b.String() + endOfText
}
