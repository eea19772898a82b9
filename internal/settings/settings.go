// Package settings decodes the settings object that an instance receives when it starts, from the simulator or from the
// configuration of a relay, and converts it into the settings of package policy.
package settings

import (
	"fmt"
	"math"
	"time"

	"milletsail/policy"
)

// Settings is the settings object in JSON. Durations are in seconds. Keys of the object without a field here are ignored.
type Settings struct {
	Az         int        `json:"az"`         // zone of this instance, as an index into Localities
	Categories []Category `json:"categories"` // classes of messages
	Discovery  string     `json:"discovery"`  // how endpoint updates are obtained: "subscribe" or "automatic"
	Limits     Limits     `json:"limits"`
	Localities []string   `json:"localities"`  // names of zones
	NInstances int        `json:"n_instances"` // number of relays in the fleet
	Ordinal    int        `json:"ordinal"`     // number of this instance
	QuantumS   float64    `json:"quantum_s"`   // batch interval
	Rules      Rules      `json:"rules"`
	Shapes     []string   `json:"shapes"` // names of the kinds of endpoints
	Specifics  Specifics  `json:"specifics"`
	Tenants    []Tenant   `json:"tenants"`
	Weights    string     `json:"weights"` // how endpoint weights are interpreted: "off", "nominal" or "rough"
}

// Category holds the settings of one class of messages.
type Category struct {
	Name               string  `json:"name"`
	LatencyObjectiveS  float64 `json:"aim_s"`         // latency up to which a message has its full value
	DeadlineS          float64 `json:"deadline_s"`    // time after its arrival at which a message expires
	Idempotency        string  `json:"idempotency"`   // "retryable", "dedup" or "fragile"
	Group              string  `json:"group"`         // "all" if idempotency keys are shared by all zones
	Ordered            bool    `json:"fifo_by_key"`   // whether messages with the same key are sent one at a time, in order
	LateValueShare     float64 `json:"late_share"`    // share of its value that a message still has at the deadline
	IdempotencyWindowS float64 `json:"memory_span_s"` // time for which a destination remembers an idempotency key
	PriorityWeight     float64 `json:"points"`        // full value of a message
}

// Limits holds the limits and optional features of an instance.
type Limits struct {
	CanCancel        bool    `json:"cancel"`            // whether attempts can be cancelled
	IdleConnTimeoutS float64 `json:"conn_idle_s"`       // time after which an idle connection closes; 0 for never
	ConnTimeoutS     float64 `json:"connect_timeout_s"` // time limit for opening a connection to an endpoint
	MaxAttempts      int     `json:"max_attempts"`      // maximum number of attempts of a message
	QueueCapacity    int     `json:"max_open"`          // maximum number of unfinished messages, sent or not
	MaxRetryAfterS   float64 `json:"max_retry_after_s"` // longest Retry-After that clients honour; used only if RetryAfter is set
	Gossip           bool    `json:"peers"`             // whether relays may exchange gossip messages
	RetryAfter       bool    `json:"retry_after"`       // whether rejections of clients carry a Retry-After
	HedgedRequests   bool    `json:"second_copies"`     // whether two attempts of a message may run at once
}

// Rules holds parameters that were agreed with the operators of endpoints.
type Rules struct {
	SlowStartInitialShare float64 `json:"cold_share"`      // share of its capacity that a destination has right after an outage
	OverloadFactor        float64 `json:"overload_factor"` // multiple of its current capacity that overloads a destination in slow start
	OverloadWindowS       float64 `json:"overload_for_s"`  // time at more than OverloadFactor after which the destination is overloaded
	SlowStartWindowS      float64 `json:"ramp_time_s"`     // time after an outage until a destination has its full capacity
	OrderedKeyDelayS      float64 `json:"order_pause_s"`   // time for which a key stays blocked after an attempt that may still run
}

// Specifics holds settings for each kind of endpoints or each zone, and settings of the whole instance.
type Specifics struct {
	MaxBatch       []int     `json:"bundle_max"`      // maximum number of messages in a call, by kind of endpoint
	LateDecay      string    `json:"loses_worth"`     // "halving" if the value of late messages decays exponentially
	Slots          int       `json:"max_calls"`       // maximum number of calls in flight of the instance
	ZoneCost       []float64 `json:"route_fee"`       // cost of sending all messages to a zone, in mean priority weights, by zone
	SeparateRoutes []bool    `json:"separate_routes"` // by kind of endpoint: whether each endpoint has a limit, send rate and health of its own
}

// Tenant is a client with settings of its own.
type Tenant struct {
	Name string `json:"name"`
}

// effects maps the values of Category.Idempotency to the effects of package policy.
var effects = map[string]policy.Effect{
	"retryable": policy.Idempotent,
	"dedup":     policy.IdempotentWithKey,
	"fragile":   policy.NotIdempotent,
}

// weights maps the values of Settings.Weights to the constants of package policy.
var weights = map[string]policy.Weights{
	"off":     policy.WeightsOff,
	"nominal": policy.WeightsNominal,
	"rough":   policy.WeightsRough,
}

// Policy converts the settings into those of package policy. If a value is unknown, the error names its key.
func (s *Settings) Policy() (policy.Settings, error) {
	converted := policy.Settings{
		FleetSize: s.NInstances, Zone: s.Az, ZoneCost: s.Specifics.ZoneCost, Slots: s.Specifics.Slots,
		QueueCapacity: s.Limits.QueueCapacity, MaxAttempts: s.Limits.MaxAttempts, HedgedRequests: s.Limits.HedgedRequests,
		CanCancel: s.Limits.CanCancel, Gossip: s.Limits.Gossip,
		BatchInterval:         Seconds(s.QuantumS),
		SlowStartInitialShare: s.Rules.SlowStartInitialShare, SlowStartWindow: Seconds(s.Rules.SlowStartWindowS),
		OverloadFactor: s.Rules.OverloadFactor, OverloadWindow: Seconds(s.Rules.OverloadWindowS),
		OrderedKeyDelay: Seconds(s.Rules.OrderedKeyDelayS), IdleConnTimeout: Seconds(s.Limits.IdleConnTimeoutS),
		Kinds: s.kinds(),
	}
	if s.Limits.RetryAfter {
		converted.MaxRetryAfter = Seconds(s.Limits.MaxRetryAfterS)
	}
	switch s.Discovery {
	case "subscribe":
		converted.Subscribe = true
	case "automatic":
	default:
		return converted, fmt.Errorf("settings: discovery: unknown mode %q", s.Discovery)
	}
	var ok bool
	if converted.Weights, ok = weights[s.Weights]; !ok {
		return converted, fmt.Errorf("settings: weights: unknown meaning %q", s.Weights)
	}
	var err error
	converted.Classes, err = s.classes()
	return converted, err
}

// classes converts the categories into classes of package policy.
func (s *Settings) classes() (classes []policy.Class, err error) {
	for i, category := range s.Categories {
		effect, ok := effects[category.Idempotency]
		if !ok {
			return classes, fmt.Errorf("settings: categories[%d].idempotency: unknown effect %q", i, category.Idempotency)
		}
		classes = append(classes, policy.Class{
			Name:              category.Name,
			LatencyObjective:  Seconds(category.LatencyObjectiveS),
			Deadline:          Seconds(category.DeadlineS),
			PriorityWeight:    category.PriorityWeight,
			LateValueShare:    category.LateValueShare,
			ExponentialDecay:  s.Specifics.LateDecay == "halving",
			Effect:            effect,
			KeysPerZone:       category.Group != "all",
			IdempotencyWindow: Seconds(category.IdempotencyWindowS),
			Ordered:           category.Ordered,
		})
	}
	return classes, nil
}

// kinds returns the settings of each kind of endpoints. A kind without entries in Specifics has batches of one message and no
// separate routes.
func (s *Settings) kinds() (kinds []policy.Kind) {
	for i := range s.Shapes {
		kind := policy.Kind{MaxBatch: 1}
		if i < len(s.Specifics.MaxBatch) {
			kind.MaxBatch = s.Specifics.MaxBatch[i]
		}
		if i < len(s.Specifics.SeparateRoutes) {
			kind.SeparateRoutes = s.Specifics.SeparateRoutes[i]
		}
		kinds = append(kinds, kind)
	}
	return kinds
}

// Seconds converts a number of seconds into a duration, rounded to nanoseconds.
func Seconds(v float64) time.Duration {
	return time.Duration(math.Round(v * float64(time.Second)))
}
