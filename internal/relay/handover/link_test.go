package handover

import (
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// testTimeout is longer than anything that a test waits for in vain.
const testTimeout = 20 * time.Second

// newLinkPair are both ends of a link.
func newLinkPair(t *testing.T) (predecessor, successor *Link) {
	t.Helper()
	a, b := net.Pipe()
	predecessor, successor = newLink(a), newLink(b)
	t.Cleanup(func() {
		predecessor.Close()
		successor.Close()
	})
	return predecessor, successor
}

// A handover goes through all steps at both ends, and moments mean the same at both.
func TestHandover(t *testing.T) {
	predecessor, successor := newLinkPair(t)
	offered := make(chan *Offer, 1)
	go func() {
		defer close(offered)
		offer, err := successor.request(clock.Now().Add(testTimeout))
		if err != nil {
			t.Error(err)
			return
		}
		offered <- offer
	}()
	if _, err := predecessor.receiveStep(clock.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if err := predecessor.Offer(&Offer{Clients: 7, Clocks: predecessor.ReadClocks()}); err != nil {
		t.Fatal(err)
	}
	if err := predecessor.Transfer(); err != nil {
		t.Fatal(err)
	}
	if offer := <-offered; offer == nil || offer.Clients != 7 {
		t.Fatalf("offer %+v", offer)
	}
	if predecessor.state != StateTransferred || successor.state != StateTransferred {
		t.Errorf("states %v and %v", predecessor.state, successor.state)
	}
	moment := clock.Now().Add(time.Minute)
	if got := successor.Instant(predecessor.WallTime(moment)); got != moment {
		t.Errorf("%v became %v", moment, got)
	}
	if got := successor.DecodeInstant(predecessor.EncodeInstant(moment)); got != moment {
		t.Errorf("%v became %v", moment, got)
	}
	if got := successor.Instant(time.Time{}); got != instant.Time(0) {
		t.Errorf("no time became %v", got)
	}
}

// A successor that answers an offer with anything but its readiness gets nothing.
func TestSuccessorOutOfOrder(t *testing.T) {
	predecessor, successor := newLinkPair(t)
	go func() {
		encoder := json.NewEncoder(successor.conn)
		_ = encoder.Encode(Message{Step: stepRequest})
		_, _ = successor.Receive()
		_ = encoder.Encode(Message{Step: stepTransfer})
	}()
	if _, err := predecessor.receiveStep(clock.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	var refused *TransitionError
	if err := predecessor.Offer(&Offer{}); !errors.As(err, &refused) || refused.From != StateOffered ||
		refused.Step != stepTransfer {
		t.Errorf("error %v", err)
	}
}

// A link whose peer receives nothing is closed once its queue is full.
func TestFullQueueClosesTheLink(t *testing.T) {
	predecessor, _ := newLinkPair(t)
	for range queueCapacity {
		predecessor.Send(Message{Answered: 1})
	}
	select {
	case <-predecessor.closed:
		t.Fatal("closed before the queue is full")
	default:
	}
	predecessor.Send(Message{Answered: 1})
	<-predecessor.closed
}
