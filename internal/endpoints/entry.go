// Package endpoints implements the relay's copy of the endpoint list that service discovery provides: a streaming decoder of
// list and watch responses (Reader), a compact in-memory table (Table), and its persistence as snapshots and logs (Store). The
// cost of applying a change does not depend on the length of the list.
//
// A Table and its Store belong to one goroutine. That goroutine changes the Table first, then passes the change to
// Store.Append, and calls Store.CompactStep only when all changes of the Table have been appended. It calls Store.Commit after
// the last entry of a response object or, if the object is a complete list, after appending the last deletion that Table.Sweep
// returned.
//
// Whether an object is a complete list may be unknown before its end. Callers therefore call Table.BeginReplacement at
// Batch.First, and at Batch.End either Table.Sweep if the list is complete, or Table.AbortReplacement if it is an update. They
// also call Table.AbortReplacement if reading the object fails.
package endpoints

// Entry is one endpoint of the list.
type Entry struct {
	Host   string  `json:"host"`              // name of the endpoint, unique in the list
	Dial   string  `json:"dial"`              // address to connect to
	Site   string  `json:"site"`              // name of the endpoint's zone
	Class  string  `json:"class"`             // name of the endpoint's kind, such as its machine type
	Block  int     `json:"block"`             // number of the destination that the endpoint serves
	Health string  `json:"health"`            // health state, such as Draining
	Share  float64 `json:"share"`             // relative weight of the endpoint in load balancing
	BornMS int64   `json:"born_ms,omitempty"` // last start of the endpoint, in Unix milliseconds; 0 means long ago
}

// The values of Entry.Health that this package or its callers handle specially.
const (
	// Draining is the health of an endpoint that completes its requests in flight and accepts no new ones.
	Draining = "DRAINING"
	// Deleted marks an entry of an update that has to be removed from the table. It does not occur in complete lists.
	Deleted = "DELETED"
)
