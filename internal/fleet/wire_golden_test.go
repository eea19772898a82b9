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
	// teller is the relay whose notes are pinned.
	teller = 3
	// listener is the relay that answers them.
	listener = 1
	// fleetSize is how many relays there are.
	fleetSize = 4
	// incarnation is that of each relay's process.
	incarnation = 1_700_000_000
	// zone is that of each relay.
	zone = 2
	// seed is what each relay draws from.
	seed = 7
	// settled is a moment past the first beat, and past all that a newcomer asks for.
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

// newNode gives a relay's part in the fleet that knows of itself alone.
func newNode(self int) *fleet.Node {
	return fleet.NewNode(self, fleetSize, incarnation, "0a1b2c3d", zone, seed, 0)
}

// transcript gives notes as text: the receiver of each, and a dump of its bytes.
func transcript(title string, notes []fleet.Outgoing) string {
	var text strings.Builder
	fmt.Fprintf(&text, "== %s\n", title)
	for _, note := range notes {
		receiver := fmt.Sprint("relay ", note.To)
		if note.To == fleet.Everyone {
			receiver = "all relays"
		}
		fmt.Fprintf(&text, "to %s, %d bytes\n%s", receiver, len(note.Message), hex.Dump(note.Message))
	}
	return text.String()
}

// TestFactNotesOnTheWire pins the note that tells of a new fact, for each kind: relays of other versions read it.
// Kinds are numbers here as there, since the names are none of the wire's.
func TestFactNotesOnTheWire(t *testing.T) {
	const (
		// observed is how old each fact is when it is learned.
		observed = 250 * time.Millisecond
		// value takes more than one byte.
		value = 1500
	)
	var text strings.Builder
	for kind := fleet.Kind(1); kind <= 7; kind++ {
		node := newNode(teller)
		node.Tick(settled)
		node.Observe(kind, "endpoint-9", value, false, settled-observed, settled)
		text.WriteString(transcript(fmt.Sprint("a fact of kind ", kind), node.Tick(settled+20*time.Millisecond)))
	}
	compareGolden(t, "facts.txt", text.String())
}

// TestOwnNotesOnTheWire pins what a relay says by itself: its questions as a newcomer, its beat with the paces of
// destinations, and its digest.
func TestOwnNotesOnTheWire(t *testing.T) {
	node := newNode(teller)
	text := transcript("a newcomer's first notes", node.Tick(0))
	node.ObserveRate("7", fleet.EncodeRate(0.5, 12.25, zone))
	text += transcript("a beat with a pace, and a digest", node.Tick(settled))
	for node.NextTick() < settled+time.Second {
		text += transcript("what follows within a second", node.Tick(node.NextTick()))
	}
	compareGolden(t, "own.txt", text)
}

// TestAnswersOnTheWire pins what is said in return: to a newcomer, and the three steps of anti-entropy.
func TestAnswersOnTheWire(t *testing.T) {
	one, other := newNode(listener), newNode(teller)
	one.Tick(settled)
	other.Tick(settled)
	one.Observe(fleet.KindDestinationClosed, "7", 1500, false, settled, settled)
	one.Observe(fleet.KindEndpointEjected, "endpoint-9", zone, false, settled, settled)
	other.Observe(fleet.KindConnectionRejected, "endpoint-8", 0, false, settled, settled)
	answer := func(node *fleet.Node, from int, note []byte) []fleet.Outgoing {
		notes, _ := node.Receive(from, note, settled+time.Second)
		return notes
	}
	newcomer := []byte{'F', 1, 4}
	text := transcript("to a newcomer", answer(one, teller, newcomer))
	digest := []byte{'F', 1, 1, 0xde, 0xad, 0xbe, 0xef}
	sums := answer(one, teller, digest)
	text += transcript("to a digest that differs", sums)
	facts := answer(other, listener, sums[0].Message)
	text += transcript("to sums that differ", facts)
	text += transcript("to facts with sums that differ", answer(one, teller, facts[0].Message))
	text += transcript("a digest of facts, and facts told again", one.Tick(settled+time.Second))
	compareGolden(t, "answers.txt", text)
}
