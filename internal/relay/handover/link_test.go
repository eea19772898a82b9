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

// testTimeout bounds every wait of a test. It is far longer than a passing test needs.
const testTimeout = 20 * time.Second

// newLinkPair returns the two ends of a link, which are closed when the test ends.
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

// Both processes have to reach StateTransferred by the steps of the protocol, and have to convert times with the same clock
// readings: otherwise deadlines and measured times would shift by the handover.
func TestHandoverStepsAndTimes(t *testing.T) {
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
		t.Fatalf("successor received offer %+v, want one with 7 clients", offer)
	}
	if predecessor.state != StateTransferred || successor.state != StateTransferred {
		t.Errorf("after the transfer the states are %v (predecessor) and %v (successor), want both transferred",
			predecessor.state, successor.state)
	}
	moment := clock.Now().Add(time.Minute)
	if got := successor.Instant(predecessor.WallTime(moment)); got != moment {
		t.Errorf("time %v sent as wall time arrived as %v", moment, got)
	}
	if got := successor.DecodeInstant(predecessor.EncodeInstant(moment)); got != moment {
		t.Errorf("time %v sent within the policy state arrived as %v", moment, got)
	}
	if got := successor.Instant(time.Time{}); got != instant.Time(0) {
		t.Errorf("the zero wall time arrived as %v, want 0", got)
	}
}

// A predecessor must not give up the state directory if its successor answers the offer with any other step than its readiness.
func TestOfferRejectsStepOutOfOrder(t *testing.T) {
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
		t.Errorf("Offer returned error %v, want a TransitionError for the transfer in state offered", err)
	}
}

// Send must neither block nor grow the queue without bound if the other process receives nothing: at queueCapacity the link
// closes.
func TestFullQueueClosesLink(t *testing.T) {
	predecessor, _ := newLinkPair(t)
	for range queueCapacity {
		predecessor.Send(Message{Answered: 1})
	}
	select {
	case <-predecessor.closed:
		t.Fatal("link closed before its queue was full")
	default:
	}
	predecessor.Send(Message{Answered: 1})
	<-predecessor.closed
}
