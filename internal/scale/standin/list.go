// Package standin provides stand-ins for the systems that a relay under test connects to: a discovery service whose
// list may have 490,000 entries, and the endpoints of its destinations, which share a few hundred listeners.
//
// The lab's platform opens a listener for each pair of relay and endpoint and keeps a history of each list, which
// limits it to some thousands of endpoints. This package stores each entry encoded once and keeps only counts of
// requests. It speaks the same published protocol and uses addresses of the lab's subnet.
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

// The health values of list entries that the stand-in sends.
const (
	Serving = "SERVING"
	Deleted = "DELETED"
)

// change is a new version of one entry. Each change increases the version of the list by one, also if several are
// made at once.
type change struct {
	index   int
	encoded []byte
}

// List is the list of endpoints with its changes. Its methods are safe for concurrent use.
type List struct {
	mu      sync.Mutex
	encoded [][]byte // JSON of each entry by index; nil for an entry that is not listed
	entries func(index int) platform.Entry
	changes []change // the list at version n+1 contains changes[:n]
	listed  int
	changed chan struct{} // closed at the next change
}

// NewList returns a list with count entries at version 1. The function entries returns the initial entry for an
// index.
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

// Set sets the health of entries in one update and returns the number of entries that are then listed. Entries with
// the health Deleted are not listed.
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

// apply makes one change. The caller holds the lock.
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

// Listed returns the number of listed entries.
func (l *List) Listed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed
}

// Version returns the current version.
func (l *List) Version() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 1 + len(l.changes)
}

// await returns a channel that is closed at the next change, or nil if there are changes after the version already.
func (l *List) await(version int) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < 1+len(l.changes) {
		return nil
	}
	return l.changed
}

// WriteWhole writes the whole list as one JSON object and returns its version.
func (l *List) WriteWhole(to io.Writer) (version int, err error) {
	l.mu.Lock()
	version = 1 + len(l.changes)
	entries := append([][]byte(nil), l.encoded...)
	l.mu.Unlock()
	return version, writeObject(to, version, true, entries)
}

// WriteSince writes the changes after a version as one JSON object, with the latest state of each changed entry, and
// returns the version that it leads to.
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

// bufferSize is the size in bytes of the output buffer for a list.
const bufferSize = 256 << 10

// writeObject writes one object of the discovery protocol, on one line.
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

// keepAliveInterval is the interval between empty lines on a watch while the list does not change.
const keepAliveInterval = 2 * time.Second
