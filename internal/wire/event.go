package wire

import (
	"errors"
	"time"

	"milletsail/policy"
)

// outcomes maps the simulator's names for the outcome of an attempt to the constants of package policy.
var outcomes = map[string]policy.Outcome{
	"Ok":           policy.OK,
	"Failed":       policy.Failed,
	"QueueFull":    policy.Rejected,
	"TimedOut":     policy.TimedOut,
	"ConnectError": policy.ConnectError,
	"ResetByPeer":  policy.Reset,
	"Canceled":     policy.Canceled,
	"Ignored":      policy.NotSent,
}

// errUnknownList is returned for an update that refers to an endpoint list that was not sent before.
var errUnknownList = errors.New("update refers to an endpoint list that was not sent")

// decodeEvent converts an event with the given name into one of package policy, or returns nil if that has no such event. If the
// event is invalid, fields.err is set.
func (s *session) decodeEvent(name string, fields *fieldReader) policy.Event {
	switch name {
	case "call":
		return policy.Arrived{
			ID:          fields.text(2),
			TimeLeft:    fields.seconds(8),
			Key:         fields.text(9),
			Class:       int(fields.integer(10)),
			Destination: int(fields.integer(11)),
		}
	case "answer":
		return decodeAttemptEnded(fields)
	case "left":
		return policy.Withdrawn{ID: fields.text(2)}
	case "update":
		return s.decodeUpdate(fields)
	case "peer_data":
		return policy.GossipReceived{Message: fields.bytes(3)}
	case "wakeup":
		return policy.TimerFired{}
	}
	return nil
}

// decodeAttemptEnded converts an "answer" event: the end of an attempt.
func decodeAttemptEnded(fields *fieldReader) policy.Event {
	ended := policy.AttemptEnded{
		ID:         fields.text(2),
		Endpoint:   fields.text(3),
		Attempt:    int(fields.integer(4)),
		Outcome:    fields.outcome(5),
		Latency:    fields.seconds(7),
		Completed:  fields.boolean(8),
		LoadReport: fields.loadReport(9),
	}
	if ended.Outcome == policy.Rejected {
		ended.RetryAfter = time.Duration(fields.number(6) * float64(time.Millisecond))
	}
	return ended
}

// decodeUpdate converts an "update" event: the failure of the watch, or an endpoint list that was sent before.
func (s *session) decodeUpdate(fields *fieldReader) policy.Event {
	scope := fields.text(2)
	if scope == "FAILED" {
		return policy.WatchFailed{}
	}
	endpoints, ok := s.lists[fields.integer(4)]
	if !ok {
		fields.fail(errUnknownList)
		return nil
	}
	return policy.EndpointsUpdated{Complete: scope != "INCREMENTAL", Endpoints: endpoints}
}
