package policy

import "milletsail/internal/instant"

// call is one call in flight, with a single message or a batch.
type call struct {
	endpoint     *endpoint
	number       int
	sentAt       instant.Time
	openAttempts int // number of its attempts without an outcome
	size         int // total size of its messages, in bytes
	messages     []*message
	canceled     bool // whether cancelCall has canceled it
	limit        CallLimit
	budget       float64 // calls a second of the slow start budget at sentAt; 0 for no such limit
}
