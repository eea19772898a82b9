package policy_test

import (
	"slices"
	"time"

	"milletsail/policy"
)

// ordinaryScenario is what every case changes.
func ordinaryScenario() scenario {
	second := time.Second
	return scenario{load: 2.5, faults: 1, settings: policy.Settings{
		FleetSize: 3, Slots: 8, QueueCapacity: 80, MaxAttempts: 5, CanCancel: true,
		Weights:       policy.WeightsNominal,
		BatchInterval: 5 * time.Millisecond, MaxRetryAfter: 3 * second, SlowStartInitialShare: 0.2,
		SlowStartWindow: 9 * second,
		OverloadFactor:  2.5, OverloadWindow: 2 * second, OrderedKeyDelay: 200 * time.Millisecond,
		Kinds: []policy.Kind{{MaxBatch: 1}, {MaxBatch: 5}, {MaxBatch: 2, SeparateRoutes: true}},
		Classes: []policy.Class{
			{LatencyObjective: second, Deadline: 4 * second, PriorityWeight: 3, LateValueShare: 0.5,
				Effect: policy.Idempotent},
			{LatencyObjective: second, Deadline: 12 * second, PriorityWeight: 1, LateValueShare: 0.4,
				Effect: policy.IdempotentWithKey, KeysPerZone: true,
				IdempotencyWindow: 4 * second},
			{LatencyObjective: 2 * second, Deadline: 9 * second, PriorityWeight: 2,
				Effect: policy.NotIdempotent, Ordered: true},
			{LatencyObjective: second, Deadline: 8 * second, PriorityWeight: 2, ExponentialDecay: true,
				Effect: policy.IdempotentWithKey, IdempotencyWindow: 3 * second},
		}}}
}

// decisionCase is one option, or a few that belong together.
type decisionCase struct {
	name   string
	change func(*scenario)
	// shows are tags of what the case has to bring about, so that it is not empty. (Zoned with Ordered is
	// none: Handle drops the actions of Order, so that state is seen by the query alone.)
	shows []string
	// sameAs names the case whose digests it has to have, or is empty for digests of its own.
	sameAs string
}

func decisionCases() []decisionCase {
	return slices.Concat(withoutEffect(), loadCases(), fleetCases(), zoneCases(), listCases(), processCases())
}

// ordinaryName is the case in which no option is on.
const ordinaryName = "ordinary"

// withoutEffect are settings that are accepted and decide nothing: they are to leave the ordinary decisions.
func withoutEffect() []decisionCase {
	return []decisionCase{
		{name: "second copies", change: func(c *scenario) { c.settings.HedgedRequests = true },
			sameAs: ordinaryName},
		{name: "weights rough", change: func(c *scenario) { c.settings.Weights = policy.WeightsRough },
			sameAs: ordinaryName},
	}
}

// loadCases are of one relay: sending, admission and limits.
func loadCases() []decisionCase {
	usual := []string{"send", "refuse", "fail", "cancel", "remember", "wake"}
	return []decisionCase{
		{name: ordinaryName, change: func(*scenario) {}, shows: usual},
		{name: "light traffic", change: func(c *scenario) { c.load = 0.6 },
			shows: []string{"send", "remember"}},
		{name: "heavy traffic", change: func(c *scenario) { c.load = 8 }, shows: usual},
		{name: "few slots", change: func(c *scenario) { c.settings.Slots, c.settings.MaxAttempts = 2, 2 },
			shows: usual},
		{name: "little room", change: func(c *scenario) { c.settings.QueueCapacity = 9 }, shows: usual},
		{name: "weights off", change: func(c *scenario) { c.settings.Weights = policy.WeightsOff },
			shows: usual},
		{name: "no cancel", change: func(c *scenario) { c.settings.CanCancel = false },
			shows: []string{"send", "refuse", "fail"}},
		{name: "separate routes", change: separateRoutes, shows: usual},
		{name: "bundles by size", change: bundlesBySize, shows: usual},
		{name: "ordered keys", change: orderedKeys, shows: []string{"send", "refuse", "fail"}},
		{name: "long outages", change: func(c *scenario) { c.faults = 0.3 }, shows: usual},
		{name: "many faults", change: func(c *scenario) { c.faults = 5 }, shows: usual},
		{name: "strict overload", change: strictOverload, shows: usual},
		{name: "connection limits",
			change: func(c *scenario) { c.settings.IdleConnTimeout, c.faults = 3*time.Second, 3 },
			shows:  []string{"send", "close idle"}},
		{name: "lack at the relay", change: func(c *scenario) { c.unsent = true },
			shows: []string{"send", "withhold"}},
		{name: "load reports", change: func(c *scenario) { c.reports = true }, shows: usual},
		{name: "withdrawn", change: func(c *scenario) { c.withdrawn = true }, shows: usual},
	}
}

func separateRoutes(c *scenario) {
	for i := range c.settings.Kinds {
		c.settings.Kinds[i].SeparateRoutes = true
	}
}

func bundlesBySize(c *scenario) {
	c.settings.Kinds = []policy.Kind{{MaxBatch: 20}, {MaxBatch: 3}, {MaxBatch: 8}}
	c.settings.MaxBatchBytes, c.load = 2500, 8
}

func orderedKeys(c *scenario) {
	for i := range c.settings.Classes {
		c.settings.Classes[i].Ordered = true
	}
}

func strictOverload(c *scenario) {
	c.settings.OverloadFactor, c.settings.OverloadWindow = 1.4, 4*time.Second
	c.settings.SlowStartInitialShare, c.settings.SlowStartWindow = 0.05, 20*time.Second
}

// fleetCases are of relays that tell each other, few and many.
func fleetCases() []decisionCase {
	usual := []string{"send", "refuse", "tell", "remember"}
	shared := []string{"send", "tell", "share"}
	return []decisionCase{
		{name: "1 relay", change: func(c *scenario) { c.settings.FleetSize = 1 },
			shows: []string{"send", "refuse"}},
		{name: "60 relays", change: func(c *scenario) { c.settings.FleetSize = 60 },
			shows: []string{"send", "refuse"}},
		{name: "300 relays", change: func(c *scenario) { c.settings.FleetSize = 300 },
			shows: []string{"send", "refuse"}},
		{name: "peers", change: func(c *scenario) { c.settings.Gossip = true }, shows: usual},
		{name: "peers of 12", change: func(c *scenario) {
			c.settings.Gossip, c.settings.FleetSize, c.faults = true, 12, 4
		}, shows: usual},
		{name: "peers of 60",
			change: func(c *scenario) { c.settings.Gossip, c.settings.FleetSize = true, 60 },
			shows:  usual},
		{name: "peers of 300",
			change: func(c *scenario) { c.settings.Gossip, c.settings.FleetSize = true, 300 },
			shows:  usual},
		{name: "shares", change: func(c *scenario) { sharing(c, 3) }, shows: shared},
		{name: "shares of 60", change: func(c *scenario) { sharing(c, 60) }, shows: shared},
		{name: "shares of 300", change: func(c *scenario) { sharing(c, 300) }, shows: shared},
		{name: "accused alone",
			change: func(c *scenario) { c.suspicions, c.settings.PublishRates = true, true },
			shows:  []string{"share"}},
		{name: "paced alone", change: func(c *scenario) { c.peerRates, c.settings.PublishRates = true, true },
			shows: []string{"share"}},
	}
}

func sharing(c *scenario, instances int) {
	c.settings.Gossip, c.settings.PublishRates, c.settings.FleetSize = true, true, instances
	c.suspicions, c.peerRates = true, true
}

// zoneCases are of decisions by zones.
func zoneCases() []decisionCase {
	outages := func(c *scenario) { c.settings.Zones, c.outages, c.faults = true, true, 0.2 }
	return []decisionCase{
		{name: "zones", change: outages,
			shows: []string{"zoned evacuated", "zoned returning", "zoned serving"}},
		{name: "zones by order", change: func(c *scenario) { c.settings.Zones, c.orders = true, true },
			shows: []string{"zone seen ordered", "zoned returning", "zoned serving"}},
		{name: "zones with traffic", change: func(c *scenario) {
			sharing(c, 6)
			outages(c)
			c.byZone, c.load = true, 5
		}, shows: []string{"zoned evacuated", "share", "tell"}},
		{name: "zones without rates", change: func(c *scenario) {
			outages(c)
			c.settings.Weights, c.load = policy.WeightsOff, 5
		}, shows: []string{"zoned evacuated"}},
		{name: "zone fees", change: func(c *scenario) {
			separateRoutes(c)
			c.settings.ZoneCost = []float64{0.06, 0, 0.3}
		}, shows: []string{"send", "refuse"}},
	}
}

// listCases are of changes of the list and of state on demand.
func listCases() []decisionCase {
	joining := func(c *scenario) { c.settings.CanaryAnalysis, c.joining, c.load = true, true, 5 }
	return []decisionCase{
		{name: "newcomers", change: joining, shows: []string{"proved"}},
		{name: "newcomers and peers", change: func(c *scenario) {
			joining(c)
			c.settings.Gossip, c.faults = true, 0.2
		}, shows: []string{"proved", "tell"}},
		{name: "newcomers beside faults", change: func(c *scenario) {
			joining(c)
			c.settings.Gossip, c.errors = true, true
		}, shows: []string{"proved", "tell"}},
		{name: "newcomers without rates", change: func(c *scenario) {
			joining(c)
			c.settings.Weights, c.settings.Slots = policy.WeightsOff, 30
		}, shows: []string{"proved"}},
		{name: "subscribe", change: func(c *scenario) { c.settings.Subscribe = true },
			shows: []string{"subscribe"}},
		{name: "state on demand", change: func(c *scenario) { c.onDemand = true },
			shows: []string{"send", "refuse"}},
		{name: "on demand with all", change: func(c *scenario) {
			joining(c)
			sharing(c, 3)
			c.onDemand, c.handovers, c.load = true, true, 2.5
		}, shows: []string{"proved", "share", "tell"}},
	}
}

// processCases are of processes that end and begin.
func processCases() []decisionCase {
	usual := []string{"send", "refuse", "remember"}
	return []decisionCase{
		{name: "recalled", change: func(c *scenario) { c.restarts = true }, shows: usual},
		{name: "handover", change: func(c *scenario) { c.handovers = true }, shows: usual},
		{name: "stopping", change: func(c *scenario) { c.stops = true }, shows: usual},
		{name: "unwritten", change: func(c *scenario) { c.unwritten = true }, shows: usual},
		{name: "all together", change: func(c *scenario) {
			sharing(c, 4)
			c.settings.Zones, c.settings.CanaryAnalysis, c.settings.Subscribe = true, true, true
			c.settings.HedgedRequests, c.settings.IdleConnTimeout, c.settings.MaxBatchBytes = true,
				3*time.Second, 3000
			c.outages, c.orders, c.byZone, c.joining, c.reports = true, true, true, true, true
			c.restarts, c.handovers, c.stops, c.unwritten, c.withdrawn = true, true, true, true, true
		},
			shows: []string{"proved", "share", "tell", "subscribe", "zone seen ordered", "zoned evacuated",
				"close idle"}},
	}
}
