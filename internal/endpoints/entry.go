// Package endpoints implements the relay's copy of discovery's endpoint list: a streaming decoder of list and watch
// responses (Reader), a compact in-memory table (Table), and its persistence as snapshots and logs (Store). The cost of a
// change does not depend on the length of the list.
//
// A Table and its Store belong to one goroutine. That goroutine changes the Table first, then passes the change to
// Store.Append, and calls Store.CompactStep only when all changes of the Table have been appended. Store.Commit follows the
// last entry of an object or, for a complete list, the last deletion that Table.Sweep has returned.
//
// Whether an object is a complete list may be unknown before its end: call Table.BeginReplacement at Batch.First, and at
// Batch.End either Table.Sweep if the list is complete, or Table.AbortReplacement if it is not or an error occurred.
package endpoints

// Entry is one endpoint of discovery's list.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms,omitempty"` // last start, in milliseconds since 1970; 0 for long ago
}

// The values of Entry.Health that have a meaning to this package or its callers.
const (
	// Draining endpoints complete their requests in flight and accept no new ones.
	Draining = "DRAINING"
	// Deleted occurs in updates only: the entry has to be removed from the table.
	Deleted = "DELETED"
)
