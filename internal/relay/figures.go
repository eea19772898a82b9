package relay

import (
	"bytes"
	"fmt"
	"sync/atomic"

	"milletsail/policy"
)

// The ends that messages of a class are counted by.
const (
	completed = iota // delivered
	rejected         // refused or handed back
	failed           // given up for good
	nEnds
)

var endNames = [nEnds]string{"completed", "rejected", "failed"}

// figures are what the operators see of a process, counted from its start. All of it is atomic: a reply at the
// admin endpoint never waits for the loop.
type figures struct {
	classes []string
	ends    [][nEnds]atomic.Int64 // by class
	written atomic.Int64          // messages written in full to hosts
	pending atomic.Int64          // messages taken on and not ended
	members atomic.Int64          // hosts on the list
	avoided atomic.Int64          // of these, those that the module now sends nothing to
	taking  atomic.Bool           // this process takes clients
	why     diagnostics
	// unwritten is why the journal can't be written, empty while it can.
	unwritten atomic.Pointer[string]
}

func newFigures(classes []policy.Class) *figures {
	f := &figures{ends: make([][nEnds]atomic.Int64, len(classes))}
	for _, c := range classes {
		f.classes = append(f.classes, c.Name)
	}
	return f
}

// end counts the end of a message; one of a class that the settings no longer have is counted nowhere.
func (f *figures) end(class, how int) {
	if class >= 0 {
		f.ends[class][how].Add(1)
	}
}

// text is the figures as operators read them, a line each.
func (f *figures) text() []byte {
	var b bytes.Buffer
	for i, class := range f.classes {
		for how, name := range endNames {
			fmt.Fprintf(&b, "relay_downstream_requests{lane=%q,result=%q} %d\n", class, name, f.ends[i][how].Load())
		}
	}
	fmt.Fprintf(&b, "relay_upstream_requests %d\n", f.written.Load())
	fmt.Fprintf(&b, "relay_pending %d\n", f.pending.Load())
	fmt.Fprintf(&b, "relay_members %d\n", f.members.Load())
	fmt.Fprintf(&b, "relay_members_unavailable %d\n", f.avoided.Load())
	return b.Bytes()
}
