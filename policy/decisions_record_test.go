package policy_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"
	"testing"
	"time"

	"milletsail/internal/instant"
	"milletsail/policy"
)

// decisionRecord digests decisions. Each value is written with a fixed tag and in a fixed order, never by
// its Go name: so a digest stays when the API's names or the log's texts change.
type decisionRecord struct {
	hash   hash.Hash
	counts map[string]int // by tag, of actions and of states of zones that are asked for
}

func newDecisionRecord() *decisionRecord {
	return &decisionRecord{hash: sha256.New(), counts: map[string]int{}}
}

func (r *decisionRecord) digest() string { return hex.EncodeToString(r.hash.Sum(nil)[:digestLength]) }

func (r *decisionRecord) integer(value int64) {
	r.hash.Write(binary.BigEndian.AppendUint64(nil, uint64(value)))
}

func (r *decisionRecord) integers(values ...int) {
	for _, value := range values {
		r.integer(int64(value))
	}
}

func (r *decisionRecord) durations(values ...time.Duration) {
	for _, value := range values {
		r.integer(int64(value))
	}
}

func (r *decisionRecord) moments(values ...instant.Time) {
	for _, value := range values {
		r.integer(int64(value))
	}
}

// numbers writes floats bit for bit.
func (r *decisionRecord) numbers(values ...float64) {
	for _, value := range values {
		r.integer(int64(math.Float64bits(value)))
	}
}

func (r *decisionRecord) flag(values ...bool) {
	for _, value := range values {
		if value {
			r.integer(1)
		} else {
			r.integer(0)
		}
	}
}

func (r *decisionRecord) text(values ...string) {
	for _, value := range values {
		r.integers(len(value))
		r.hash.Write([]byte(value))
	}
}

// step writes the actions of one batch, in their order.
func (r *decisionRecord) step(t *testing.T, relay int, actions []policy.Action) {
	t.Helper()
	r.integers(relay, len(actions))
	for _, action := range actions {
		r.action(t, action)
	}
}

// tag begins an action.
func (r *decisionRecord) tag(name string) {
	r.counts[name]++
	r.text(name)
}

// action writes one action. One of a type that is unknown here fails the test.
func (r *decisionRecord) action(t *testing.T, action policy.Action) {
	t.Helper()
	switch action := action.(type) {
	case policy.Send:
		r.tag("send")
		r.text(action.ID, action.Endpoint)
		r.durations(action.Timeout, action.WriteTimeout)
		r.integers(action.Call)
	case policy.Cancel:
		r.tag("cancel")
		r.text(action.ID)
		r.integers(action.Attempt)
	case policy.Reject:
		r.tag("refuse")
		r.text(action.ID, reasonTag(t, action.Reason))
		r.durations(action.RetryAfter)
	case policy.Fail:
		r.tag("fail")
		r.text(action.ID, reasonTag(t, action.Reason))
	case policy.Broadcast:
		r.tag("tell")
		r.message(action.Message)
	case policy.SetTimer:
		r.tag("wake")
		r.durations(action.After)
	default:
		r.rareAction(t, action)
	}
}

// rareAction writes an action that does not concern one message.
func (r *decisionRecord) rareAction(t *testing.T, action policy.Action) {
	t.Helper()
	switch action := action.(type) {
	case policy.Subscribe:
		r.tag("subscribe")
	case policy.CloseIdleConnections:
		r.tag("close idle")
		r.text(action.Endpoint)
	case policy.CancelUnwritten:
		r.tag("withhold")
		r.text(action.Endpoint)
	case policy.PersistHealth:
		r.tag("remember")
		r.text(action.Endpoint)
		r.flag(action.Ejected, action.SecondHand)
		r.moments(action.At)
	case policy.PublishRate:
		r.tag("share")
		r.integers(action.Destination)
		r.numbers(action.RateShare, action.ArrivalRate)
	case policy.CanaryStageChanged:
		r.tag("proved")
		r.text(action.Endpoint)
		r.numbers(action.Share)
		r.moments(action.SuspendedUntil)
	case policy.ZoneStateChanged:
		r.tag("zoned " + zoneStateTag(t, action.State))
		r.integers(action.Zone)
	default:
		t.Fatalf("an action of the unknown type %T: give it a tag here", action)
	}
}

// message writes a note byte for byte, as relays of another version read it, and how it is read.
func (r *decisionRecord) message(message []byte) {
	r.text(string(message))
	observed, ok := policy.DecodeObservation(message)
	r.flag(ok, observed.CircuitOpen, observed.CircuitClosed, observed.Recovered, observed.ConnectError)
	r.integers(observed.Destination)
	r.text(observed.Endpoint)
	r.durations(observed.RetryAfter, observed.CallAge)
	if ok {
		r.text(string(observed.Encode()))
	}
}

func reasonTag(t *testing.T, reason policy.Reason) string {
	t.Helper()
	switch reason {
	case policy.ReasonNone:
		return "none"
	case policy.ReasonBacklog:
		return "backlog"
	case policy.ReasonOverloaded:
		return "crowded"
	case policy.ReasonNoTimeLeft:
		return "time"
	case policy.ReasonAttemptsExhausted:
		return "attempts"
	case policy.ReasonNotRetryable:
		return "no repeat"
	}
	t.Fatalf("reason %d is unknown: give it a tag here", int(reason))
	return ""
}

func zoneStateTag(t *testing.T, state policy.ZoneState) string {
	t.Helper()
	switch state {
	case policy.Serving:
		return "serving"
	case policy.Evacuated:
		return "evacuated"
	case policy.EvacuatedByOrder:
		return "ordered"
	case policy.Recovering:
		return "returning"
	}
	t.Fatalf("zone state %d is unknown: give it a tag here", int(state))
	return ""
}

// queries writes what a dispatcher says of itself: all of it, or what is cheap.
func (r *decisionRecord) queries(t *testing.T, dispatcher *policy.Dispatcher, all bool) {
	t.Helper()
	r.integers(dispatcher.UnavailableEndpoints())
	if !all {
		return
	}
	zones, cutOff := dispatcher.Zones()
	r.flag(cutOff)
	r.integers(len(zones))
	for _, zone := range zones {
		r.tag("zone seen " + zoneStateTag(t, zone.State))
		r.integers(zone.Zone, zone.Endpoints, zone.Evacuations, zone.Recoveries)
		r.moments(zone.EnteredAt, zone.OrderExpiresAt)
	}
	r.canaries(dispatcher.Canaries())
	learned := dispatcher.ExportState()
	r.integers(len(learned))
	for _, each := range learned {
		r.learned(each)
	}
}

func (r *decisionRecord) canaries(all []policy.Canary) {
	r.integers(len(all))
	for _, each := range all {
		r.text(each.Endpoint)
		r.integers(each.Destination, each.Stage, each.Suspensions)
		r.numbers(each.Share, each.RegressionScore)
		r.moments(each.StageStartedAt, each.SuspendedUntil)
		r.flag(each.HasBaseline)
	}
}

func (r *decisionRecord) learned(queue policy.StateInherited) {
	r.moments(queue.RetryAfterUntil, queue.BackoffUntil, queue.TokensAt, queue.FirstRejectionAt,
		queue.LastSuccessAt)
	r.integers(queue.Outcomes, queue.ConsecutiveRejections, len(queue.ClassLatency))
	r.numbers(queue.MeanLatency, queue.Concurrency, queue.SendRate, queue.Tokens)
	r.numbers(queue.ClassLatency...)
	for _, counted := range []policy.DecayingCount{queue.Arrivals, queue.Misses} {
		r.numbers(counted.Count)
		r.moments(counted.UpdatedAt, counted.StartedAt)
	}
	r.integers(len(queue.Endpoints))
	for _, endpoint := range queue.Endpoints {
		r.text(endpoint.ID)
		r.flag(endpoint.Ejected, endpoint.SlowStarting)
		r.moments(endpoint.EjectedAt, endpoint.RecoveredAt, endpoint.LastSuccessAt, endpoint.TokensAt)
		r.numbers(endpoint.ConsecutiveFailures, endpoint.ConnectionLimit, endpoint.Tokens)
	}
}
