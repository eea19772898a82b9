package policy

import "milletsail/internal/instant"

// call is one call that is out, with one message or a batch.
type call struct {
	endpoint     *endpoint
	number       int
	sentAt       instant.Time
	openAttempts int // messages without an outcome
	size         int // of its messages
	messages     []*message
	canceled     bool // by cancelCall
}
