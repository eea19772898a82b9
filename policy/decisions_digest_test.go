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

// updateDecisions makes TestDecisionsDigest overwrite testdata/decisions.json with the digests it measures,
// for a commit that changes decisions on purpose. The test then fails, so that a run with the flag never
// passes (on amd64; elsewhere the flag has no effect).
var updateDecisions = flag.Bool("update-decisions", false,
	"overwrite testdata/decisions.json with the measured digests, and fail")

const (
	// seedsPerCase is the number of seeds that each simulation case runs with; the cases of the
	// eventGenerator run with four times as many. Each seed has its own digest.
	seedsPerCase = 6
	// stepsPerSeed is the number of batches that each relay handles in a run.
	stepsPerSeed = 700
	// rulesSteps is the number of batches in a run of the eventGenerator, which drives one relay.
	rulesSteps = 500
	// recordedArch is the GOARCH that the recorded digests are valid for: the last bits of floats depend on
	// it.
	recordedArch = "amd64"
	// digestBytes is the length that digests are cut to; 16 bytes rule out accidental collisions.
	digestBytes = 16
)

// recordedCase is the entry of one case in testdata/decisions.json.
type recordedCase struct {
	Digests []string       `json:"digests"` // one for each seed, from seed 0
	Actions map[string]int `json:"actions"` // counts by tag, summed over all seeds
}

// runCase runs the simulation of a case with each seed, and checks that the tags in wantTags occurred.
func runCase(t *testing.T, each decisionCase) recordedCase {
	t.Helper()
	sc := baselineScenario()
	each.change(&sc)
	result := recordedCase{Actions: map[string]int{}}
	for seed := range int64(seedsPerCase) {
		hash := newDecisionHash()
		newSimulation(t, sc, seed, hash).run(t, stepsPerSeed)
		result.add(hash)
	}
	for _, tag := range each.wantTags {
		if result.Actions[tag] == 0 {
			t.Errorf("tag %q was never counted: the option of the case had no effect", tag)
		}
	}
	return result
}

func (c *recordedCase) add(hash *decisionHash) {
	c.Digests = append(c.Digests, hash.digest())
	for tag, count := range hash.counts {
		c.Actions[tag] += count
	}
}

// runRulesCase runs the eventGenerator of the rule tests, with state kept on demand or for all endpoints.
func runRulesCase(t *testing.T, onDemand bool) recordedCase {
	t.Helper()
	result := recordedCase{Actions: map[string]int{}}
	for seed := range int64(4 * seedsPerCase) {
		hash, random := newDecisionHash(), rand.New(rand.NewSource(seed))
		generator := &eventGenerator{random: random, settings: randomSettings(random)}
		if onDemand {
			generator.settings.Directory = generator
		}
		actions, err := runWith(generator, seed, rulesSteps)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		hash.batch(t, 0, actions)
		result.add(hash)
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
	t.Errorf("%s was overwritten: review its diff, then run without -update-decisions", decisionsFile)
}

// TestDecisionsDigest guards against unintended changes of decisions, as by a refactoring: in seeded
// simulations of each option, the digests of all actions in order, and of the state that the dispatchers
// export, have to equal those in testdata/decisions.json. A commit that changes decisions on purpose records
// new digests with -update-decisions and says so.
//
// The digests cover floats bit for bit, as computed on amd64. Other processors fuse operations and have other
// implementations of math.Exp, so the last bits differ: there the test makes all checks except the comparison
// with the recorded digests.
func TestDecisionsDigest(t *testing.T) {
	measured := runAllCases(t)
	checkInertSettings(t, measured)
	checkDigestsUnique(t, measured)
	if *updateDecisions && runtime.GOARCH == recordedArch {
		writeDecisions(t, measured)
		return
	}
	if runtime.GOARCH != recordedArch {
		t.Logf("digests not compared: they were recorded on %s, and other processors differ in the last "+
			"bits of floats", recordedArch)
		return
	}
	compareWithRecorded(t, readDecisions(t), measured)
}

// checkInertSettings checks that the cases of inertSettingCases have the digests of the baseline. It removes
// their cases from measured, since they are not recorded.
func checkInertSettings(t *testing.T, measured map[string]recordedCase) {
	t.Helper()
	for _, each := range inertSettingCases() {
		if !slices.Equal(measured[each.name].Digests, measured[each.sameDigestsAs].Digests) {
			t.Errorf("%s: digests differ from those of %q, want the same, since the value must not matter",
				each.name, each.sameDigestsAs)
		}
		delete(measured, each.name)
	}
}

// runAllCases runs all cases in parallel and returns their results by name.
func runAllCases(t *testing.T) map[string]recordedCase {
	t.Helper()
	cases := decisionCases()
	rules := []string{"rules world", "rules world on demand"}
	results := make([]recordedCase, len(cases)+len(rules))
	t.Run("cases", func(t *testing.T) {
		for i, each := range cases {
			t.Run(each.name, func(t *testing.T) {
				t.Parallel()
				results[i] = runCase(t, each)
			})
		}
		for i, name := range rules {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				results[len(cases)+i] = runRulesCase(t, i == 1)
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
		t.Fatal("two cases have the same name")
	}
	return measured
}

// checkDigestsUnique checks that no two runs have the same digest, so that each seed and each option
// influences decisions.
func checkDigestsUnique(t *testing.T, measured map[string]recordedCase) {
	t.Helper()
	caseOf := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(measured)) {
		for _, digest := range measured[name].Digests {
			if other, known := caseOf[digest]; known {
				t.Errorf("a run of case %q has the same digest as a run of case %q", name, other)
			}
			caseOf[digest] = name
		}
	}
}

// compareWithRecorded reports each case whose digests or counts of actions differ from the recorded ones, and
// each recorded case that no longer exists.
func compareWithRecorded(t *testing.T, recorded, measured map[string]recordedCase) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(recorded)) {
		if _, exists := measured[name]; !exists {
			t.Errorf("%s: recorded, but there is no such case", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(measured)) {
		got, want := measured[name], recorded[name]
		if !slices.Equal(got.Digests, want.Digests) || !maps.Equal(got.Actions, want.Actions) {
			t.Errorf("%s: decisions differ from the recorded ones:\n got %s %v\nwant %s %v", name,
				strings.Join(got.Digests, " "), got.Actions, strings.Join(want.Digests, " "), want.Actions)
		}
	}
}
