package journal

import (
	"slices"

	"milletsail/internal/instant"
)

// Summary is the content of a directory in numbers. Its JSON keys are those of `journal stat`.
type Summary struct {
	Report
	Complete             bool           `json:"whole"`
	Live                 int            `json:"live"`     // live entries
	PendingNotifications int            `json:"owed"`     // of these, with a notification that the platform has not acknowledged
	Attempted            int            `json:"tried"`    // of these, with an attempt
	Uncertain            int            `json:"in_doubt"` // of these, with an uncertain attempt
	Expired              int            `json:"expired"`  // of these, expired
	ByClass              map[string]int `json:"by_class,omitempty"`
	BodySize             int            `json:"body_bytes"`
	RequiredBytes        int            `json:"room_bytes"` // disk space reserved for the live entries and their later records
	Hosts                int            `json:"hosts"`      // endpoints of the legacy list
	Ejected              int            `json:"sick"`       // endpoints recorded as ejected
}

// Summarize reads the directory dir and summarizes its content as of now.
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

// addEntry counts a live entry.
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
