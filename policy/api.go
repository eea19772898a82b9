package policy

import (
	"time"

	"milletsail/internal/instant"
)

// Effect says what a second execution of a message would do.
type Effect int

// The effects of a class.
const (
	// Idempotent messages may be repeated at will.
	Idempotent Effect = iota
	// IdempotentWithKey messages carry an idempotency key: the destination drops a repeat while it remembers
	// the key.
	IdempotentWithKey
	// NotIdempotent messages must never run twice.
	NotIdempotent
)

// Outcome says how one attempt ended.
type Outcome int

// The outcomes of an attempt; see [Outcome.ProvesNotExecuted].
const (
	// OK is a delivery.
	OK Outcome = iota
	// Failed is an error response.
	Failed
	// Rejected is a response that says that the endpoint is above its limit, has a full queue, or drains.
	Rejected
	// TimedOut is the lack of a response in time.
	TimedOut
	// ConnectError is a connection that was not established.
	ConnectError
	// Reset is a connection that broke while the attempt was out.
	Reset
	// Canceled is an attempt that this dispatcher canceled.
	Canceled
	// NotSent is an attempt that was not written, or that its endpoint did not start: no time, slot or
	// attempt was left.
	NotSent
	// NotStarted is an attempt that a shortage of local resources prevented, which says nothing of the
	// endpoint. It doesn't count as an attempt.
	NotStarted
)

var outcomeNames = [...]string{
	OK:           "ok",
	Failed:       "failed",
	Rejected:     "full",
	TimedOut:     "timed out",
	ConnectError: "no connection",
	Reset:        "reset",
	Canceled:     "canceled",
	NotSent:      "not sent",
	NotStarted:   "not begun",
}

// ProvesNotExecuted reports whether an attempt with this outcome certainly never ran at the endpoint, so that
// a retry cannot execute the message twice.
func (o Outcome) ProvesNotExecuted() bool {
	switch o {
	case Rejected, ConnectError, NotSent, NotStarted:
		return true
	case OK, Failed, TimedOut, Reset, Canceled:
	}
	return false
}

// String returns the name of an outcome for logs and diagnostics.
func (o Outcome) String() string { return outcomeNames[o] }

// Weights says what the weight of an endpoint means.
type Weights int

// The meanings of a weight.
const (
	// WeightsOff means that weights say nothing.
	WeightsOff Weights = iota
	// WeightsNominal means that a weight is the calls a second that the destination (or route) takes from all
	// relays.
	WeightsNominal
	// WeightsRough means the same, but up to half too high or too low.
	WeightsRough
)

// ZoneState is the state of a zone at one relay.
type ZoneState int

// The states of a zone.
const (
	// Serving zones get calls as their endpoints allow.
	Serving ZoneState = iota
	// Evacuated zones failed as a whole, as this relay observed.
	Evacuated
	// EvacuatedByOrder zones get no calls, by an operator's order.
	EvacuatedByOrder
	// Recovering zones are in slow start.
	Recovering
)

var zoneNames = [...]string{
	Serving:          "serving",
	Evacuated:        "evacuated",
	EvacuatedByOrder: "evacuated by order",
	Recovering:       "returning",
}

// String returns the name of a state for logs and operators.
func (s ZoneState) String() string { return zoneNames[s] }

// ZoneStatus is the status of a zone.
type ZoneStatus struct {
	Zone           int
	State          ZoneState
	EnteredAt      instant.Time // the state
	OrderExpiresAt instant.Time // of a zone that is EvacuatedByOrder
	Endpoints      int          // listed there
	Evacuations    int          // so far
	Recoveries     int          // so far
}

// Class is one class of messages.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // a message has its full value up to here
	Deadline          time.Duration // a message expires after this
	PriorityWeight    float64       // full value of a message
	LateValueShare    float64       // share of the value that is left at the deadline
	ExponentialDecay  bool          // the value halves each further LatencyObjective; else it falls linearly
	Effect            Effect
	KeysPerZone       bool          // IdempotentWithKey: only endpoints of one zone share the keys
	IdempotencyWindow time.Duration // IdempotentWithKey: how long a destination remembers a key
	Ordered           bool          // messages with the same key are sent one at a time, in order
}

// Kind is one kind of destination.
type Kind struct {
	SeparateRoutes bool // each endpoint is a route of its own, with its own limit, send rate and health
	MaxBatch       int  // messages in one call at most
}

// Settings is the configuration of a dispatcher.
type Settings struct {
	FleetSize             int // relays that share the traffic, this one included
	Zone                  int // of this relay, as in Endpoint
	Classes               []Class
	Kinds                 []Kind
	ZoneCost              []float64 // by zone: cost of sending all messages there, in mean priority weights
	Slots                 int       // calls out at once
	QueueCapacity         int       // unfinished messages, sent or not
	MaxBatchBytes         int       // bytes in a call with several messages at most; 0 for any number
	MaxAttempts           int       // of a message
	Gossip                bool      // broadcasts to other relays are allowed
	Zones                 bool      // evacuate failing zones, and balance by locality
	CanaryAnalysis        bool      // put endpoints that are new on the list on trial
	PublishRates          bool      // PublishRate has a use: relays share what they observe
	HedgedRequests        bool      // two attempts of a message may be out at once
	CanCancel             bool      // Cancel is supported
	Subscribe             bool      // list changes come only after Subscribe
	Weights               Weights
	BatchInterval         time.Duration // least time between batches
	MaxRetryAfter         time.Duration // longest Retry-After that a client honours
	SlowStartInitialShare float64       // share of its capacity that a destination has after an outage
	SlowStartWindow       time.Duration // and all of it after this
	OverloadFactor        float64       // calls at more than this multiple of the present capacity
	OverloadWindow        time.Duration // for this long overload a destination in slow start
	IdleConnTimeout       time.Duration // idle connections close by themselves after this; 0 for never
	OrderedKeyDelay       time.Duration // how long a key stays blocked after an attempt that may still run
	Directory             Directory     // nil: state is kept for all endpoints of EndpointsUpdated
}

// Directory looks listed endpoints up. The caller owns it, and changes it only between calls of Handle:
// before the EndpointsUpdated that reports the change.
//
// With a Directory, a Dispatcher keeps state only for the destinations in use. State is loaded with the first
// message for a destination, or the first event that limits it: StateRestored or StateInherited, a rejection
// that another relay reports, PeerSuspected, PeerRateReceived, or an endpoint that is on trial beside an
// older one. Entries of EndpointsUpdated that concern no state are ignored; removals have to be listed as
// Removed, Complete is not needed. State is dropped when its destination has been idle for two minutes and
// nothing that is known of it limits it. PublishRate then names such destinations alone.
//
// With Settings.Zones, which compares the endpoints of all destinations, the Directory is not used: state is
// kept as without one.
type Directory interface {
	// Endpoints returns the endpoints of a destination that are listed now, in a stable order.
	Endpoints(destination int) []Endpoint
	// Destination returns the destination of a listed endpoint.
	Destination(endpoint string) (destination int, listed bool)
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID          string
	Destination int
	Kind        int // in Settings.Kinds
	Zone        int
	Weight      float64      // see Settings.Weights
	StartedAt   instant.Time // when it last started; 0 for long ago
	Draining    bool         // it gets no new calls
	Removed     bool         // it is no longer listed
}

// Canary is the status of an endpoint on trial.
type Canary struct {
	Endpoint        string
	Destination     int
	Stage           int          // from 0
	Share           float64      // of its destination's calls, together with the other canaries there
	StageStartedAt  instant.Time // may lie ahead, at the end of a suspension
	SuspendedUntil  instant.Time // until when it gets nothing; past or 0 if it isn't suspended
	Suspensions     int
	RegressionScore float64 // of the class that speaks most for a regression; 1 suspends it
	HasBaseline     bool    // a healthy older endpoint serves beside it, so that it is limited to its share
}

// LoadReport is the load report of a destination.
type LoadReport struct {
	Remaining float64 `json:"Left"`  // share of the allowance that is left
	Limit     float64 `json:"Limit"` // calls a second; 0 where there is no limit
}

// PriorAttempt is an attempt that an earlier process of this relay made.
type PriorAttempt struct {
	Endpoint    string
	SentAt      instant.Time
	NotExecuted bool // proved never to have run
	// InFlight says that it is still out, in the process that hands over: AttemptEnded reports its end.
	InFlight bool
	Call     int // of an attempt in flight; attempts of one call share it
}

// InheritedEndpoint is the part of StateInherited that concerns one endpoint.
type InheritedEndpoint struct {
	ID                  string       `json:"ID"`
	Ejected             bool         `json:"Sick"`
	SlowStarting        bool         `json:"Ramping"`
	EjectedAt           instant.Time `json:"SickAt"`
	RecoveredAt         instant.Time `json:"Recovered"`
	LastSuccessAt       instant.Time `json:"LastOK"`
	ConsecutiveFailures float64      `json:"Failures"`
	ConnectionLimit     float64      `json:"ConnCap"`
	Tokens              float64      `json:"Tokens"`
	TokensAt            instant.Time `json:"TokensAt"`
}

// DecayingCount is the state of a decaying counter.
type DecayingCount struct {
	Count     float64      `json:"N"`
	UpdatedAt instant.Time `json:"At"`
	StartedAt instant.Time `json:"Since"`
}
