package journal

import (
	"milletsail/internal/clock"
)

// Report says what a replay found. Its JSON keys are those of `journal stat`.
type Report struct {
	File              string     `json:"file,omitempty"` // the file that was replayed; empty for none
	Format            uint32     `json:"format"`
	Relay             string     `json:"relay,omitempty"`
	SurvivesPowerLoss bool       `json:"power"` // durability that the journal was written with
	Boot              string     `json:"boot,omitempty"`
	Bytes             int64      `json:"bytes"`
	Records           int        `json:"records"`
	LastSequence      uint64     `json:"last"`             // sequence of the last record
	Torn              int64      `json:"torn,omitempty"`   // length of a torn record at the end, which was dropped
	Damage            []Damage   `json:"damage,omitempty"` // ranges that can't be read
	Rebooted          bool       `json:"rebooted,omitempty"`
	Partial           bool       `json:"partial,omitempty"` // its snapshot is incomplete, and there is no older one
	SkippedSegments   []string   `json:"passed,omitempty"`  // newer segments whose snapshot is incomplete
	UsedWallClock     bool       `json:"by_wall,omitempty"` // times were translated by the wall clock: see rebase
	segment           uint64     // number of the segment that was replayed
	clocks            clock.Pair // of the segment; zero for none
}

// Damage is a range of a file that can't be read.
type Damage struct {
	Offset        int64  `json:"offset"`
	Length        int64  `json:"length"`
	FirstSequence uint64 `json:"first,omitempty"` // sequence of the first missing record
	Missing       uint64 `json:"missing"`         // number of missing records, as far as the next valid one tells
	LastRecord    string `json:"what,omitempty"`  // operation of the last missing record
	file          string
}

// Complete reports whether at most a torn record at the end was lost.
func (r *Report) Complete() bool {
	return len(r.Damage) == 0 && len(r.SkippedSegments) == 0 && !r.Partial
}

// addDamage adds a damaged range of the replayed file.
func (r *Report) addDamage(d Damage) {
	d.file = r.File
	r.Damage = append(r.Damage, d)
}

// damageEndingAt returns the damaged range that ends at an offset, and adds an empty one if there is none.
func (r *Report) damageEndingAt(offset int64) *Damage {
	if n := len(r.Damage); n == 0 || r.Damage[n-1].Offset+r.Damage[n-1].Length != offset {
		r.addDamage(Damage{Offset: offset})
	}
	return &r.Damage[len(r.Damage)-1]
}
