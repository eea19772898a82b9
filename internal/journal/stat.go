package journal

import (
	"slices"

	"milletsail/internal/instant"
)

// Summary describes the content of a directory in numbers. Its JSON keys are those of the command `journal stat`.
type Summary struct {
	Report
	Complete bool `json:"whole"` // no record was lost, except for a torn one at the end
	Live     int  `json:"live"`  // number of live entries
	// PendingNotifications is the number of live entries whose notification the platform has not acknowledged.
	PendingNotifications int `json:"owed"`
	// Attempted is the number of live entries with at least one attempt, uncertain ones included.
	Attempted int            `json:"tried"`
	Uncertain int            `json:"in_doubt"`           // number of live entries with an uncertain attempt
	Expired   int            `json:"expired"`            // number of live entries whose deadline has passed
	ByClass   map[string]int `json:"by_class,omitempty"` // number of live entries by class
	BodySize  int            `json:"body_bytes"`         // total size of the bodies of the live entries, in bytes
	// RequiredBytes is the disk space reserved for the live entries, their later records and the legacy list, in
	// bytes.
	RequiredBytes int `json:"room_bytes"`
	Hosts         int `json:"hosts"` // number of endpoints in the legacy list
	Ejected       int `json:"sick"`  // number of endpoints that are recorded as ejected
}

// Summarize reads the directory dir, changes nothing in it and summarizes its content. Entries whose deadline is not after
// now count as expired.
func Summarize(dir string, now instant.Time) (*Summary, error) {
	opened, report, err := Read(dir)
	if err != nil {
		return nil, err
	}
	summary := &Summary{
		Report:        *report,
		Complete:      report.Complete(),
		ByClass:       map[string]int{},
		RequiredBytes: opened.liveSize,
		Hosts:         opened.legacyList.Endpoints,
	}
	for _, e := range opened.Entries() {
		summary.addEntry(e, now)
	}
	for _, health := range opened.health {
		if health.Ejected {
			summary.Ejected++
		}
	}
	return summary, nil
}

// addEntry adds a live entry to the counts.
func (s *Summary) addEntry(e *Entry, now instant.Time) {
	s.Live++
	s.ByClass[e.Class]++
	s.BodySize += len(e.Body)
	if e.PendingNotification != nil {
		s.PendingNotifications++
	}
	if len(e.Attempts) > 0 {
		s.Attempted++
	}
	if slices.ContainsFunc(e.Attempts, func(a Attempt) bool { return a.Uncertain }) {
		s.Uncertain++
	}
	if e.ExpiresAt <= now {
		s.Expired++
	}
}
