package policy

import (
	"time"

	"milletsail/internal/instant"
)

// Event is an input to [Dispatcher.Handle].
type Event interface{ event() }

// The events.
type (
	// Arrived adds a message, which ends with exactly one final answer unless it is withdrawn.
	Arrived struct {
		ID          string
		Class       int
		Destination int
		TimeLeft    time.Duration // time until the message expires
		Size        int           // bytes that the message adds to a batch
		Key         string        // ordering key, for ordered classes; may be empty
		// Resumed means that an earlier process of this relay admitted the message, so that it skips
		// admission control.
		Resumed bool
		// PriorAttempts are the attempts that the earlier process made. They count as this process's own.
		PriorAttempts []PriorAttempt
		// Completed means that the message already has its final answer. It is resumed only because one of
		// its attempts is still in flight.
		Completed bool
	}
	// AttemptEnded reports the outcome of an attempt.
	AttemptEnded struct {
		ID                string
		Endpoint          string
		Attempt           int // index of the attempt, from 0
		Outcome           Outcome
		RetryAfter        time.Duration // Retry-After of the response, or 0
		Latency           time.Duration // duration of the call; if 0, the time since it was sent is used
		Completed         bool          // whether the message has its final answer
		AttemptsExhausted bool          // whether the message may have no further attempts
		LoadReport        *LoadReport   // load report in the response, or nil
	}
	// Withdrawn means that a message is no longer wanted and needs no answer.
	Withdrawn struct{ ID string }
	// EndpointsUpdated changes entries of the endpoint list, or replaces the whole list if Complete is set.
	// With a Directory, some entries are ignored; see there.
	EndpointsUpdated struct {
		Complete  bool
		Endpoints []Endpoint
	}
	// WatchFailed reports that the watch of the endpoint list failed or was closed.
	WatchFailed struct{}
	// StateRestored is the health of a listed endpoint as an earlier process of this relay recorded it.
	StateRestored PersistHealth
	// StateInherited is the state of a queue in the process that hands over to this one. Latencies are in
	// seconds.
	StateInherited struct {
		Endpoints             []InheritedEndpoint `json:"Endpoints"`
		RetryAfterUntil       instant.Time        `json:"Wait"`     // end of a Retry-After
		BackoffUntil          instant.Time        `json:"Hold"`     // end of a backoff after a rejection
		Outcomes              int                 `json:"Outcomes"` // number of recorded latencies
		MeanLatency           float64             `json:"Mean"`
		ClassLatency          []float64           `json:"Class"`  // mean latency of each class
		Concurrency           float64             `json:"Width"`  // mean number of calls in flight
		SendRate              float64             `json:"Pace"`   // calls a second; 0 for unlimited
		Tokens                float64             `json:"Tokens"` // tokens of the send rate at TokensAt
		TokensAt              instant.Time        `json:"TokensAt"`
		ConsecutiveRejections int                 `json:"Fulls"`
		FirstRejectionAt      instant.Time        `json:"FirstFull"`
		LastSuccessAt         instant.Time        `json:"LastOK"`
		Arrivals              DecayingCount       `json:"Arrivals"` // arrived messages
		Misses                DecayingCount       `json:"Misses"`   // rejections by the basic rule alone
	}
	// GossipReceived delivers a message that another relay sent with Broadcast.
	GossipReceived struct{ Message []byte }
	// PeerSuspected summarizes the reports of other relays that a destination rejects all calls, or that an
	// endpoint is down. It replaces the last summary for the same destination or endpoint.
	PeerSuspected struct {
		Destination     int           // destination that is reported, if Endpoint is empty
		Endpoint        string        // endpoint that is reported, or empty
		Observers       int           // number of relays that report it without a later recovery; 0 for none
		RecentObservers int           // number of these relays whose reports are recent
		OldestAge       time.Duration // age of the oldest report
		NewestAge       time.Duration // age of the newest report
		ValidFor        time.Duration // time for which the summary may be used
		Rank            int           // position of this relay in the order of probing, from 0
	}
	// PeerRateReceived summarizes the send and arrival rates of other relays for a destination.
	PeerRateReceived struct {
		Destination       int
		LiveRelays        int           // number of relays that share the traffic, including this one
		Reporters         int           // number of relays that reported their rates
		RateShare         float64       // median send rate, as a multiple of an even share of the listed rate
		ArrivalRate       float64       // mean number of messages a second that arrive at one relay
		ArrivalRateError  float64       // standard error of ArrivalRate
		ArrivalRateByZone []float64     // messages a second that arrive at each zone's relays; nil if unknown
		ValidFor          time.Duration // time for which the summary may be used
	}
	// StorageChanged reports whether attempts can be recorded for a later process. Until the first such
	// event, the dispatcher assumes that they can.
	StorageChanged struct{ Writable bool }
	// ShutdownStarted reports that this process is about to end. Nothing is sent after it.
	ShutdownStarted struct{}
	// TimerFired reports that the timer requested with SetTimer has fired.
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
