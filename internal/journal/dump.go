package journal

import (
	"encoding/json"
	"io"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// dumpedEntry is one live entry as Dump writes it, with wall-clock times. Scripts read its JSON keys, so they stay.
type dumpedEntry struct {
	ID                  string          `json:"id"`
	Class               string          `json:"class,omitempty"`
	Dest                int             `json:"dest,omitempty"`
	Key                 string          `json:"key,omitempty"`
	ExpiresAt           time.Time       `json:"expires,omitzero"`
	AcceptedAt          time.Time       `json:"taken,omitzero"`
	Attempts            []dumpedAttempt `json:"attempts,omitempty"`
	PendingNotification *Notification   `json:"owed,omitempty"`
	Bytes               int             `json:"body_bytes"` // length of the body, which is written only on request
	Body                []byte          `json:"body,omitempty"`
}

// dumpedAttempt is one attempt as Dump writes it, with wall-clock times. Scripts read its JSON keys, so they stay.
type dumpedAttempt struct {
	Host        string    `json:"Host"`
	StartedAt   time.Time `json:"Begun"`
	Ended       bool      `json:"Ended"`
	NotExecuted bool      `json:"Unrun"`
	Uncertain   bool      `json:"Doubt"`
}

// wallTime converts a monotonic time to a wall-clock time by a simultaneous reading of both clocks. The zero Time becomes
// the zero time.Time.
func wallTime(clocks clock.Pair, t instant.Time) time.Time {
	if t.IsZero() {
		return time.Time{}
	}
	return clocks.WallOf(t).Time()
}

// Dump writes the live entries of the directory dir to w as one line of JSON each, in the order in which they were
// accepted. Bodies are included only if withBodies is set.
func Dump(dir string, w io.Writer, withBodies bool) error {
	j, _, err := Read(dir)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(w)
	clocks := clock.ReadPair()
	for _, e := range j.Entries() {
		if err := encoder.Encode(newDumpedEntry(e, clocks, withBodies)); err != nil {
			return err
		}
	}
	return nil
}

// newDumpedEntry converts an entry to its dumped form, with times converted by clocks.
func newDumpedEntry(entry *Entry, clocks clock.Pair, withBody bool) dumpedEntry {
	dumped := dumpedEntry{
		ID:                  entry.ID,
		Class:               entry.Class,
		Dest:                entry.Dest,
		Key:                 entry.Key,
		ExpiresAt:           wallTime(clocks, entry.ExpiresAt),
		AcceptedAt:          wallTime(clocks, entry.AcceptedAt),
		PendingNotification: entry.PendingNotification,
		Bytes:               len(entry.Body),
	}
	for _, attempt := range entry.Attempts {
		dumped.Attempts = append(dumped.Attempts, dumpedAttempt{
			Host:        attempt.Host,
			StartedAt:   wallTime(clocks, attempt.StartedAt),
			Ended:       attempt.Ended,
			NotExecuted: attempt.NotExecuted,
			Uncertain:   attempt.Uncertain,
		})
	}
	if withBody {
		dumped.Body = entry.Body
	}
	return dumped
}
