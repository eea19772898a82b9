package fleet

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawFacts draws facts, many of them under the same few IDs.
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

// Merging is commutative, associative and idempotent, for any order and repetition of facts, and monotonic: no ID goes back
// to an earlier version, and no fact gets younger.
func TestMerge(t *testing.T) {
	const now = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		all := drawFacts(t)
		inOrder, shuffled := NewStore(), NewStore()
		for _, f := range all {
			before, existed := inOrder.facts[f.FactID]
			inOrder.Merge(f, now)
			after := inOrder.facts[f.FactID]
			order := after.Compare(before.FactVersion)
			if existed && (order < 0 || order == 0 && after.ObservedAt > before.ObservedAt) {
				t.Fatalf("%+v becomes %+v by %+v", before, after, f)
			}
		}
		repeated := append(slices.Clone(all), rapid.SliceOf(rapid.SampledFrom(append(all, Fact{}))).Draw(t, "repeated")...)
		for _, f := range rapid.Permutation(repeated).Draw(t, "order") {
			shuffled.Merge(f, now)
		}
		if !reflect.DeepEqual(inOrder.facts, shuffled.facts) {
			t.Fatalf("in order %v, shuffled %v", inOrder.facts, shuffled.facts)
		}
	})
}

// No fact is read after its expiry by the reader's clock, whatever age the sender claims and however often it is received.
func TestExpiry(t *testing.T) {
	for kind, lifetime := range Lifetimes {
		node := NewNode(1, 3, 1, "v", 0, 1, 0)
		for at := time.Duration(0); at < 2*lifetime.ExpiresAfter; at += 100 * time.Millisecond {
			claim := Fact{FactID: FactID{kind, 0, "7"}, FactVersion: FactVersion{1, 1}, ObservedAt: at} // always of age 0
			data, _ := encodeMessage(0, 0, []Fact{claim}, at)
			node.Receive(0, data, at)
			fact, ok := node.Get(claim.FactID, at)
			if ok != (at < lifetime.ExpiresAfter) || ok && (fact.Age != at || fact.Fading != (at >= lifetime.FadesAfter)) {
				t.Fatalf("%s at %v: %v, %+v", lifetime.Name, at, ok, fact)
			}
		}
	}
}
