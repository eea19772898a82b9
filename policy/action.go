package policy

import (
	"time"

	"milletsail/internal/instant"
)

// Action is an instruction that [Dispatcher.Handle] returns for the caller to carry out.
type Action interface{ action() }

// The actions.
type (
	// Send starts the next attempt of a message. Messages with the same Call number are sent in one call.
	Send struct {
		ID       string
		Endpoint string
		// Timeout is the time to wait for the response; 0 means until the message's deadline.
		Timeout time.Duration
		// WriteTimeout is the time within which the request must be written, including the time to connect.
		// If that is not possible, nothing may be written and the attempt ends as NotSent. 0 means no limit.
		WriteTimeout time.Duration
		Call         int
		// Limit is what limited the call, and Budget the calls a second that this relay's slow start budget for
		// the endpoint allowed then (0 where Limit is no budget). Both are for logs.
		Limit  CallLimit
		Budget float64
	}
	// Reject ends a message that was certainly not executed, or that is safe to repeat. The client may send
	// it again after RetryAfter.
	Reject struct {
		ID         string
		RetryAfter time.Duration
		Reason     Reason
	}
	// Fail ends a message that may or may not have been executed, and that the client cannot safely repeat.
	Fail struct {
		ID     string
		Reason Reason
	}
	// Cancel abandons an attempt whose response is still outstanding.
	Cancel struct {
		ID      string
		Attempt int
	}
	// CancelUnwritten cancels the calls to an endpoint whose requests are not yet being written. Their
	// attempts end as NotSent.
	CancelUnwritten struct{ Endpoint string }
	// CloseIdleConnections closes the idle connections of this relay to an endpoint.
	CloseIdleConnections struct{ Endpoint string }
	// SetTimer requests a TimerFired event after the given time, and replaces the timer that was requested
	// before.
	SetTimer struct{ After time.Duration }
	// Subscribe starts a watch of the endpoint list.
	Subscribe struct{}
	// Broadcast sends a gossip message to all other relays. Delivery may be late and is not guaranteed.
	Broadcast struct{ Message []byte }
	// PersistHealth records that an endpoint was ejected, or that it recovered, so that a later process of
	// this relay can restore it with StateRestored.
	PersistHealth struct {
		Endpoint string
		Ejected  bool         // false after a recovery
		At       instant.Time // time of the ejection or recovery
		// SecondHand means that other relays reported the change, that it was inferred for a whole zone, or
		// that this relay was isolated when it ejected the endpoint.
		SecondHand bool
	}
	// PersistSuspicion records that a call to an endpoint failed, or that its failures stood alone. A later
	// process of this relay restores a failure like an ejection, with StateRestored: it cannot know whether
	// the endpoint has come back meanwhile.
	PersistSuspicion struct {
		Endpoint  string
		Suspected bool
		At        instant.Time // time of the failure; otherwise of the last recovery, or 0 for never
	}
	// ZoneStateChanged reports the new state of a zone, for logs.
	ZoneStateChanged struct {
		Zone  int
		State ZoneState
	}
	// CanaryStageChanged reports, for logs, that a canary enters the next stage, is suspended and starts
	// again at the first stage, or has completed the last stage. In the last case Share is 0: the endpoint
	// is no longer a canary. The first stage of a newly listed canary is not reported.
	CanaryStageChanged struct {
		Endpoint       string
		Share          float64      // share of the destination's calls, together with its other canaries
		SuspendedUntil instant.Time // end of the last suspension; 0 for none
	}
	// PublishRate reports this relay's send and arrival rates for a destination to the other relays.
	PublishRate struct {
		Destination int
		RateShare   float64 // send rate as a multiple of an even share of the listed rate
		ArrivalRate float64 // messages a second that arrive at this relay for the destination
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
func (PersistSuspicion) action()     {}
func (PublishRate) action()          {}
func (ZoneStateChanged) action()     {}
func (CanaryStageChanged) action()   {}
