package policy

import (
	"time"

	"milletsail/internal/instant"
)

// Effect describes what happens if a message is executed twice.
type Effect int

// The effects of a class.
const (
	// Idempotent messages may be executed any number of times.
	Idempotent Effect = iota
	// IdempotentWithKey messages carry an idempotency key. The destination ignores a repeat for as long as it
	// remembers the key.
	IdempotentWithKey
	// NotIdempotent messages must never be executed twice.
	NotIdempotent
)

// Outcome is the way in which one attempt ended.
type Outcome int

// The outcomes of an attempt; see [Outcome.ProvesNotExecuted].
const (
	// OK means that the endpoint accepted the message.
	OK Outcome = iota
	// Failed means that the endpoint answered with an error.
	Failed
	// Rejected means that the endpoint refused the call because it is above its limit, has a full queue, or
	// is draining.
	Rejected
	// TimedOut means that no response arrived in time.
	TimedOut
	// ConnectError means that no connection could be established.
	ConnectError
	// Reset means that the connection broke during the attempt.
	Reset
	// Canceled means that this dispatcher canceled the attempt.
	Canceled
	// NotSent means that the request was not written, or that its endpoint did not start to execute it, for
	// want of time, a slot or a remaining attempt.
	NotSent
	// NotStarted means that a shortage of local resources prevented the attempt. It says nothing about the
	// endpoint and does not count as an attempt.
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

// ProvesNotExecuted reports whether the outcome proves that the endpoint did not execute the message, so that
// a retry cannot execute it twice.
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

// Weights is the meaning of [Endpoint.Weight].
type Weights int

// The meanings of a weight.
const (
	// WeightsOff means that weights are ignored.
	WeightsOff Weights = iota
	// WeightsNominal means that a weight is the number of calls a second that the destination (or the route)
	// accepts from all relays together.
	WeightsNominal
	// WeightsRough has the same meaning as WeightsNominal, but a weight may be up to 50% too high or too low.
	WeightsRough
)

// ZoneState is the state of a zone at one relay.
type ZoneState int

// The states of a zone.
const (
	// Serving zones get calls as the state of their endpoints allows.
	Serving ZoneState = iota
	// Evacuated zones failed as a whole, as this relay observed. Those of their endpoints whose destination
	// is also served in another zone are ejected.
	Evacuated
	// EvacuatedByOrder zones get, by an operator's order, only messages that no other zone can take.
	EvacuatedByOrder
	// Recovering zones are in slow start after an evacuation.
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

// ZoneStatus is the status of a zone at one relay.
type ZoneStatus struct {
	Zone           int
	State          ZoneState
	EnteredAt      instant.Time // time at which the zone entered State
	OrderExpiresAt instant.Time // end of the operator's order, if State is EvacuatedByOrder
	Endpoints      int          // number of listed endpoints in the zone
	// Evacuations is the number of evacuations since the dispatcher was created. A failed recovery of an
	// evacuated zone does not count as another one.
	Evacuations int
	Recoveries  int // number of completed recoveries since the dispatcher was created
}

// Class is one class of messages.
type Class struct {
	Name             string
	LatencyObjective time.Duration // age up to which a message keeps its full value
	// Deadline is the largest age at which a message still has a value. Arrived.TimeLeft sets its expiry.
	Deadline       time.Duration
	PriorityWeight float64 // full value of a message
	// LateValueShare is the share of its full value that a message keeps at least, up to the deadline.
	LateValueShare float64
	// ExponentialDecay means that the value of a late message halves with each further LatencyObjective.
	// Otherwise it falls linearly, to LateValueShare at the deadline.
	ExponentialDecay  bool
	Effect            Effect
	KeysPerZone       bool          // whether only endpoints of the same zone share idempotency keys
	IdempotencyWindow time.Duration // time for which a destination remembers an idempotency key
	Ordered           bool          // whether messages of one key are sent one at a time, in order
}

// Kind is one kind of destination.
type Kind struct {
	SeparateRoutes bool // whether each endpoint is a route with its own limit, send rate and health
	MaxBatch       int  // largest number of messages in one call
}

// Settings is the configuration of a dispatcher.
type Settings struct {
	FleetSize int // number of relays that share the traffic, including this one
	Zone      int // zone of this relay, numbered as in Endpoint
	Classes   []Class
	Kinds     []Kind
	// ZoneCost is, for each zone, the cost of sending a message there, as a multiple of the mean
	// PriorityWeight.
	ZoneCost       []float64
	Slots          int  // largest number of simultaneous calls
	QueueCapacity  int  // largest number of unfinished messages, sent or waiting; resumed ones may exceed it
	MaxBatchBytes  int  // largest size of a call with several messages; 0 for no limit
	MaxAttempts    int  // largest number of attempts of one message
	Gossip         bool // whether Broadcast may be used
	Zones          bool // whether to evacuate failing zones and balance load by locality
	CanaryAnalysis bool // whether endpoints that started recently are canaries when listed
	PublishRates   bool // whether PublishRate is emitted, for relays that share their rates
	// HedgedRequests says whether a message may have two attempts in flight. The Dispatcher ignores it and
	// never starts a second one.
	HedgedRequests bool
	CanCancel      bool // whether Cancel is supported
	// Subscribe says whether the action Subscribe is emitted, and EndpointsUpdated arrives only after it.
	Subscribe             bool
	Weights               Weights       // meaning of Endpoint.Weight
	BatchInterval         time.Duration // shortest time between two calls of Handle
	MaxRetryAfter         time.Duration // longest Retry-After that is returned to a client
	SlowStartInitialShare float64       // share of its capacity that a destination has right after an outage
	SlowStartWindow       time.Duration // time after an outage until a destination has its full capacity
	// A destination in slow start is overloaded by calls at more than OverloadFactor times its present
	// capacity for OverloadWindow.
	OverloadFactor  float64
	OverloadWindow  time.Duration
	IdleConnTimeout time.Duration // time after which the caller closes idle connections; 0 for never
	OrderedKeyDelay time.Duration // time for which a key stays blocked after an attempt that may still run
	// Directory looks up listed endpoints, so that state is kept only for destinations in use. If it is nil,
	// or with Zones, state is kept for all listed endpoints.
	Directory Directory
}

// Directory looks up listed endpoints. The caller owns it and changes it only between calls of Handle, before
// the EndpointsUpdated that reports the change.
//
// With a Directory, a Dispatcher keeps state only for the destinations in use. It loads the state of a
// destination with the first message for it, or with the first event that limits it: StateInherited, a
// StateRestored or PeerSuspected that is still in effect, a rejection reported by another relay,
// PeerRateReceived, or the listing of a canary beside an older endpoint. Entries of EndpointsUpdated that
// concern no loaded state are ignored. Removals must be listed as Removed entries; Complete is not needed.
// The state of a destination is dropped after two idle minutes, unless it still limits the destination.
// PublishRate covers only destinations with loaded state.
//
// With Settings.Zones, the endpoints of all destinations are compared, so the Directory is not used and state
// is kept for all of them.
type Directory interface {
	// Endpoints returns the endpoints that are listed now for a destination, in a stable order.
	Endpoints(destination int) []Endpoint
	// Destination returns the destination of an endpoint, and whether the endpoint is listed.
	Destination(endpoint string) (destination int, listed bool)
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID          string
	Destination int
	Kind        int // index in Settings.Kinds
	Zone        int
	Weight      float64      // see Settings.Weights
	StartedAt   instant.Time // time of the last start; 0 if that was long ago
	Draining    bool         // whether the endpoint takes no new calls
	Removed     bool         // whether the endpoint is no longer listed
}

// Canary is the status of an endpoint that is a canary.
type Canary struct {
	Endpoint        string
	Destination     int
	Stage           int          // index of the stage, from 0
	Share           float64      // share of the destination's calls, together with its other canaries
	StageStartedAt  instant.Time // start of the stage; in the future during a suspension
	SuspendedUntil  instant.Time // end of the suspension; 0 or in the past if the canary is not suspended
	Suspensions     int
	RegressionScore float64 // highest score of any class, as a share of the score that suspends the canary
	HasBaseline     bool    // whether a healthy older endpoint serves beside it; else Share does not limit it
}

// LoadReport is what a destination reports, in a response, about the limit on its calls.
type LoadReport struct {
	Remaining float64 `json:"Left"`  // share of the allowance that is left
	Limit     float64 `json:"Limit"` // limit in calls a second; 0 for none
}

// PriorAttempt is an attempt that an earlier process of this relay made.
type PriorAttempt struct {
	Endpoint    string
	SentAt      instant.Time
	NotExecuted bool // whether the message was certainly not executed
	// InFlight means that the earlier process, which hands over to this one, still waits for the response.
	// AttemptEnded reports the outcome.
	InFlight bool
	Call     int // call number of an attempt in flight, shared by the attempts of one call
	// Interrupted means that the earlier process ended before the outcome of the attempt was known.
	Interrupted bool
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
	ConnectionLimit     float64      `json:"ConnCap"` // learned limit; 0 for none
	Tokens              float64      `json:"Tokens"`  // tokens of the slow start budget at TokensAt
	TokensAt            instant.Time `json:"TokensAt"`
}

// DecayingCount is the state of a counter whose counts decay over time.
type DecayingCount struct {
	Count     float64      `json:"N"`     // decayed count at UpdatedAt
	UpdatedAt instant.Time `json:"At"`    // time of the last update
	StartedAt instant.Time `json:"Since"` // time at which the counter started
}
