package journal

import (
	"milletsail/internal/clock"
)

// Report describes what a replay found. Its JSON keys are part of the output of the command `journal stat`.
type Report struct {
	File              string   `json:"file,omitempty"` // name of the replayed file; empty if the directory has no journal
	Format            uint32   `json:"format"`
	Relay             string   `json:"relay,omitempty"`
	SurvivesPowerLoss bool     `json:"power"`              // the file was written with durability Power
	Boot              string   `json:"boot,omitempty"`     // boot ID of the machine when the file was begun
	Bytes             int64    `json:"bytes"`              // size of the file, in bytes
	Records           int      `json:"records"`            // number of records that were applied
	LastSequence      uint64   `json:"last"`               // sequence of the last record that was read
	Torn              int64    `json:"torn,omitempty"`     // length of a torn record at the end, which was dropped, in bytes
	Damage            []Damage `json:"damage,omitempty"`   // ranges that can't be read
	Rebooted          bool     `json:"rebooted,omitempty"` // the machine has rebooted since the file was begun
	Partial           bool     `json:"partial,omitempty"`  // the file's snapshot is incomplete, and no complete older file exists
	// SkippedSegments are the names of newer segments that were skipped because their snapshot is incomplete.
	SkippedSegments []string `json:"passed,omitempty"`
	// UsedWallClock reports that times were converted by the wall clock, since the monotonic clock readings are missing, of
	// another boot, or later than the present; see rebase.
	UsedWallClock bool       `json:"by_wall,omitempty"`
	segment       uint64     // number of the replayed segment; after a journal of format 1, number of the newest segment
	clocks        clock.Pair // clock readings in the segment's header; zero if it holds none
}

// Damage is a range of a file in which records are damaged or missing.
type Damage struct {
	Offset        int64  `json:"offset"`          // offset of the range in the file, in bytes
	Length        int64  `json:"length"`          // in bytes; 0 if records are missing without a damaged range
	FirstSequence uint64 `json:"first,omitempty"` // sequence of the first missing record; 0 if it is unknown
	// Missing is the number of missing records, by the sequence of the next valid record; 0 if there is none.
	Missing    uint64 `json:"missing"`
	LastRecord string `json:"what,omitempty"` // operation of the last missing record, or why it is unknown
	file       string // name of the file
}

// Complete reports whether no record was lost, except for a torn one at the end.
func (r *Report) Complete() bool {
	return len(r.Damage) == 0 && len(r.SkippedSegments) == 0 && !r.Partial
}

// addDamage adds a damaged range of the replayed file.
func (r *Report) addDamage(d Damage) {
	d.file = r.File
	r.Damage = append(r.Damage, d)
}

// damageEndingAt returns the damaged range that ends at the given offset. If there is none, it adds an empty range there.
func (r *Report) damageEndingAt(offset int64) *Damage {
	if n := len(r.Damage); n == 0 || r.Damage[n-1].Offset+r.Damage[n-1].Length != offset {
		r.addDamage(Damage{Offset: offset})
	}
	return &r.Damage[len(r.Damage)-1]
}
