package policy

// Reason says why a message ended undelivered, for logs and metrics. It decides nothing.
type Reason int

// The reasons.
const (
	// ReasonNone is the reason of no message.
	ReasonNone Reason = iota
	// ReasonBacklog says that the queue leaves the message no time, or that it would make others late.
	ReasonBacklog
	// ReasonOverloaded says that the queue capacity is used up.
	ReasonOverloaded
	// ReasonNoTimeLeft says that there is no time left for another attempt.
	ReasonNoTimeLeft
	// ReasonAttemptsExhausted says that all attempts are used up.
	ReasonAttemptsExhausted
	// ReasonNotRetryable says that the message may have run, and its class forbids a retry now.
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
