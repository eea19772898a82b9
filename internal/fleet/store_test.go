package fleet

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawFacts draws up to 12 facts. The IDs are drawn from a small set, so that many facts have the same ID.
func drawFacts(t *rapid.T) []Fact {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Fact {
		return Fact{
			FactID: FactID{
				Kind:   Kind(rapid.IntRange(1, int(kindEnd)-1).Draw(t, "kind")),
				Origin: uint16(rapid.IntRange(0, 2).Draw(t, "origin")),
				Key:    rapid.SampledFrom([]string{"7", "h1"}).Draw(t, "key"),
			},
			FactVersion: FactVersion{
				Incarnation: uint32(rapid.IntRange(1, 2).Draw(t, "incarnation")),
				Seq:         uint32(rapid.IntRange(0, 2).Draw(t, "seq")),
			},
			Value:      uint64(rapid.IntRange(0, 2).Draw(t, "value")),
			ObservedAt: time.Duration(rapid.IntRange(0, 3).Draw(t, "observed at")) * time.Second,
			Via:        uint16(rapid.IntRange(0, 2).Draw(t, "via")),
		}
	}), 0, 12).Draw(t, "facts")
}

// Merging must give the same store for any order and repetition of the same facts, and must never return to an earlier version of a
// fact or make a fact younger. Otherwise stores would not converge when messages are reordered or duplicated.
func TestMerge(t *testing.T) {
	const now = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		all := drawFacts(t)
		ordered, shuffled := NewStore(), NewStore()
		for _, f := range all {
			before, existed := ordered.facts[f.FactID]
			ordered.Merge(f, now)
			after := ordered.facts[f.FactID]
			order := after.Compare(before.FactVersion)
			if existed && (order < 0 || order == 0 && after.ObservedAt > before.ObservedAt) {
				t.Fatalf("fact %+v became the older or younger fact %+v by merging %+v", before, after, f)
			}
		}
		repeated := append(slices.Clone(all), rapid.SliceOf(rapid.SampledFrom(append(all, Fact{}))).Draw(t, "repeated")...)
		for _, f := range rapid.Permutation(repeated).Draw(t, "order") {
			shuffled.Merge(f, now)
		}
		if !reflect.DeepEqual(ordered.facts, shuffled.facts) {
			t.Fatalf("facts merged in the drawn order: %v; shuffled and repeated: %v", ordered.facts, shuffled.facts)
		}
	})
}

// A fact must expire by the reader's clock, even if a sender keeps sending the same version and claims that its age is 0.
func TestExpiry(t *testing.T) {
	for kind, lifetime := range Lifetimes {
		node := NewNode(1, 3, 1, "v", 0, 1, 0)
		for at := time.Duration(0); at < 2*lifetime.ExpiresAfter; at += 100 * time.Millisecond {
			claim := Fact{FactID: FactID{kind, 0, "7"}, FactVersion: FactVersion{1, 1}, ObservedAt: at} // claims an age of 0 each time
			data, _ := encodeMessage(0, 0, []Fact{claim}, at)
			node.Receive(0, data, at)
			fact, ok := node.Get(claim.FactID, at)
			if ok != (at < lifetime.ExpiresAfter) || ok && (fact.Age != at || fact.Fading != (at >= lifetime.FadesAfter)) {
				t.Fatalf("kind %s at %v: unexpired is %v, fact %+v", lifetime.Name, at, ok, fact)
			}
		}
	}
}
