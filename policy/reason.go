package policy

// Reason is the reason why a message ended without delivery. It is used only for logs and metrics.
type Reason int

// The reasons.
const (
	// ReasonNone is the zero value, and is not the reason of any message.
	ReasonNone Reason = iota
	// ReasonBacklog means that the message would be delivered too late, or would make other messages late.
	ReasonBacklog
	// ReasonOverloaded means that the queue capacity is used up, wholly or to the part that one queue may
	// use.
	ReasonOverloaded
	// ReasonNoTimeLeft means that there is no time left for another attempt.
	ReasonNoTimeLeft
	// ReasonAttemptsExhausted means that the message has had all its attempts.
	ReasonAttemptsExhausted
	// ReasonNotRetryable means that the message may have been executed and its class allows no retry, or none
	// any more.
	ReasonNotRetryable
)

var reasonNames = [...]string{
	ReasonNone:              "",
	ReasonBacklog:           "backlog",
	ReasonOverloaded:        "crowded",
	ReasonNoTimeLeft:        "no time left",
	ReasonAttemptsExhausted: "attempts used up",
	ReasonNotRetryable:      "no repeat allowed",
}

// String returns the name of a reason for logs.
func (r Reason) String() string { return reasonNames[r] }
