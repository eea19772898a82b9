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

// decisionHash computes a digest of decisions. Actions are written under fixed tags and their values in a
// fixed order, never under Go names, so that digests don't change with identifiers of the API or with log
// texts.
type decisionHash struct {
	hash   hash.Hash
	counts map[string]int // by tag: of actions, and of zone states that Zones returned
}

func newDecisionHash() *decisionHash {
	return &decisionHash{hash: sha256.New(), counts: map[string]int{}}
}

func (r *decisionHash) digest() string { return hex.EncodeToString(r.hash.Sum(nil)[:digestBytes]) }

func (r *decisionHash) integer(value int64) {
	r.hash.Write(binary.BigEndian.AppendUint64(nil, uint64(value)))
}

func (r *decisionHash) ints(values ...int) {
	for _, value := range values {
		r.integer(int64(value))
	}
}

func (r *decisionHash) durations(values ...time.Duration) {
	for _, value := range values {
		r.integer(int64(value))
	}
}

func (r *decisionHash) times(values ...instant.Time) {
	for _, value := range values {
		r.integer(int64(value))
	}
}

// floats writes the bit patterns of floats, so that any difference in rounding shows.
func (r *decisionHash) floats(values ...float64) {
	for _, value := range values {
		r.integer(int64(math.Float64bits(value)))
	}
}

func (r *decisionHash) bools(values ...bool) {
	for _, value := range values {
		if value {
			r.integer(1)
		} else {
			r.integer(0)
		}
	}
}

func (r *decisionHash) strings(values ...string) {
	for _, value := range values {
		r.ints(len(value))
		r.hash.Write([]byte(value))
	}
}

// batch writes the actions of one batch of a relay, in order.
func (r *decisionHash) batch(t *testing.T, relay int, actions []policy.Action) {
	t.Helper()
	r.ints(relay, len(actions))
	for _, action := range actions {
		r.action(t, action)
	}
}

// beginAction counts a tag and writes it, ahead of the values that belong to it.
func (r *decisionHash) beginAction(name string) {
	r.counts[name]++
	r.strings(name)
}

// action writes one action. The test fails on an action type that has no tag here.
func (r *decisionHash) action(t *testing.T, action policy.Action) {
	t.Helper()
	switch action := action.(type) {
	case policy.Send:
		r.beginAction("send")
		r.strings(action.ID, action.Endpoint)
		r.durations(action.Timeout, action.WriteTimeout)
		r.ints(action.Call)
	case policy.Cancel:
		r.beginAction("cancel")
		r.strings(action.ID)
		r.ints(action.Attempt)
	case policy.Reject:
		r.beginAction("refuse")
		r.strings(action.ID, reasonTag(t, action.Reason))
		r.durations(action.RetryAfter)
	case policy.Fail:
		r.beginAction("fail")
		r.strings(action.ID, reasonTag(t, action.Reason))
	case policy.Broadcast:
		r.beginAction("tell")
		r.gossipMessage(action.Message)
	case policy.SetTimer:
		r.beginAction("wake")
		r.durations(action.After)
	default:
		r.otherAction(t, action)
	}
}

// otherAction writes an action that concerns an endpoint, a destination, a zone or the relay itself.
func (r *decisionHash) otherAction(t *testing.T, action policy.Action) {
	t.Helper()
	switch action := action.(type) {
	case policy.Subscribe:
		r.beginAction("subscribe")
	case policy.CloseIdleConnections:
		r.beginAction("close idle")
		r.strings(action.Endpoint)
	case policy.CancelUnwritten:
		r.beginAction("withhold")
		r.strings(action.Endpoint)
	case policy.PersistHealth:
		r.beginAction("remember")
		r.strings(action.Endpoint)
		r.bools(action.Ejected, action.SecondHand)
		r.times(action.At)
	case policy.PublishRate:
		r.beginAction("share")
		r.ints(action.Destination)
		r.floats(action.RateShare, action.ArrivalRate)
	case policy.CanaryStageChanged:
		r.beginAction("proved")
		r.strings(action.Endpoint)
		r.floats(action.Share)
		r.times(action.SuspendedUntil)
	case policy.ZoneStateChanged:
		r.beginAction("zoned " + zoneStateTag(t, action.State))
		r.ints(action.Zone)
	default:
		t.Fatalf("action type %T has no tag: add one here", action)
	}
}

// gossipMessage writes a gossip message byte for byte, since relays of other versions read it, and its
// decoded form.
func (r *decisionHash) gossipMessage(message []byte) {
	r.strings(string(message))
	observed, ok := policy.DecodeObservation(message)
	r.bools(ok, observed.CircuitOpen, observed.CircuitClosed, observed.Recovered, observed.ConnectError)
	r.ints(observed.Destination)
	r.strings(observed.Endpoint)
	r.durations(observed.RetryAfter, observed.CallAge)
	if ok {
		r.strings(string(observed.Encode()))
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
	t.Fatalf("reason %d has no tag: add one here", int(reason))
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
	t.Fatalf("zone state %d has no tag: add one here", int(state))
	return ""
}

// dispatcherState writes the results of a dispatcher's queries: all of them, or only UnavailableEndpoints, which is cheap.
func (r *decisionHash) dispatcherState(t *testing.T, dispatcher *policy.Dispatcher, all bool) {
	t.Helper()
	r.ints(dispatcher.UnavailableEndpoints())
	if !all {
		return
	}
	zones, cutOff := dispatcher.Zones()
	r.bools(cutOff)
	r.ints(len(zones))
	for _, zone := range zones {
		r.beginAction("zone seen " + zoneStateTag(t, zone.State))
		r.ints(zone.Zone, zone.Endpoints, zone.Evacuations, zone.Recoveries)
		r.times(zone.EnteredAt, zone.OrderExpiresAt)
	}
	r.canaries(dispatcher.Canaries())
	exported := dispatcher.ExportState()
	r.ints(len(exported))
	for _, each := range exported {
		r.inheritedState(each)
	}
}

func (r *decisionHash) canaries(all []policy.Canary) {
	r.ints(len(all))
	for _, each := range all {
		r.strings(each.Endpoint)
		r.ints(each.Destination, each.Stage, each.Suspensions)
		r.floats(each.Share, each.RegressionScore)
		r.times(each.StageStartedAt, each.SuspendedUntil)
		r.bools(each.HasBaseline)
	}
}

func (r *decisionHash) inheritedState(queue policy.StateInherited) {
	r.times(queue.RetryAfterUntil, queue.BackoffUntil, queue.TokensAt, queue.FirstRejectionAt,
		queue.LastSuccessAt)
	r.ints(queue.Outcomes, queue.ConsecutiveRejections, len(queue.ClassLatency))
	r.floats(queue.MeanLatency, queue.Concurrency, queue.SendRate, queue.Tokens)
	r.floats(queue.ClassLatency...)
	for _, counted := range []policy.DecayingCount{queue.Arrivals, queue.Misses} {
		r.floats(counted.Count)
		r.times(counted.UpdatedAt, counted.StartedAt)
	}
	r.ints(len(queue.Endpoints))
	for _, endpoint := range queue.Endpoints {
		r.strings(endpoint.ID)
		r.bools(endpoint.Ejected, endpoint.SlowStarting)
		r.times(endpoint.EjectedAt, endpoint.RecoveredAt, endpoint.LastSuccessAt, endpoint.TokensAt)
		r.floats(endpoint.ConsecutiveFailures, endpoint.ConnectionLimit, endpoint.Tokens)
	}
}
