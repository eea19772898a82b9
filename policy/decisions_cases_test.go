package policy_test

import (
	"slices"
	"time"

	"milletsail/policy"
)

// baselineScenario returns the scenario that each case modifies.
func baselineScenario() scenario {
	second := time.Second
	return scenario{load: 2.5, faultRate: 1, settings: policy.Settings{
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

// decisionCase is a scenario of TestDecisionsDigest that turns on one option, or a few related ones.
type decisionCase struct {
	// name is the key in testdata/decisions.json, and so stays when terms of the code change. In the names,
	// peers are relays with gossip, shares are shared rates, newcomers are canaries, bundles are batches,
	// and a zone fee is Settings.ZoneCost.
	name   string
	change func(*scenario) // modifies the baseline scenario
	// wantTags are the tags of decisionHash that the case has to count at least once, which shows that its
	// option took effect. A zone that is evacuated by order has the tag "zone seen ordered" alone: Handle
	// drops the actions of Order, so no ZoneStateChanged reports that state.
	wantTags []string
	// sameDigestsAs names the case whose digests this one has to have. It is empty for a case with digests of
	// its own.
	sameDigestsAs string
}

func decisionCases() []decisionCase {
	return slices.Concat(inertSettingCases(), singleRelayCases(), fleetCases(), zoneCases(),
		endpointListCases(), processLifecycleCases())
}

// baselineName is the name of the case that leaves the baseline scenario as it is.
const baselineName = "ordinary"

// inertSettingCases returns the cases of setting values that are accepted but decide as the baseline's do:
// these cases have to have the digests of the baseline.
func inertSettingCases() []decisionCase {
	return []decisionCase{
		{name: "hedged requests", change: func(c *scenario) { c.settings.HedgedRequests = true },
			sameDigestsAs: baselineName},
		{name: "weights rough", change: func(c *scenario) { c.settings.Weights = policy.WeightsRough },
			sameDigestsAs: baselineName},
	}
}

// singleRelayCases returns the cases that concern each relay by itself: sending, admission and limits.
func singleRelayCases() []decisionCase {
	usualTags := []string{"send", "refuse", "fail", "cancel", "remember", "wake"}
	return []decisionCase{
		{name: baselineName, change: func(*scenario) {}, wantTags: usualTags},
		{name: "light traffic", change: func(c *scenario) { c.load = 0.6 },
			wantTags: []string{"send", "remember"}},
		{name: "heavy traffic", change: func(c *scenario) { c.load = 8 }, wantTags: usualTags},
		{name: "few slots", change: func(c *scenario) { c.settings.Slots, c.settings.MaxAttempts = 2, 2 },
			wantTags: usualTags},
		// The queue capacity is small.
		{name: "little room", change: func(c *scenario) { c.settings.QueueCapacity = 9 },
			wantTags: usualTags},
		{name: "weights off", change: func(c *scenario) { c.settings.Weights = policy.WeightsOff },
			wantTags: usualTags},
		{name: "no cancel", change: func(c *scenario) { c.settings.CanCancel = false },
			wantTags: []string{"send", "refuse", "fail"}},
		{name: "separate routes", change: useSeparateRoutes, wantTags: usualTags},
		{name: "bundles by size", change: batchesBySize, wantTags: usualTags},
		{name: "ordered keys", change: orderAllClasses, wantTags: []string{"send", "refuse", "fail"}},
		{name: "long outages", change: func(c *scenario) { c.faultRate = 0.3 }, wantTags: usualTags},
		{name: "many faults", change: func(c *scenario) { c.faultRate = 5 }, wantTags: usualTags},
		{name: "strict overload", change: strictOverload, wantTags: usualTags},
		{name: "connection limits",
			change:   func(c *scenario) { c.settings.IdleConnTimeout, c.faultRate = 3*time.Second, 3 },
			wantTags: []string{"send", "close idle"}},
		// Calls are not started, for lack of local resources.
		{name: "lack at the relay", change: func(c *scenario) { c.notStarted = true },
			wantTags: []string{"send", "withhold"}},
		{name: "load reports", change: func(c *scenario) { c.loadReports = true }, wantTags: usualTags},
		{name: "withdrawn", change: func(c *scenario) { c.withdrawals = true }, wantTags: usualTags},
	}
}

func useSeparateRoutes(c *scenario) {
	for i := range c.settings.Kinds {
		c.settings.Kinds[i].SeparateRoutes = true
	}
}

func batchesBySize(c *scenario) {
	c.settings.Kinds = []policy.Kind{{MaxBatch: 20}, {MaxBatch: 3}, {MaxBatch: 8}}
	c.settings.MaxBatchBytes, c.load = 2500, 8
}

func orderAllClasses(c *scenario) {
	for i := range c.settings.Classes {
		c.settings.Classes[i].Ordered = true
	}
}

func strictOverload(c *scenario) {
	c.settings.OverloadFactor, c.settings.OverloadWindow = 1.4, 4*time.Second
	c.settings.SlowStartInitialShare, c.settings.SlowStartWindow = 0.05, 20*time.Second
}

// fleetCases returns the cases of fleet sizes, gossip and shared rates.
func fleetCases() []decisionCase {
	gossipTags := []string{"send", "refuse", "tell", "remember"}
	sharingTags := []string{"send", "tell", "share"}
	return []decisionCase{
		{name: "1 relay", change: func(c *scenario) { c.settings.FleetSize = 1 },
			wantTags: []string{"send", "refuse"}},
		{name: "60 relays", change: func(c *scenario) { c.settings.FleetSize = 60 },
			wantTags: []string{"send", "refuse"}},
		{name: "300 relays", change: func(c *scenario) { c.settings.FleetSize = 300 },
			wantTags: []string{"send", "refuse"}},
		{name: "peers", change: func(c *scenario) { c.settings.Gossip = true }, wantTags: gossipTags},
		{name: "peers of 12", change: func(c *scenario) {
			c.settings.Gossip, c.settings.FleetSize, c.faultRate = true, 12, 4
		}, wantTags: gossipTags},
		{name: "peers of 60",
			change:   func(c *scenario) { c.settings.Gossip, c.settings.FleetSize = true, 60 },
			wantTags: gossipTags},
		{name: "peers of 300",
			change:   func(c *scenario) { c.settings.Gossip, c.settings.FleetSize = true, 300 },
			wantTags: gossipTags},
		{name: "shares", change: func(c *scenario) { enablePeerReports(c, 3) }, wantTags: sharingTags},
		{name: "shares of 60", change: func(c *scenario) { enablePeerReports(c, 60) }, wantTags: sharingTags},
		{name: "shares of 300", change: func(c *scenario) { enablePeerReports(c, 300) },
			wantTags: sharingTags},
		// Suspicions of other relays arrive, without Gossip.
		{name: "accused alone",
			change:   func(c *scenario) { c.suspicions, c.settings.PublishRates = true, true },
			wantTags: []string{"share"}},
		// Send rates of other relays arrive, without Gossip.
		{name: "paced alone", change: func(c *scenario) { c.peerRates, c.settings.PublishRates = true, true },
			wantTags: []string{"share"}},
	}
}

// enablePeerReports turns on gossip, shared rates and reports of other relays in a fleet of the given size.
func enablePeerReports(c *scenario, relays int) {
	c.settings.Gossip, c.settings.PublishRates, c.settings.FleetSize = true, true, relays
	c.suspicions, c.peerRates = true, true
}

// zoneCases returns the cases of zone evacuation and of the cost of zones.
func zoneCases() []decisionCase {
	addZoneOutages := func(c *scenario) { c.settings.Zones, c.zoneOutages, c.faultRate = true, true, 0.2 }
	return []decisionCase{
		{name: "zones", change: addZoneOutages,
			wantTags: []string{"zoned evacuated", "zoned returning", "zoned serving"}},
		{name: "zones by order", change: func(c *scenario) { c.settings.Zones, c.zoneOrders = true, true },
			wantTags: []string{"zone seen ordered", "zoned returning", "zoned serving"}},
		// Other relays report arrival rates by zone.
		{name: "zones with traffic", change: func(c *scenario) {
			enablePeerReports(c, 6)
			addZoneOutages(c)
			c.ratesByZone, c.load = true, 5
		}, wantTags: []string{"zoned evacuated", "share", "tell"}},
		{name: "zones without rates", change: func(c *scenario) {
			addZoneOutages(c)
			c.settings.Weights, c.load = policy.WeightsOff, 5
		}, wantTags: []string{"zoned evacuated"}},
		{name: "zone fees", change: func(c *scenario) {
			useSeparateRoutes(c)
			c.settings.ZoneCost = []float64{0.06, 0, 0.3}
		}, wantTags: []string{"send", "refuse"}},
	}
}

// endpointListCases returns the cases of canaries, of the subscription to the endpoint list and of state that
// is kept on demand (Settings.Directory).
func endpointListCases() []decisionCase {
	addCanaries := func(c *scenario) { c.settings.CanaryAnalysis, c.newEndpoints, c.load = true, true, 5 }
	return []decisionCase{
		{name: "newcomers", change: addCanaries, wantTags: []string{"proved"}},
		{name: "newcomers and peers", change: func(c *scenario) {
			addCanaries(c)
			c.settings.Gossip, c.faultRate = true, 0.2
		}, wantTags: []string{"proved", "tell"}},
		{name: "newcomers beside faults", change: func(c *scenario) {
			addCanaries(c)
			c.settings.Gossip, c.errorsEverywhere = true, true
		}, wantTags: []string{"proved", "tell"}},
		{name: "newcomers without rates", change: func(c *scenario) {
			addCanaries(c)
			c.settings.Weights, c.settings.Slots = policy.WeightsOff, 30
		}, wantTags: []string{"proved"}},
		{name: "subscribe", change: func(c *scenario) { c.settings.Subscribe = true },
			wantTags: []string{"subscribe"}},
		{name: "state on demand", change: func(c *scenario) { c.onDemand = true },
			wantTags: []string{"send", "refuse"}},
		{name: "on demand with all", change: func(c *scenario) {
			addCanaries(c)
			enablePeerReports(c, 3)
			c.onDemand, c.handovers, c.load = true, true, 2.5
		}, wantTags: []string{"proved", "share", "tell"}},
	}
}

// processLifecycleCases returns the cases in which relay processes restart, hand over, stop or can't write to
// their storage, and a case with most options at once.
func processLifecycleCases() []decisionCase {
	usualTags := []string{"send", "refuse", "remember"}
	return []decisionCase{
		// Processes crash and restart.
		{name: "recalled", change: func(c *scenario) { c.restarts = true }, wantTags: usualTags},
		{name: "handover", change: func(c *scenario) { c.handovers = true }, wantTags: usualTags},
		{name: "stopping", change: func(c *scenario) { c.announcedHandovers = true }, wantTags: usualTags},
		// Storage can't be written at times.
		{name: "unwritten", change: func(c *scenario) { c.storageFailures = true }, wantTags: usualTags},
		{name: "all together", change: func(c *scenario) {
			enablePeerReports(c, 4)
			c.settings.Zones, c.settings.CanaryAnalysis, c.settings.Subscribe = true, true, true
			c.settings.HedgedRequests, c.settings.IdleConnTimeout, c.settings.MaxBatchBytes = true,
				3*time.Second, 3000
			c.zoneOutages, c.zoneOrders, c.ratesByZone, c.newEndpoints, c.loadReports = true, true, true,
				true, true
			c.restarts, c.handovers, c.announcedHandovers, c.storageFailures, c.withdrawals = true, true,
				true, true, true
		},
			wantTags: []string{"proved", "share", "tell", "subscribe", "zone seen ordered", "zoned evacuated",
				"close idle"}},
	}
}
