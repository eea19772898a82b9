package journal

import (
	"milletsail/internal/instant"
)

const (
	// laterRecordsReserve is the disk space reserved for the later records of an entry when it is accepted, in bytes. It
	// holds a dozen attempts at endpoints with long names.
	laterRecordsReserve = 2048
	// endpointReserve is the disk space reserved for each endpoint of the legacy endpoint list, in bytes.
	endpointReserve = 256
)

// Entry is an accepted request that has not completed.
type Entry struct {
	ID                  string
	Class               string       // name of the message class
	Dest                int          // number of the destination
	Key                 string       // ordering key; empty for none
	ExpiresAt           instant.Time // deadline for the delivery
	AcceptedAt          instant.Time // when the relay accepted the request; Journal.Accept sets it if it is zero
	Body                []byte
	Attempts            []Attempt     // in the order in which they started
	PendingNotification *Notification // nil unless the request ended undelivered and the platform has not acknowledged that

	seq uint64 // sequence of the record that accepted the entry; later records refer to the entry by this number
}

// Attempt is one call to an endpoint.
type Attempt struct {
	Host        string // name of the endpoint
	StartedAt   instant.Time
	Ended       bool // the result is recorded
	NotExecuted bool // the result proves that the endpoint did not execute the request
	// Uncertain marks an attempt that may never have been made: it stands for records that may be lost. Its Host is empty,
	// and its StartedAt is the earliest possible time.
	Uncertain bool
}

// Notification tells the platform that a request ended undelivered.
type Notification struct {
	ID           string `json:"id"`                 // ID of the request
	Status       string `json:"status"`             // how the request ended
	RetryAfterMS int64  `json:"again_ms,omitempty"` // delay after which the platform may send the request again, in milliseconds
}

// LegacyEndpointList is an endpoint list in the encoding of its owner. Older programs stored it in the journal.
type LegacyEndpointList struct {
	Text      []byte
	Endpoints int // number of endpoints in Text
}

// HealthRecord is the persisted health of an endpoint.
type HealthRecord struct {
	Ejected   bool         // the endpoint was ejected as unhealthy
	ChangedAt instant.Time // when Ejected last changed
}

// requiredSize is the disk space to reserve for an entry and its later records, in bytes.
func requiredSize(e *Entry) int { return len(e.Body) + 4*len(e.ID) + len(e.Key) + laterRecordsReserve }
