package fleet_test

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"milletsail/internal/fleet"
)

// updateWire makes the tests rewrite the golden files in testdata/wire instead of comparing with them. CI never sets it.
var updateWire = flag.Bool("update-wire", false, "write the golden files of the wire")

// Parameters of the relays in these tests.
const (
	// sender is the number of the relay whose messages are compared with the golden files.
	sender = 3
	// receiver is the number of the relay that answers the sender.
	receiver = 1
	// fleetSize is the number of relays in the fleet.
	fleetSize = 4
	// incarnation is the incarnation of each relay's process.
	incarnation = 1_700_000_000
	// zone is the zone of each relay.
	zone = 2
	// seed is the seed of each relay's random numbers.
	seed = 7
	// afterJoin is a time after the first heartbeat and after all join requests.
	afterJoin = 20 * time.Second
)

// compareGolden fails the test unless got equals the golden file with the given name in testdata/wire.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "wire", name)
	if *updateWire {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: the bytes on the wire have changed:\n%s\nwant:\n%s", path, got, want)
	}
}

// newNode returns the node of relay self, without facts.
func newNode(self int) *fleet.Node {
	return fleet.NewNode(self, fleetSize, incarnation, "0a1b2c3d", zone, seed, 0)
}

// transcript formats messages with the receiver of each and a hex dump of its bytes. The title is part of the golden file.
func transcript(title string, messages []fleet.Outgoing) string {
	var text strings.Builder
	fmt.Fprintf(&text, "== %s\n", title)
	for _, message := range messages {
		to := fmt.Sprint("relay ", message.To)
		if message.To == fleet.AllRelays {
			to = "all relays"
		}
		fmt.Fprintf(&text, "to %s, %d bytes\n%s", to, len(message.Message), hex.Dump(message.Message))
	}
	return text.String()
}

// TestFactMessagesOnTheWire compares the messages that broadcast a new fact of each kind with their golden file, since relays of
// other versions must be able to decode them. Kinds are given by number, as in the message format.
func TestFactMessagesOnTheWire(t *testing.T) {
	const (
		// observedAge is the age of each fact when it is reported.
		observedAge = 250 * time.Millisecond
		// value is encoded in more than one byte.
		value = 1500
	)
	var text strings.Builder
	for kind := fleet.Kind(1); kind <= 7; kind++ {
		node := newNode(sender)
		node.Tick(afterJoin)
		node.Observe(kind, "endpoint-9", value, false, afterJoin-observedAge, afterJoin)
		text.WriteString(transcript(fmt.Sprint("a fact of kind ", kind), node.Tick(afterJoin+20*time.Millisecond)))
	}
	compareGolden(t, "facts.txt", text.String())
}

// TestPeriodicMessagesOnTheWire compares the messages that a relay sends on its own timers with their golden file: join requests,
// heartbeats with send rates, and digests.
func TestPeriodicMessagesOnTheWire(t *testing.T) {
	node := newNode(sender)
	text := transcript("a newcomer's first notes", node.Tick(0))
	node.ObserveRate("7", fleet.EncodeRate(0.5, 12.25, zone))
	text += transcript("a beat with a pace, and a digest", node.Tick(afterJoin))
	for node.NextTick() < afterJoin+time.Second {
		text += transcript("what follows within a second", node.Tick(node.NextTick()))
	}
	compareGolden(t, "own.txt", text)
}

// TestAnswersOnTheWire compares the answers to a join request, to a digest, to bucket digests and to facts with bucket digests with
// their golden file.
func TestAnswersOnTheWire(t *testing.T) {
	one, other := newNode(receiver), newNode(sender)
	one.Tick(afterJoin)
	other.Tick(afterJoin)
	one.Observe(fleet.KindDestinationClosed, "7", 1500, false, afterJoin, afterJoin)
	one.Observe(fleet.KindEndpointEjected, "endpoint-9", zone, false, afterJoin, afterJoin)
	other.Observe(fleet.KindConnectionRejected, "endpoint-8", 0, false, afterJoin, afterJoin)
	answer := func(node *fleet.Node, from int, data []byte) []fleet.Outgoing {
		messages, _ := node.Receive(from, data, afterJoin+time.Second)
		return messages
	}
	joinRequest := []byte{'F', 1, 4}
	text := transcript("to a newcomer", answer(one, sender, joinRequest))
	digest := []byte{'F', 1, 1, 0xde, 0xad, 0xbe, 0xef}
	bucketDigests := answer(one, sender, digest)
	text += transcript("to a digest that differs", bucketDigests)
	facts := answer(other, receiver, bucketDigests[0].Message)
	text += transcript("to sums that differ", facts)
	text += transcript("to facts with sums that differ", answer(one, sender, facts[0].Message))
	text += transcript("a digest of facts, and facts told again", one.Tick(afterJoin+time.Second))
	compareGolden(t, "answers.txt", text)
}
