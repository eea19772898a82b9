package policy_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"flag"
	"hash"
	"maps"
	"math"
	"math/rand"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"milletsail/internal/instant"
	"milletsail/policy"
)

// updateDecisions has TestDecisionsDigest write what it measures. It is for a change that is meant to change
// decisions, and fails the run so that no check passes by it.
var updateDecisions = flag.Bool("update-decisions", false, "write testdata/decisions.json, and fail")

const (
	// seedsPerCase digests are recorded of each case.
	seedsPerCase = 3
	// stepsPerSeed batches go to each relay.
	stepsPerSeed = 700
	// stepsOfRules are played in the world of the rules test, which has one relay.
	stepsOfRules = 500
	// recordedOn is the processor whose floats the record holds.
	recordedOn = "amd64"
	// digestLength is in bytes: enough that no two runs meet by chance.
	digestLength = 16
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
		r.note(action.Message)
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

// note writes a note byte for byte, as relays of another version read it, and how it is read.
func (r *decisionRecord) note(note []byte) {
	r.text(string(note))
	observed, ok := policy.ReadNote(note)
	r.flag(ok, observed.Closed, observed.Open, observed.Back, observed.NoRoom)
	r.integers(observed.Destination)
	r.text(observed.Endpoint)
	r.durations(observed.Wait, observed.Age)
	if ok {
		r.text(string(observed.Note()))
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
	r.integers(dispatcher.Avoided())
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
	r.newcomers(dispatcher.Canaries())
	learned := dispatcher.ExportState()
	r.integers(len(learned))
	for _, each := range learned {
		r.learned(each)
	}
}

func (r *decisionRecord) newcomers(all []policy.Canary) {
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
	r.moments(queue.RetryAfterUntil, queue.BackoffUntil, queue.TokensAt, queue.FirstRejectionAt, queue.LastSuccessAt)
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

// ordinaryScenario is what every case changes.
func ordinaryScenario() scenario {
	second := time.Second
	return scenario{load: 2.5, faults: 1, settings: policy.Settings{
		FleetSize: 3, Slots: 8, QueueCapacity: 80, MaxAttempts: 5, CanCancel: true, Weights: policy.WeightsNominal,
		BatchInterval: 5 * time.Millisecond, MaxRetryAfter: 3 * second, SlowStartInitialShare: 0.2, SlowStartWindow: 9 * second,
		OverloadFactor: 2.5, OverloadWindow: 2 * second, OrderedKeyDelay: 200 * time.Millisecond,
		Kinds: []policy.Kind{{MaxBatch: 1}, {MaxBatch: 5}, {MaxBatch: 2, SeparateRoutes: true}},
		Classes: []policy.Class{
			{LatencyObjective: second, Deadline: 4 * second, PriorityWeight: 3, LateValueShare: 0.5, Effect: policy.Idempotent},
			{LatencyObjective: second, Deadline: 12 * second, PriorityWeight: 1, LateValueShare: 0.4, Effect: policy.IdempotentWithKey, KeysPerZone: true,
				IdempotencyWindow: 4 * second},
			{LatencyObjective: 2 * second, Deadline: 9 * second, PriorityWeight: 2, Effect: policy.NotIdempotent, Ordered: true},
			{LatencyObjective: second, Deadline: 8 * second, PriorityWeight: 2, ExponentialDecay: true, Effect: policy.IdempotentWithKey, IdempotencyWindow: 3 * second},
		}}}
}

// decisionCase is one option, or a few that belong together.
type decisionCase struct {
	name   string
	change func(*scenario)
	// shows are tags of what the case has to bring about, so that it is not empty. (Zoned with Ordered is none:
	// Handle drops the actions of Order, so that state is seen by the query alone.)
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
		{name: "connection limits", change: func(c *scenario) { c.settings.IdleConnTimeout, c.faults = 3*time.Second, 3 },
			shows: []string{"send", "close idle"}},
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
		{name: "peers of 60", change: func(c *scenario) { c.settings.Gossip, c.settings.FleetSize = true, 60 },
			shows: usual},
		{name: "peers of 300", change: func(c *scenario) { c.settings.Gossip, c.settings.FleetSize = true, 300 },
			shows: usual},
		{name: "shares", change: func(c *scenario) { sharing(c, 3) }, shows: shared},
		{name: "shares of 60", change: func(c *scenario) { sharing(c, 60) }, shows: shared},
		{name: "shares of 300", change: func(c *scenario) { sharing(c, 300) }, shows: shared},
		{name: "accused alone", change: func(c *scenario) { c.accused, c.settings.PublishRates = true, true },
			shows: []string{"share"}},
		{name: "paced alone", change: func(c *scenario) { c.paced, c.settings.PublishRates = true, true },
			shows: []string{"share"}},
	}
}

func sharing(c *scenario, instances int) {
	c.settings.Gossip, c.settings.PublishRates, c.settings.FleetSize = true, true, instances
	c.accused, c.paced = true, true
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
			c.settings.HedgedRequests, c.settings.IdleConnTimeout, c.settings.MaxBatchBytes = true, 3*time.Second, 3000
			c.outages, c.orders, c.byZone, c.joining, c.reports = true, true, true, true, true
			c.restarts, c.handovers, c.stops, c.unwritten, c.withdrawn = true, true, true, true, true
		},
			shows: []string{"proved", "share", "tell", "subscribe", "zone seen ordered", "zoned evacuated", "close idle"}},
	}
}

// recordedCase is what the file holds of a case.
type recordedCase struct {
	Digests []string       `json:"digests"` // by seed
	Actions map[string]int `json:"actions"` // of all seeds, by tag
}

// measure plays a case, and checks that it shows its option.
func measure(t *testing.T, each decisionCase) recordedCase {
	t.Helper()
	plan := ordinaryScenario()
	each.change(&plan)
	result := recordedCase{Actions: map[string]int{}}
	for seed := range int64(seedsPerCase) {
		record := newDecisionRecord()
		newScene(t, plan, seed, record).run(t, stepsPerSeed)
		result.add(record)
	}
	for _, tag := range each.shows {
		if result.Actions[tag] == 0 {
			t.Errorf("no action %q: the case shows nothing of its option", tag)
		}
	}
	return result
}

func (c *recordedCase) add(record *decisionRecord) {
	c.Digests = append(c.Digests, record.digest())
	for tag, count := range record.counts {
		c.Actions[tag] += count
	}
}

// measureRules plays the world of the rules test, with state on demand or without.
func measureRules(t *testing.T, onDemand bool) recordedCase {
	t.Helper()
	result := recordedCase{Actions: map[string]int{}}
	for seed := range int64(4 * seedsPerCase) {
		record, random := newDecisionRecord(), rand.New(rand.NewSource(seed))
		drawn := &world{r: random, s: variant(random)}
		if onDemand {
			drawn.s.Directory = drawn
		}
		actions, err := playIn(drawn, seed, stepsOfRules)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		record.step(t, 0, actions)
		result.add(record)
	}
	return result
}

const decisionsFile = "testdata/decisions.json"

func readDecisions(t *testing.T) map[string]recordedCase {
	t.Helper()
	data, err := os.ReadFile(decisionsFile)
	if err != nil {
		t.Fatal(err)
	}
	recorded := map[string]recordedCase{}
	if err := json.Unmarshal(data, &recorded); err != nil {
		t.Fatal(err)
	}
	return recorded
}

func writeDecisions(t *testing.T, measured map[string]recordedCase) {
	t.Helper()
	data, err := json.MarshalIndent(measured, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.FromSlash(decisionsFile), append(data, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
	t.Errorf("%s is written anew: look at what changed, and run without -update-decisions", decisionsFile)
}

// TestDecisionsDigest pins the decisions of the package bit for bit: over seeded runs of each option, all
// actions in their order, and what the dispatchers say of themselves, have the digests on record. Code that
// is only renamed, moved or split keeps them. A change that is meant to change decisions records new ones,
// with -update-decisions, and tells of it.
//
// The digests hold floats as amd64 computes them: other processors have fused operations and other
// implementations of math.Exp, whose last bits differ. There all is played and checked but for the record.
func TestDecisionsDigest(t *testing.T) {
	measured := measureAll(t)
	dropWithoutEffect(t, measured)
	differ(t, measured)
	if *updateDecisions && runtime.GOARCH == recordedOn {
		writeDecisions(t, measured)
		return
	}
	if runtime.GOARCH != recordedOn {
		t.Logf("not compared with the record, which is of %s: floats differ in their last bits", recordedOn)
		return
	}
	compareDecisions(t, readDecisions(t), measured)
}

// dropWithoutEffect checks that the settings that decide nothing do so, and takes their cases out.
func dropWithoutEffect(t *testing.T, measured map[string]recordedCase) {
	t.Helper()
	for _, each := range withoutEffect() {
		if !slices.Equal(measured[each.name].Digests, measured[each.sameAs].Digests) {
			t.Errorf("%s: its decisions are not those of %q", each.name, each.sameAs)
		}
		delete(measured, each.name)
	}
}

// measureAll plays all cases, side by side.
func measureAll(t *testing.T) map[string]recordedCase {
	t.Helper()
	cases := decisionCases()
	rules := []string{"rules world", "rules world on demand"}
	results := make([]recordedCase, len(cases)+len(rules))
	t.Run("cases", func(t *testing.T) {
		for i, each := range cases {
			t.Run(each.name, func(t *testing.T) {
				t.Parallel()
				results[i] = measure(t, each)
			})
		}
		for i, name := range rules {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				results[len(cases)+i] = measureRules(t, i == 1)
			})
		}
	})
	measured := map[string]recordedCase{}
	for i, each := range cases {
		measured[each.name] = results[i]
	}
	for i, name := range rules {
		measured[name] = results[len(cases)+i]
	}
	if len(measured) != len(results) {
		t.Fatal("two cases have one name")
	}
	return measured
}

// differ checks that no two runs have one digest: each seed and each option makes a difference.
func differ(t *testing.T, measured map[string]recordedCase) {
	t.Helper()
	from := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(measured)) {
		for _, digest := range measured[name].Digests {
			if other, known := from[digest]; known {
				t.Errorf("a run of %q has a digest of %q", name, other)
			}
			from[digest] = name
		}
	}
}

// compareDecisions names each case that differs from the record, and what it does more or less often.
func compareDecisions(t *testing.T, recorded, measured map[string]recordedCase) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(recorded)) {
		if _, there := measured[name]; !there {
			t.Errorf("%s: on record, but no case", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(measured)) {
		got, want := measured[name], recorded[name]
		if !slices.Equal(got.Digests, want.Digests) || !maps.Equal(got.Actions, want.Actions) {
			t.Errorf("%s: decisions differ from those on record:\n got %s %v\nwant %s %v", name,
				strings.Join(got.Digests, " "), got.Actions, strings.Join(want.Digests, " "), want.Actions)
		}
	}
}
