package policy

import (
	"time"

	"milletsail/internal/instant"
)

// Action is something that a dispatcher wants done.
type Action interface{ action() }

// The actions.
type (
	// Send starts the next attempt of a message. Messages that are sent with the same Call travel together.
	Send struct {
		ID       string
		Endpoint string
		Timeout  time.Duration // of the response; 0 for the message's deadline
		// WriteTimeout is the time in which the call must be written completely or not at all (NotSent),
		// however long the connection takes; 0 for any.
		WriteTimeout time.Duration
		Call         int
	}
	// Reject ends a message undelivered; the client may safely send it again.
	Reject struct {
		ID         string
		RetryAfter time.Duration
		Reason     Reason
	}
	// Fail ends a message; the client doesn't learn whether it was executed.
	Fail struct {
		ID     string
		Reason Reason
	}
	// Cancel ends the wait for an attempt.
	Cancel struct {
		ID      string
		Attempt int
	}
	// CancelUnwritten ends the calls to an endpoint of which nothing is written yet (NotSent).
	CancelUnwritten struct{ Endpoint string }
	// CloseIdleConnections closes the idle connections of this relay to an endpoint.
	CloseIdleConnections struct{ Endpoint string }
	// SetTimer asks for TimerFired, in place of what was asked for before.
	SetTimer struct{ After time.Duration }
	// Subscribe starts the watch of the endpoint list.
	Subscribe struct{}
	// Broadcast sends a gossip message to all other relays. It may come late or not at all.
	Broadcast struct{ Message []byte }
	// PersistHealth records the health of an endpoint for a later process of this relay: that it is ejected,
	// or when it recovered.
	PersistHealth struct {
		Endpoint   string
		Ejected    bool
		At         instant.Time
		SecondHand bool // this relay has not observed it itself
	}
	// ZoneStateChanged reports the new state of a zone, for logs.
	ZoneStateChanged struct {
		Zone  int
		State ZoneState
	}
	// CanaryStageChanged reports, for logs, that a canary starts a stage or is suspended, or, with a Share of
	// 0, that its trial is over.
	CanaryStageChanged struct {
		Endpoint       string
		Share          float64
		SuspendedUntil instant.Time
	}
	// PublishRate reports this relay's send rate for a destination to the other relays, as a multiple of an
	// even share of the listed rate, and the messages a second that arrive for it.
	PublishRate struct {
		Destination int
		RateShare   float64
		ArrivalRate float64
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
