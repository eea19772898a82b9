package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Encoding must include the leading facts that fit into a message, and decoding must return them unchanged. The drawn ages are
// whole milliseconds, to which the encoding rounds.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = 5 * time.Second
		all := drawFacts(t)
		data, encoded := encodeMessage(flagDigest, 77, all, now)
		decoded, err := decodeMessage(data)
		if err != nil || len(data) > MaxMessageSize || decoded.digest != 77 ||
			len(decoded.facts) != encoded || encoded < min(len(all), 8) {
			t.Fatalf("message of %d bytes decoded with error %v; %d of %d facts encoded", len(data), err, encoded, len(all))
		}
		for i, fact := range decoded.facts {
			fact.ObservedAt, fact.Via = fact.ObservedAt+now, all[i].Via
			if fact != all[i] {
				t.Fatalf("fact %+v was decoded as %+v", all[i], fact)
			}
		}
	})
}

// Decoding arbitrary bytes must not panic. A decoded message can be encoded and decoded again with the same number of facts, and a
// node that receives it returns no fact with a negative or expired age.
func FuzzDecodeMessage(f *testing.F) {
	fact := Fact{FactID: FactID{KindDestinationClosed, 3, "7"}, FactVersion: FactVersion{5, 6}, Value: 100}
	valid, _ := encodeMessage(flagDigest, 7, []Fact{fact}, time.Second)
	for size := range valid {
		f.Add(valid[:size])
	}
	f.Add(valid)
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := decodeMessage(data)
		if err != nil {
			return
		}
		again, encoded := encodeMessage(decoded.flags, decoded.digest, decoded.facts, 0)
		allFit := encoded == len(decoded.facts) || len(data) > MaxMessageSize-10
		if back, err := decodeMessage(again); err != nil || !allFit || len(back.facts) != encoded {
			t.Fatalf("message %x was encoded again as %x, which does not decode to the same number of facts", data, again)
		}
		node := NewNode(1, 10, 1, "v", 0, 1, 0)
		node.Receive(0, data, time.Hour)
		for _, fact := range node.Facts(0, time.Hour) {
			if fact.Age < 0 || fact.Age >= Lifetimes[fact.Kind].ExpiresAfter {
				t.Fatalf("fact returned with an age below 0 or past its expiry: %+v", fact)
			}
		}
	})
}
