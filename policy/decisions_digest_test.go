package policy_test

import (
	"encoding/json"
	"flag"
	"maps"
	"math/rand"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
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
		drawn := &world{random: random, settings: variant(random)}
		if onDemand {
			drawn.settings.Directory = drawn
		}
		actions, err := runIn(drawn, seed, stepsOfRules)
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
