// Package standin stands in for what one relay meets in a scale run: a discovery whose list may have 490,000 entries,
// and the endpoints of its destinations, which share a few hundred listeners.
//
// The lab's platform opens a listener for each pair of relay and endpoint and keeps a history of each list, which bounds
// it at some thousands of endpoints; this package keeps each entry encoded once and counts instead. It speaks the same
// published protocol, and its addresses are those of the lab's subnet.
package standin

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"sync"
	"time"

	"milletsail/internal/lab/platform"
)

// The states of an entry that the stand-in uses.
const (
	Serving = "SERVING"
	Deleted = "DELETED"
)

// change is the new form of one entry. Each makes a version, also where several are made at once.
type change struct {
	index   int
	encoded []byte
}

// List is the list of endpoints over time. All methods may be called from any goroutine.
type List struct {
	mu      sync.Mutex
	encoded [][]byte // by index; nil for an entry that is not listed
	entries func(index int) platform.Entry
	changes []change // version n+1 is the list after changes[:n]
	listed  int
	changed chan struct{} // closed at the next change
}

// NewList gives a list of so many entries, at version 1.
func NewList(count int, entries func(index int) platform.Entry) (*List, error) {
	l := &List{encoded: make([][]byte, count), entries: entries, listed: count, changed: make(chan struct{})}
	for i := range l.encoded {
		encoded, err := json.Marshal(entries(i))
		if err != nil {
			return nil, err
		}
		l.encoded[i] = encoded
	}
	return l, nil
}

// Set changes the health of entries, as one change, and gives the number of entries that are listed then.
func (l *List) Set(health string, indexes ...int) (listed int, err error) {
	var changes []change
	for _, index := range indexes {
		entry := l.entries(index)
		entry.Health = health
		encoded, err := json.Marshal(entry)
		if err != nil {
			return 0, err
		}
		changes = append(changes, change{index, encoded})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		l.apply(c, health != Deleted)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return l.listed, nil
}

// apply makes one change; the lock is held.
func (l *List) apply(c change, listed bool) {
	l.changes = append(l.changes, c)
	if l.encoded[c.index] != nil {
		l.listed--
	}
	l.encoded[c.index] = nil
	if listed {
		l.encoded[c.index] = c.encoded
		l.listed++
	}
}

// Listed is the number of entries that are listed now.
func (l *List) Listed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed
}

// Version is the present version.
func (l *List) Version() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 1 + len(l.changes)
}

// await gives what is closed at the next change after a version; nil where there is one already.
func (l *List) await(version int) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < 1+len(l.changes) {
		return nil
	}
	return l.changed
}

// WriteWhole writes the whole list as one JSON object and gives its version.
func (l *List) WriteWhole(to io.Writer) (version int, err error) {
	l.mu.Lock()
	version = 1 + len(l.changes)
	entries := append([][]byte(nil), l.encoded...)
	l.mu.Unlock()
	return version, writeObject(to, version, true, entries)
}

// WriteSince writes what changed after a version as one JSON object, the latest form of each entry, and gives the
// version that it leads to.
func (l *List) WriteSince(to io.Writer, since int) (version int, err error) {
	l.mu.Lock()
	version = 1 + len(l.changes)
	recent := l.changes[since-1:]
	l.mu.Unlock()
	place := map[int]int{}
	var entries [][]byte
	for _, c := range recent {
		if at, ok := place[c.index]; ok {
			entries[at] = c.encoded
			continue
		}
		place[c.index] = len(entries)
		entries = append(entries, c.encoded)
	}
	return version, writeObject(to, version, false, entries)
}

// bufferSize is the room for the encoding of a list on its way out.
const bufferSize = 256 << 10

// writeObject writes one object of discovery's form, on one line.
func writeObject(to io.Writer, version int, whole bool, entries [][]byte) error {
	out := bufio.NewWriterSize(to, bufferSize)
	_, _ = out.WriteString(`{"seq":` + strconv.Itoa(version) + `,"whole":` + strconv.FormatBool(whole) + `,"hosts":[`)
	first := true
	for _, entry := range entries {
		if entry == nil {
			continue
		}
		if !first {
			_ = out.WriteByte(',')
		}
		first = false
		_, _ = out.Write(entry)
	}
	_, _ = out.WriteString("]}\n")
	return out.Flush()
}

// keepAliveInterval is the time between the empty lines of a watch on which nothing changes.
const keepAliveInterval = 2 * time.Second
