package policy

import (
	"time"

	"milletsail/internal/instant"
)

// Event is something that happened to a dispatcher.
type Event interface{ event() }

// The events.
type (
	// Arrived hands in a message. It has to end exactly once.
	Arrived struct {
		ID          string
		Class       int
		Destination int
		TimeLeft    time.Duration // until it expires
		Size        int           // bytes that it takes up in a call with others
		Key         string        // of ordered classes, or empty
		// Resumed says that an earlier process of this relay admitted the message: it is not up for admission
		// again.
		Resumed bool
		// PriorAttempts are that process's attempts, which count as this one's.
		PriorAttempts []PriorAttempt
		// Completed says that the message has its final answer, and is named only for its attempt that is in
		// flight.
		Completed bool
	}
	// AttemptEnded reports how an attempt ended.
	AttemptEnded struct {
		ID                string
		Endpoint          string
		Attempt           int
		Outcome           Outcome
		RetryAfter        time.Duration // as the destination asks for, or 0
		Latency           time.Duration
		Completed         bool        // the message has its final answer
		AttemptsExhausted bool        // the message has had all its attempts
		LoadReport        *LoadReport // or nil
	}
	// Withdrawn says that nobody wants a message any more; it needs no answer.
	Withdrawn struct{ ID string }
	// EndpointsUpdated changes the endpoint list, or replaces it if Complete. See Directory for what is
	// ignored.
	EndpointsUpdated struct {
		Complete  bool
		Endpoints []Endpoint
	}
	// WatchFailed says that the watch of the endpoint list failed or was dropped.
	WatchFailed struct{}
	// StateRestored is the health of a listed endpoint as an earlier process of this relay recorded it.
	StateRestored PersistHealth
	// StateInherited is the state of a queue as the process that hands over knows it. Latencies are in
	// seconds, the send rate in calls a second.
	StateInherited struct {
		Endpoints             []InheritedEndpoint `json:"Endpoints"`
		RetryAfterUntil       instant.Time        `json:"Wait"` // end of a Retry-After
		BackoffUntil          instant.Time        `json:"Hold"` // end of the relay's own pause
		Outcomes              int                 `json:"Outcomes"`
		MeanLatency           float64             `json:"Mean"`
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
	// GossipReceived brings the message of another relay's Broadcast.
	GossipReceived struct{ Message []byte }
	// PeerSuspected reports what other relays of the fleet observe of a destination (a run of rejections) or
	// of an endpoint (it is down). It replaces the last report of the same.
	PeerSuspected struct {
		Destination     int           // if Endpoint is empty
		Endpoint        string        // or empty
		Observers       int           // relays that found it bad, since the last one found it good
		RecentObservers int           // of these, those that found so just now
		OldestAge       time.Duration // of the first of these observations
		NewestAge       time.Duration // of the last one
		ValidFor        time.Duration // how long the report may be used
		Rank            int           // this relay's turn to probe it, from 0
	}
	// PeerRateReceived reports what other relays send a destination and get for it.
	PeerRateReceived struct {
		Destination       int
		LiveRelays        int       // that share the traffic, this one included
		Reporters         int       // relays that the report is from
		RateShare         float64   // median of their send rates, in even shares of the listed rate
		ArrivalRate       float64   // messages a second at one relay
		ArrivalRateError  float64   // standard error of ArrivalRate
		ArrivalRateByZone []float64 // messages a second that arrive in each zone, over its relays; or nil
		ValidFor          time.Duration
	}
	// StorageChanged says whether attempts can be recorded for a later process; they can until it says
	// otherwise.
	StorageChanged struct{ Writable bool }
	// ShutdownStarted says that this process is about to end: nothing more is sent.
	ShutdownStarted struct{}
	// TimerFired says that the timer of SetTimer fired.
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
