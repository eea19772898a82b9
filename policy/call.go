package policy

import "milletsail/internal/instant"

// call is one call out: one message, or a bundle.
type call struct {
	endpoint     *endpoint
	number       int
	sentAt       instant.Time
	openAttempts int // messages without an outcome
	size         int // of its messages
	messages     []*message
	canceled     bool // to take its slot back
}
