package journal

import (
	"milletsail/internal/instant"
)

const (
	// laterRecordsReserve is reserved for the later records of an entry when it is accepted, in bytes: a dozen attempts
	// at endpoints with long names fit.
	laterRecordsReserve = 2048
	// endpointReserve is reserved for each endpoint of the legacy list, in bytes.
	endpointReserve = 256
)

// Entry is an accepted request that has not completed.
type Entry struct {
	ID                  string
	Class               string
	Dest                int
	Key                 string
	ExpiresAt           instant.Time
	AcceptedAt          instant.Time // Accept sets it if it is zero
	Body                []byte
	Attempts            []Attempt
	PendingNotification *Notification // nil unless the request has failed and the platform has not acknowledged that

	seq uint64 // sequence of the record that accepted it; later records refer to the entry by it
}

// Attempt is one call to an endpoint.
type Attempt struct {
	Host        string
	StartedAt   instant.Time
	Ended       bool
	NotExecuted bool // the endpoint has proved that it did not execute the request
	// Uncertain marks an attempt that was inferred, since its record may have been lost. Its Host is empty and its
	// StartedAt the earliest possible time.
	Uncertain bool
}

// Notification tells the platform that a request ended undelivered.
type Notification struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	RetryAfterMS int64  `json:"again_ms,omitempty"`
}

// LegacyEndpointList is an endpoint list in the encoding of its owner. Older programs stored it in the journal.
type LegacyEndpointList struct {
	Text      []byte
	Endpoints int // number of endpoints in Text
}

// HealthRecord is the persisted health of an endpoint.
type HealthRecord struct {
	Ejected   bool
	ChangedAt instant.Time
}

// requiredSize is the disk space to reserve for an entry and its later records, in bytes.
func requiredSize(e *Entry) int { return len(e.Body) + 4*len(e.ID) + len(e.Key) + laterRecordsReserve }
