// Package endpoints keeps discovery's list of endpoints: it reads the list as it comes (Reader), holds it in little
// memory (Table), and keeps it on disk (Store). What a change costs does not depend on the length of the list.
//
// A Table and its Store belong to one goroutine. That goroutine changes the Table first, then hands the change to
// Store.Append, and calls Store.Step only when every change of the Table has been appended. Store.Commit follows the last
// entry of an object; for a whole list, it follows the last deletion that Table.Sweep has reported.
//
// A caller need not know whether an object is a whole list before its end: Table.BeginReplacement at Batch.First, and
// then Table.Sweep at Batch.End if the list is whole, or Table.AbortReplacement if it is not or could not be read.
package endpoints

// Entry is one entry of discovery's list.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms,omitempty"` // when it last started, in milliseconds since 1970; 0 for long ago
}

// The values of Entry.Health that the package and its callers tell apart.
const (
	// Draining endpoints finish what they have and want nothing new.
	Draining = "DRAINING"
	// Deleted appears among changes only: the entry has to be removed from the table.
	Deleted = "DELETED"
)
