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
	counts map[string]int // numbers of actions, and of zone states that Zones returned, by tag
}

func newDecisionHash() *decisionHash {
	return &decisionHash{hash: sha256.New(), counts: map[string]int{}}
}

func (h *decisionHash) digest() string { return hex.EncodeToString(h.hash.Sum(nil)[:digestBytes]) }

func (h *decisionHash) integer(value int64) {
	h.hash.Write(binary.BigEndian.AppendUint64(nil, uint64(value)))
}

func (h *decisionHash) ints(values ...int) {
	for _, value := range values {
		h.integer(int64(value))
	}
}

func (h *decisionHash) durations(values ...time.Duration) {
	for _, value := range values {
		h.integer(int64(value))
	}
}

func (h *decisionHash) times(values ...instant.Time) {
	for _, value := range values {
		h.integer(int64(value))
	}
}

// floats writes the bit patterns of floats, so that any difference in rounding shows.
func (h *decisionHash) floats(values ...float64) {
	for _, value := range values {
		h.integer(int64(math.Float64bits(value)))
	}
}

func (h *decisionHash) bools(values ...bool) {
	for _, value := range values {
		if value {
			h.integer(1)
		} else {
			h.integer(0)
		}
	}
}

func (h *decisionHash) strings(values ...string) {
	for _, value := range values {
		h.ints(len(value))
		h.hash.Write([]byte(value))
	}
}

// batch writes the actions of one batch of a relay, in order.
func (h *decisionHash) batch(t *testing.T, relay int, actions []policy.Action) {
	t.Helper()
	h.ints(relay, len(actions))
	for _, action := range actions {
		h.action(t, action)
	}
}

// beginAction counts a tag and writes it, ahead of the values that belong to it. Tags are part of the
// recorded digests, so they stay when actions and reasons get other names.
func (h *decisionHash) beginAction(name string) {
	h.counts[name]++
	h.strings(name)
}

// action writes one action. The test fails on an action type that has no tag here.
func (h *decisionHash) action(t *testing.T, action policy.Action) {
	t.Helper()
	switch action := action.(type) {
	case policy.Send:
		h.beginAction("send")
		h.strings(action.ID, action.Endpoint)
		h.durations(action.Timeout, action.WriteTimeout)
		h.ints(action.Call)
	case policy.Cancel:
		h.beginAction("cancel")
		h.strings(action.ID)
		h.ints(action.Attempt)
	case policy.Reject:
		h.beginAction("refuse")
		h.strings(action.ID, reasonTag(t, action.Reason))
		h.durations(action.RetryAfter)
	case policy.Fail:
		h.beginAction("fail")
		h.strings(action.ID, reasonTag(t, action.Reason))
	case policy.Broadcast:
		h.beginAction("tell")
		h.gossipMessage(action.Message)
	case policy.SetTimer:
		h.beginAction("wake")
		h.durations(action.After)
	default:
		h.otherAction(t, action)
	}
}

// otherAction writes an action that concerns an endpoint, a destination, a zone or the relay itself.
func (h *decisionHash) otherAction(t *testing.T, action policy.Action) {
	t.Helper()
	switch action := action.(type) {
	case policy.Subscribe:
		h.beginAction("subscribe")
	case policy.CloseIdleConnections:
		h.beginAction("close idle")
		h.strings(action.Endpoint)
	case policy.CancelUnwritten:
		h.beginAction("withhold")
		h.strings(action.Endpoint)
	case policy.PersistHealth:
		h.beginAction("remember")
		h.strings(action.Endpoint)
		h.bools(action.Ejected, action.SecondHand)
		h.times(action.At)
	case policy.PersistSuspicion:
		h.beginAction("suspect")
		h.strings(action.Endpoint)
		h.bools(action.Suspected)
		h.times(action.At)
	case policy.PublishRate:
		h.beginAction("share")
		h.ints(action.Destination)
		h.floats(action.RateShare, action.ArrivalRate)
	case policy.CanaryStageChanged:
		h.beginAction("proved")
		h.strings(action.Endpoint)
		h.floats(action.Share)
		h.times(action.SuspendedUntil)
	case policy.ZoneStateChanged:
		h.beginAction("zoned " + zoneStateTag(t, action.State))
		h.ints(action.Zone)
	default:
		t.Fatalf("action type %T has no tag: add one here", action)
	}
}

// gossipMessage writes a gossip message byte for byte, since relays of other versions read it, and its
// decoded form.
func (h *decisionHash) gossipMessage(message []byte) {
	h.strings(string(message))
	observed, ok := policy.DecodeObservation(message)
	h.bools(ok, observed.CircuitOpen, observed.CircuitClosed, observed.Recovered, observed.ConnectError)
	h.ints(observed.Destination)
	h.strings(observed.Endpoint)
	h.durations(observed.RetryAfter, observed.CallAge)
	if ok {
		h.strings(string(observed.Encode()))
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

// dispatcherState writes the results of a dispatcher's queries: all of them, or only UnavailableEndpoints,
// which is cheap.
func (h *decisionHash) dispatcherState(t *testing.T, dispatcher *policy.Dispatcher, all bool) {
	t.Helper()
	h.ints(dispatcher.UnavailableEndpoints())
	if !all {
		return
	}
	zones, isolated := dispatcher.Zones()
	h.bools(isolated)
	h.ints(len(zones))
	for _, zone := range zones {
		h.beginAction("zone seen " + zoneStateTag(t, zone.State))
		h.ints(zone.Zone, zone.Endpoints, zone.Evacuations, zone.Recoveries)
		h.times(zone.EnteredAt, zone.OrderExpiresAt)
	}
	h.canaries(dispatcher.Canaries())
	exported := dispatcher.ExportState()
	h.ints(len(exported))
	for _, each := range exported {
		h.inheritedState(each)
	}
}

func (h *decisionHash) canaries(all []policy.Canary) {
	h.ints(len(all))
	for _, each := range all {
		h.strings(each.Endpoint)
		h.ints(each.Destination, each.Stage, each.Suspensions)
		h.floats(each.Share, each.RegressionScore)
		h.times(each.StageStartedAt, each.SuspendedUntil)
		h.bools(each.HasBaseline)
	}
}

func (h *decisionHash) inheritedState(queue policy.StateInherited) {
	h.times(queue.RetryAfterUntil, queue.BackoffUntil, queue.TokensAt, queue.FirstRejectionAt,
		queue.LastSuccessAt)
	h.ints(queue.Outcomes, queue.ConsecutiveRejections, len(queue.ClassLatency))
	h.floats(queue.MeanLatency, queue.Concurrency, queue.SendRate, queue.Tokens)
	h.floats(queue.ClassLatency...)
	for _, counted := range []policy.DecayingCount{queue.Arrivals, queue.Misses} {
		h.floats(counted.Count)
		h.times(counted.UpdatedAt, counted.StartedAt)
	}
	h.ints(len(queue.Endpoints))
	for _, endpoint := range queue.Endpoints {
		h.strings(endpoint.ID)
		h.bools(endpoint.Ejected, endpoint.SlowStarting)
		h.times(endpoint.EjectedAt, endpoint.RecoveredAt, endpoint.LastSuccessAt, endpoint.TokensAt)
		h.floats(endpoint.ConsecutiveFailures, endpoint.ConnectionLimit, endpoint.Tokens)
	}
}
