package policy

import (
	"time"

	"milletsail/internal/instant"
)

// Effect says what a second execution of a message would do.
type Effect int

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // the destination drops a repeat while it remembers the key
	Unsafe               // must never run twice
)

// Outcome says how one attempt ended.
type Outcome int

// The outcomes of an attempt. QueueFull, ConnectError, Ignored and Unsent prove that it never ran.
const (
	OK           Outcome = iota // delivered
	Failed                      // answered with an error
	QueueFull                   // turned away: above the limit, queue full, shut or draining
	TimedOut                    // no answer in time
	ConnectError                // no connection
	Reset                       // the connection broke while the attempt was out
	Canceled                    // called off by this dispatcher
	Ignored                     // never sent: no slot, no time or no attempts left
	Unsent                      // never begun, for a lack here that says nothing of the endpoint: it counts as no attempt
)

var outcomeNames = [...]string{"ok", "failed", "full", "timed out", "no connection", "reset", "canceled", "not sent", "not begun"}

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
	Ordered
	Returning
)

var zoneNames = [...]string{"serving", "evacuated", "evacuated by order", "returning"}

// String names a state for logs and operators.
func (s ZoneState) String() string { return zoneNames[s] }

// Zone is what a dispatcher says of a zone.
type Zone struct {
	Zone                 int
	State                ZoneState
	Since, Until         instant.Time // Until: of an order
	Endpoints            int
	Evacuations, Returns int
}

// Class is one class of message.
type Class struct {
	Name      string
	Aim       time.Duration // full worth up to here
	Deadline  time.Duration // given up after this
	Worth     float64
	LateShare float64 // share of the worth left at the deadline
	Halving   bool    // the worth halves with each further Aim instead of falling evenly
	Effect    Effect
	ByZone    bool          // Keyed: only endpoints of one zone share the memory of a key
	Memory    time.Duration // Keyed: how long a key is remembered
	Ordered   bool          // messages with one key go one at a time, in order
}

// Kind is one kind of destination.
type Kind struct {
	Separate bool // its endpoints are routes apart, each with its own limit, pace and outages
	Bundle   int  // messages in one call at most
}

// Settings is all that a dispatcher is told at its start.
type Settings struct {
	Instances      int // relays that share the traffic, this one included
	Zone           int // of this relay, as in Endpoint
	Classes        []Class
	Kinds          []Kind
	ZoneFee        []float64 // by zone: points of the result for all messages sent by such routes
	Slots          int       // calls out at once
	HoldRoom       int       // messages held, sent or not
	CallSize       int       // bytes that a call with several messages holds at most; 0 for any number
	MaxAttempts    int
	Peers          bool // notes to other relays are allowed
	Zones          bool // decide by zones: see zones.go
	Newcomers      bool // let endpoints that are new on the list prove themselves: see newcomers.go
	Shares         bool // Share is of use: what relays observe is shared
	SecondCopies   bool // two attempts of a message may be out at once
	CanCancel      bool
	Subscribe      bool // list changes come only after Subscribe
	Weights        Weights
	Tick           time.Duration // least time between batches
	MaxStayAway    time.Duration // longest hold-off that a client honours
	ColdShare      float64       // share of its capacity that a destination has after an outage
	RampTime       time.Duration // and all of it after this
	OverloadFactor float64       // sent more than this multiple of its present capacity
	OverloadFor    time.Duration // for this long, a cold destination falls over
	ConnIdle       time.Duration // idle connections close by themselves after this; 0 for never
	OrderPause     time.Duration // rest of a key after an attempt that may still run
	Directory      Directory     // nil: state is kept for all endpoints of Listed
}

// Directory looks listed endpoints up. The caller owns it, and changes it only between calls of Handle: before the
// Listed that reports the change.
//
// With a Directory, a Dispatcher keeps state only for the destinations in use. State comes with the first message for
// a destination, or the first fact that binds it: Recalled or Learned, a refusal that another relay reports, Accused,
// Paced, or an endpoint that is on trial beside an older one. Entries of Listed that concern no state are ignored;
// removals have to be listed as Gone, Whole is not needed. State goes when its destination has been idle for two
// minutes and nothing that is known of it binds. Share then names such destinations alone.
//
// With Settings.Zones, which compares the endpoints of all destinations, the Directory is not used: state comes with
// Listed and stays, as without one.
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
	Born        instant.Time // when it last started; 0 for long ago
	Draining    bool         // send nothing new
	Gone        bool         // removed
}

// Newcomer is an endpoint on trial.
type Newcomer struct {
	Endpoint    string
	Destination int
	Stage       int          // from 0
	Share       float64      // of its destination's calls, with all that are on trial there
	Since       instant.Time // of the stage, or the end of the time in which it gets nothing
	Held        instant.Time // until when it gets nothing; past or 0 for not now
	Holds       int
	Doubt       float64 // the most that its outcomes in a class speak for its being worse; 1 has it held
	Proving     bool    // an older endpoint serves beside it, so that it is kept to its share
}

// Report is a load report of a destination.
type Report struct {
	Left  float64 `json:"Left"`  // share of the allowance that is left
	Limit float64 `json:"Limit"` // calls a second; 0 where there is no limit
}

// Tried is an attempt that an earlier process of this relay made.
type Tried struct {
	Endpoint string
	Sent     instant.Time
	Unrun    bool // proved never to have run
	// Out says that it still is, in the process that hands over: Ended reports its end. Those of one Call share it.
	Out  bool
	Call int
}

// LearnedEndpoint is the part of Learned that concerns one endpoint.
type LearnedEndpoint struct {
	ID        string       `json:"ID"`
	Sick      bool         `json:"Sick"`
	Ramping   bool         `json:"Ramping"`
	SickAt    instant.Time `json:"SickAt"`
	Recovered instant.Time `json:"Recovered"`
	LastOK    instant.Time `json:"LastOK"`
	Failures  float64      `json:"Failures"`
	ConnCap   float64      `json:"ConnCap"`
	Tokens    float64      `json:"Tokens"`
	TokensAt  instant.Time `json:"TokensAt"`
}

// Counted is the state of a counter that fades.
type Counted struct {
	N     float64      `json:"N"`
	At    instant.Time `json:"At"`
	Since instant.Time `json:"Since"`
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
		Left        time.Duration // until it is given up
		Size        int           // bytes that it takes up in a call with others
		Key         string        // of ordered classes, or empty
		// Resumed says that an earlier process of this relay took the message on: it is not up for
		// admission again. Tried are that process's attempts, which count as this one's.
		Resumed bool
		Tried   []Tried
		// Over says that the message has its end, and is named for its attempt that is out alone.
		Over bool
	}
	// Ended reports how an attempt ended.
	Ended struct {
		ID       string
		Endpoint string
		Attempt  int
		Outcome  Outcome
		Wait     time.Duration // told to wait
		Took     time.Duration
		Over     bool    // the message has its final answer
		Spent    bool    // the message has had all its attempts
		Report   *Report // or nil
	}
	// Withdrawn says that nobody wants a message any more; no answer is owed.
	Withdrawn struct{ ID string }
	// Listed changes the list of endpoints, or replaces it when Whole. See Directory for what is ignored.
	Listed struct {
		Whole     bool
		Endpoints []Endpoint
	}
	// ListFailed says that a subscription failed or was dropped.
	ListFailed struct{}
	// Recalled tells what an earlier process of this relay remembered of a listed endpoint.
	Recalled Remember
	// Learned tells what the process that hands over has learned of a queue.
	Learned struct {
		Endpoints []LearnedEndpoint `json:"Endpoints"`
		Wait      instant.Time      `json:"Wait"` // nothing is sent until then: told, and by its own choice
		Hold      instant.Time      `json:"Hold"`
		Outcomes  int               `json:"Outcomes"`
		Mean      float64           `json:"Mean"` // latency, in seconds
		Class     []float64         `json:"Class"`
		Width     float64           `json:"Width"`
		Pace      float64           `json:"Pace"`
		Tokens    float64           `json:"Tokens"`
		TokensAt  instant.Time      `json:"TokensAt"`
		Fulls     int               `json:"Fulls"`
		FirstFull instant.Time      `json:"FirstFull"`
		LastOK    instant.Time      `json:"LastOK"`
		Arrivals  Counted           `json:"Arrivals"`
		Misses    Counted           `json:"Misses"`
	}
	// Heard brings what another relay told.
	Heard struct{ Note []byte }
	// Accused says what the fleet has found of a destination (a run of refusals) or, where it is named, of an
	// endpoint (it is out), as observed by relays in this one's place: how many have found it bad that nobody has
	// found good since, and the ages of the first and the last such finding. Until is how long it may be used.
	// Rank is this relay's turn to try it, 0 for the first. It replaces what was said of the same before.
	Accused struct {
		Destination int    // where Endpoint is empty
		Endpoint    string // or empty
		Origins     int
		Fresh       int // of these, those that found so just now
		First, Last time.Duration
		Until       time.Duration
		Rank        int
	}
	// Paced says what other relays, Tellers of them, send a destination and get for it.
	Paced struct {
		Destination    int
		Relays         int // that count as there, this one included
		Tellers        int
		Pace           float64   // the median, in parts of an even share of the listed rate
		Traffic, Error float64   // messages a second at one relay, and the standard error of that
		ByZone         []float64 // messages a second that arrive in each zone, over its relays; or nil
		Until          time.Duration
	}
	// Stored says whether attempts can be recorded for a later process; they can until it says otherwise.
	Stored struct{ Writable bool }
	// Stopping says that this process is about to end: nothing more is sent.
	Stopping struct{}
	// Woken says that a timer fell due.
	Woken struct{}
)

func (Arrived) event()    {}
func (Ended) event()      {}
func (Withdrawn) event()  {}
func (Listed) event()     {}
func (ListFailed) event() {}
func (Recalled) event()   {}
func (Learned) event()    {}
func (Heard) event()      {}
func (Accused) event()    {}
func (Paced) event()      {}
func (Stored) event()     {}
func (Stopping) event()   {}
func (Woken) event()      {}

// Action is something that a dispatcher wants done.
type Action interface{ action() }

// The actions.
type (
	// Send starts the next attempt of a message; Timeout 0 leaves it out until the deadline. Messages sent
	// with the same Call travel together. Where Within is above 0, the call must be written whole in that time
	// or not at all (Ignored), however long its connection takes to come up.
	Send struct {
		ID       string
		Endpoint string
		Timeout  time.Duration
		Within   time.Duration
		Call     int
	}
	// Refuse ends a message undelivered; the client may safely come again.
	Refuse struct {
		ID       string
		StayAway time.Duration
		Reason   Reason
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
	// Withhold has calls to an endpoint that are not begun to be written come back unwritten (Ignored).
	Withhold struct{ Endpoint string }
	// CloseIdle closes the idle connections of this relay to an endpoint.
	CloseIdle struct{ Endpoint string }
	// Wake asks for Woken.
	Wake struct{ After time.Duration }
	// Subscribe asks for changes of the list.
	Subscribe struct{}
	// Tell sends all other relays a note. It may come late or not at all.
	Tell struct{ Note []byte }
	// Remember is what a later process of this relay has to know of an endpoint: that it is out, or when
	// it came back.
	Remember struct {
		Endpoint string
		Sick     bool
		At       instant.Time
		Hearsay  bool // this relay has not seen it itself
	}
	// Zoned says that a zone is served now, or left, or returned to; for logs.
	Zoned struct {
		Zone  int
		State ZoneState
	}
	// Proved says that an endpoint that is new on the list has a stage begun, or gets nothing until Held, or, with neither,
	// is through; for logs.
	Proved struct {
		Endpoint string
		Share    float64
		Held     instant.Time
	}
	// Share is for the other relays: this one's pace for a destination, in parts of an even share of the listed
	// rate, and the messages a second that arrive for it.
	Share struct {
		Destination   int
		Pace, Traffic float64
	}
)

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (Withhold) action()  {}
func (CloseIdle) action() {}
func (Wake) action()      {}
func (Subscribe) action() {}
func (Tell) action()      {}
func (Remember) action()  {}
func (Share) action()     {}
func (Zoned) action()     {}
func (Proved) action()    {}
