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

// updateWire has the tests of the wire write their golden files instead of comparing with them. CI never sets it.
var updateWire = flag.Bool("update-wire", false, "write the golden files of the wire")

// The relays of the tests, and what they are made with.
const (
	// sender is the relay whose messages are pinned.
	sender = 3
	// receiver is the relay that answers them.
	receiver = 1
	// fleetSize is how many relays there are.
	fleetSize = 4
	// incarnation is that of each relay's process.
	incarnation = 1_700_000_000
	// zone is that of each relay.
	zone = 2
	// seed is that of each relay's random numbers.
	seed = 7
	// settled is a time after the first heartbeat and after all join requests.
	settled = 20 * time.Second
)

// compareGolden compares a text with a golden file of testdata/wire.
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

// newNode returns a node without facts.
func newNode(self int) *fleet.Node {
	return fleet.NewNode(self, fleetSize, incarnation, "0a1b2c3d", zone, seed, 0)
}

// transcript formats messages: the receiver of each, and a dump of its bytes. The titles are part of the recorded files.
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

// TestFactMessagesOnTheWire pins the message that broadcasts a new fact, for each kind: relays of other versions decode it.
// Kinds are numbers here, as they are on the wire.
func TestFactMessagesOnTheWire(t *testing.T) {
	const (
		// observedAge is the age of each fact when it is reported.
		observedAge = 250 * time.Millisecond
		// value takes more than one byte.
		value = 1500
	)
	var text strings.Builder
	for kind := fleet.Kind(1); kind <= 7; kind++ {
		node := newNode(sender)
		node.Tick(settled)
		node.Observe(kind, "endpoint-9", value, false, settled-observedAge, settled)
		text.WriteString(transcript(fmt.Sprint("a fact of kind ", kind), node.Tick(settled+20*time.Millisecond)))
	}
	compareGolden(t, "facts.txt", text.String())
}

// TestPeriodicMessagesOnTheWire pins the messages that a relay sends unasked: join requests, heartbeats with send rates, and
// digests.
func TestPeriodicMessagesOnTheWire(t *testing.T) {
	node := newNode(sender)
	text := transcript("a newcomer's first notes", node.Tick(0))
	node.ObserveRate("7", fleet.EncodeRate(0.5, 12.25, zone))
	text += transcript("a beat with a pace, and a digest", node.Tick(settled))
	for node.NextTick() < settled+time.Second {
		text += transcript("what follows within a second", node.Tick(node.NextTick()))
	}
	compareGolden(t, "own.txt", text)
}

// TestAnswersOnTheWire pins the answers to a joining relay and the three steps of anti-entropy.
func TestAnswersOnTheWire(t *testing.T) {
	one, other := newNode(receiver), newNode(sender)
	one.Tick(settled)
	other.Tick(settled)
	one.Observe(fleet.KindDestinationClosed, "7", 1500, false, settled, settled)
	one.Observe(fleet.KindEndpointEjected, "endpoint-9", zone, false, settled, settled)
	other.Observe(fleet.KindConnectionRejected, "endpoint-8", 0, false, settled, settled)
	answer := func(node *fleet.Node, from int, data []byte) []fleet.Outgoing {
		messages, _ := node.Receive(from, data, settled+time.Second)
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
	text += transcript("a digest of facts, and facts told again", one.Tick(settled+time.Second))
	compareGolden(t, "answers.txt", text)
}
