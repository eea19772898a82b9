package policy

import (
	"time"

	"milletsail/internal/instant"
)

// Effect says what a second execution of a message would do.
type Effect int

// The effects of a class.
const (
	Idempotent        Effect = iota // may be repeated at will
	IdempotentWithKey               // the destination drops a repeat while it remembers the key
	NotIdempotent                   // must never run twice
)

// Outcome says how one attempt ended.
type Outcome int

// The outcomes of an attempt; see [Outcome.ProvesNotExecuted].
const (
	OK           Outcome = iota // delivered
	Failed                      // answered with an error
	Rejected                    // turned away: above the limit, queue full, shut or draining
	TimedOut                    // no answer in time
	ConnectError                // no connection
	Reset                       // the connection broke while the attempt was out
	Canceled                    // called off by this dispatcher
	NotSent                     // never sent: no slot, no time or no attempts left
	NotStarted                  // never begun, for a lack here that says nothing of the endpoint: it counts as no attempt
)

var outcomeNames = [...]string{"ok", "failed", "full", "timed out", "no connection", "reset", "canceled", "not sent", "not begun"}

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

// String names an outcome for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Weights says what an endpoint's weight holds.
type Weights int

// The meanings of a weight.
const (
	WeightsOff     Weights = iota // nothing
	WeightsNominal                // calls a second the destination (or route) takes from all relays
	WeightsRough                  // the same, up to half too high or too low
)

// ZoneState is how a zone fares with one relay.
type ZoneState int

// The states of a zone: left by the relay's own verdict or by order, and returned to by steps.
const (
	Serving ZoneState = iota
	Evacuated
	EvacuatedByOrder
	Recovering
)

var zoneNames = [...]string{"serving", "evacuated", "evacuated by order", "returning"}

// String names a state for logs and operators.
func (s ZoneState) String() string { return zoneNames[s] }

// ZoneStatus is what a dispatcher says of a zone.
type ZoneStatus struct {
	Zone                      int
	State                     ZoneState
	EnteredAt, OrderExpiresAt instant.Time // Until: of an order
	Endpoints                 int
	Evacuations, Recoveries   int
}

// Class is one class of message.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // full worth up to here
	Deadline          time.Duration // given up after this
	PriorityWeight    float64
	LateValueShare    float64 // share of the worth left at the deadline
	ExponentialDecay  bool    // the worth halves with each further Aim instead of falling evenly
	Effect            Effect
	KeysPerZone       bool          // Keyed: only endpoints of one zone share the memory of a key
	IdempotencyWindow time.Duration // Keyed: how long a key is remembered
	Ordered           bool          // messages with one key go one at a time, in order
}

// Kind is one kind of destination.
type Kind struct {
	SeparateRoutes bool // its endpoints are routes apart, each with its own limit, pace and outages
	MaxBatch       int  // messages in one call at most
}

// Settings is all that a dispatcher is told at its start.
type Settings struct {
	FleetSize             int // relays that share the traffic, this one included
	Zone                  int // of this relay, as in Endpoint
	Classes               []Class
	Kinds                 []Kind
	ZoneCost              []float64 // by zone: points of the result for all messages sent by such routes
	Slots                 int       // calls out at once
	QueueCapacity         int       // messages held, sent or not
	MaxBatchBytes         int       // bytes that a call with several messages holds at most; 0 for any number
	MaxAttempts           int
	Gossip                bool // notes to other relays are allowed
	Zones                 bool // decide by zones: see zones.go
	CanaryAnalysis        bool // let endpoints that are new on the list prove themselves: see newcomers.go
	PublishRates          bool // Share is of use: what relays observe is shared
	HedgedRequests        bool // two attempts of a message may be out at once
	CanCancel             bool
	Subscribe             bool // list changes come only after Subscribe
	Weights               Weights
	BatchInterval         time.Duration // least time between batches
	MaxRetryAfter         time.Duration // longest hold-off that a client honours
	SlowStartInitialShare float64       // share of its capacity that a destination has after an outage
	SlowStartWindow       time.Duration // and all of it after this
	OverloadFactor        float64       // sent more than this multiple of its present capacity
	OverloadWindow        time.Duration // for this long, a cold destination falls over
	IdleConnTimeout       time.Duration // idle connections close by themselves after this; 0 for never
	OrderedKeyDelay       time.Duration // rest of a key after an attempt that may still run
	Directory             Directory     // nil: state is kept for all endpoints of Listed
}

// Directory looks listed endpoints up. The caller owns it, and changes it only between calls of Handle:
// before the Listed that reports the change.
//
// With a Directory, a Dispatcher keeps state only for the destinations in use. State comes with the first
// message for a destination, or the first fact that binds it: Recalled or Learned, a refusal that another
// relay reports, Accused, Paced, or an endpoint that is on trial beside an older one. Entries of Listed that
// concern no state are ignored; removals have to be listed as Gone, Whole is not needed. State goes when its
// destination has been idle for two minutes and nothing that is known of it binds. Share then names such
// destinations alone.
//
// With Settings.Zones, which compares the endpoints of all destinations, the Directory is not used: state
// comes with Listed and stays, as without one.
type Directory interface {
	Endpoints(destination int) []Endpoint    // listed now, in a stable order
	Destination(endpoint string) (int, bool) // of a listed endpoint
}

// Endpoint is one entry of the list of endpoints.
type Endpoint struct {
	ID          string
	Destination int
	Kind        int
	Zone        int
	Weight      float64
	StartedAt   instant.Time // when it last started; 0 for long ago
	Draining    bool         // send nothing new
	Removed     bool         // removed
}

// Canary is an endpoint on trial.
type Canary struct {
	Endpoint        string
	Destination     int
	Stage           int          // from 0
	Share           float64      // of its destination's calls, with all that are on trial there
	StageStartedAt  instant.Time // of the stage, or the end of the time in which it gets nothing
	SuspendedUntil  instant.Time // until when it gets nothing; past or 0 for not now
	Suspensions     int
	RegressionScore float64 // the most that its outcomes in a class speak for its being worse; 1 has it held
	HasBaseline     bool    // an older endpoint serves beside it, so that it is kept to its share
}

// LoadReport is a load report of a destination.
type LoadReport struct {
	Remaining float64 `json:"Left"`  // share of the allowance that is left
	Limit     float64 `json:"Limit"` // calls a second; 0 where there is no limit
}

// PriorAttempt is an attempt that an earlier process of this relay made.
type PriorAttempt struct {
	Endpoint    string
	SentAt      instant.Time
	NotExecuted bool // proved never to have run
	// InFlight says that it still is, in the process that hands over: Ended reports its end. Those of one
	// Call share it.
	InFlight bool
	Call     int
}

// InheritedEndpoint is the part of Learned that concerns one endpoint.
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

// DecayingCount is the state of a counter that fades.
type DecayingCount struct {
	Count     float64      `json:"N"`
	UpdatedAt instant.Time `json:"At"`
	StartedAt instant.Time `json:"Since"`
}

// Event is something that happened to a dispatcher.
type Event interface{ event() }

// The events.
type (
	// Arrived hands in a message. It has to end exactly once.
	Arrived struct {
		ID          string
		Class       int
		Destination int
		TimeLeft    time.Duration // until it is given up
		Size        int           // bytes that it takes up in a call with others
		Key         string        // of ordered classes, or empty
		// Resumed says that an earlier process of this relay took the message on: it is not up for
		// admission again. Tried are that process's attempts, which count as this one's.
		Resumed       bool
		PriorAttempts []PriorAttempt
		// Completed says that the message has its end, and is named for its attempt that is out alone.
		Completed bool
	}
	// AttemptEnded reports how an attempt ended.
	AttemptEnded struct {
		ID                string
		Endpoint          string
		Attempt           int
		Outcome           Outcome
		RetryAfter        time.Duration // told to wait
		Latency           time.Duration
		Completed         bool        // the message has its final answer
		AttemptsExhausted bool        // the message has had all its attempts
		LoadReport        *LoadReport // or nil
	}
	// Withdrawn says that nobody wants a message any more; no answer is owed.
	Withdrawn struct{ ID string }
	// EndpointsUpdated changes the list of endpoints, or replaces it when Whole. See Directory for what is
	// ignored.
	EndpointsUpdated struct {
		Complete  bool
		Endpoints []Endpoint
	}
	// WatchFailed says that a subscription failed or was dropped.
	WatchFailed struct{}
	// StateRestored tells what an earlier process of this relay remembered of a listed endpoint.
	StateRestored PersistHealth
	// StateInherited tells what the process that hands over has learned of a queue.
	StateInherited struct {
		Endpoints             []InheritedEndpoint `json:"Endpoints"`
		RetryAfterUntil       instant.Time        `json:"Wait"` // nothing is sent until then: told, and by its own choice
		BackoffUntil          instant.Time        `json:"Hold"`
		Outcomes              int                 `json:"Outcomes"`
		MeanLatency           float64             `json:"Mean"` // latency, in seconds
		ClassLatency          []float64           `json:"Class"`
		Concurrency           float64             `json:"Width"`
		SendRate              float64             `json:"Pace"`
		Tokens                float64             `json:"Tokens"`
		TokensAt              instant.Time        `json:"TokensAt"`
		ConsecutiveRejections int                 `json:"Fulls"`
		FirstRejectionAt      instant.Time        `json:"FirstFull"`
		LastSuccessAt         instant.Time        `json:"LastOK"`
		Arrivals              DecayingCount       `json:"Arrivals"`
		Misses                DecayingCount       `json:"Misses"`
	}
	// GossipReceived brings what another relay told.
	GossipReceived struct{ Message []byte }
	// PeerSuspected says what the fleet has found of a destination (a run of refusals) or, where it is named,
	// of an endpoint (it is out), as observed by relays in this one's place: how many have found it bad that
	// nobody has found good since, and the ages of the first and the last such finding. Until is how long it
	// may be used. Rank is this relay's turn to try it, 0 for the first. It replaces what was said of the
	// same before.
	PeerSuspected struct {
		Destination          int    // where Endpoint is empty
		Endpoint             string // or empty
		Observers            int
		RecentObservers      int // of these, those that found so just now
		OldestAge, NewestAge time.Duration
		ValidFor             time.Duration
		Rank                 int
	}
	// PeerRateReceived says what other relays, Tellers of them, send a destination and get for it.
	PeerRateReceived struct {
		Destination                   int
		LiveRelays                    int // that count as there, this one included
		Reporters                     int
		RateShare                     float64   // the median, in parts of an even share of the listed rate
		ArrivalRate, ArrivalRateError float64   // messages a second at one relay, and the standard error of that
		ArrivalRateByZone             []float64 // messages a second that arrive in each zone, over its relays; or nil
		ValidFor                      time.Duration
	}
	// StorageChanged says whether attempts can be recorded for a later process; they can until it says
	// otherwise.
	StorageChanged struct{ Writable bool }
	// ShutdownStarted says that this process is about to end: nothing more is sent.
	ShutdownStarted struct{}
	// TimerFired says that a timer fell due.
	TimerFired struct{}
)

func (Arrived) event()          {}
func (AttemptEnded) event()     {}
func (Withdrawn) event()        {}
func (EndpointsUpdated) event() {}
func (WatchFailed) event()      {}
func (StateRestored) event()    {}
func (StateInherited) event()   {}
func (GossipReceived) event()   {}
func (PeerSuspected) event()    {}
func (PeerRateReceived) event() {}
func (StorageChanged) event()   {}
func (ShutdownStarted) event()  {}
func (TimerFired) event()       {}

// Action is something that a dispatcher wants done.
type Action interface{ action() }

// The actions.
type (
	// Send starts the next attempt of a message; Timeout 0 leaves it out until the deadline. Messages sent
	// with the same Call travel together. Where Within is above 0, the call must be written whole in that
	// time or not at all (Ignored), however long its connection takes to come up.
	Send struct {
		ID           string
		Endpoint     string
		Timeout      time.Duration
		WriteTimeout time.Duration
		Call         int
	}
	// Reject ends a message undelivered; the client may safely come again.
	Reject struct {
		ID         string
		RetryAfter time.Duration
		Reason     Reason
	}
	// Fail ends a message; the client is told nothing of its effect.
	Fail struct {
		ID     string
		Reason Reason
	}
	// Cancel ends the wait on an attempt.
	Cancel struct {
		ID      string
		Attempt int
	}
	// CancelUnwritten has calls to an endpoint that are not begun to be written come back unwritten
	// (Ignored).
	CancelUnwritten struct{ Endpoint string }
	// CloseIdleConnections closes the idle connections of this relay to an endpoint.
	CloseIdleConnections struct{ Endpoint string }
	// SetTimer asks for Woken.
	SetTimer struct{ After time.Duration }
	// Subscribe asks for changes of the list.
	Subscribe struct{}
	// Broadcast sends all other relays a note. It may come late or not at all.
	Broadcast struct{ Message []byte }
	// PersistHealth is what a later process of this relay has to know of an endpoint: that it is out, or when
	// it came back.
	PersistHealth struct {
		Endpoint   string
		Ejected    bool
		At         instant.Time
		SecondHand bool // this relay has not seen it itself
	}
	// ZoneStateChanged says that a zone is served now, or left, or returned to; for logs.
	ZoneStateChanged struct {
		Zone  int
		State ZoneState
	}
	// CanaryStageChanged says that an endpoint that is new on the list has a stage begun, or gets nothing
	// until Held, or, with neither, is through; for logs.
	CanaryStageChanged struct {
		Endpoint       string
		Share          float64
		SuspendedUntil instant.Time
	}
	// PublishRate is for the other relays: this one's pace for a destination, in parts of an even share of
	// the listed rate, and the messages a second that arrive for it.
	PublishRate struct {
		Destination            int
		RateShare, ArrivalRate float64
	}
)

func (Send) action()                 {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (Cancel) action()               {}
func (CancelUnwritten) action()      {}
func (CloseIdleConnections) action() {}
func (SetTimer) action()             {}
func (Subscribe) action()            {}
func (Broadcast) action()            {}
func (PersistHealth) action()        {}
func (PublishRate) action()          {}
func (ZoneStateChanged) action()     {}
func (CanaryStageChanged) action()   {}
