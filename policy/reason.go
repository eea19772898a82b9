package policy

// Reason says why a message ended undelivered, for logs and figures. It decides nothing.
type Reason int

// The reasons.
const (
	ReasonNone              Reason = iota
	ReasonBacklog                  // the backlog of its destination leaves it no time, or it would make others late
	ReasonOverloaded               // the room for held messages is used up
	ReasonNoTimeLeft               // there is no time left for another attempt
	ReasonAttemptsExhausted        // all attempts are used up
	ReasonNotRetryable             // it may have run, and its class forbids a repeat now
)

var reasonNames = [...]string{"", "backlog", "crowded", "no time left", "attempts used up", "no repeat allowed"}

// String names a reason for logs.
func (r Reason) String() string { return reasonNames[r] }
