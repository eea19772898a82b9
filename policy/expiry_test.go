package policy

import (
	"testing"
	"time"
)

// The rejection of an expired message must tell the client when its destination may get calls again.
func TestExpiredMessageHasRetryAfter(t *testing.T) {
	d := start(t, basicSettings(), Endpoint{ID: "a"})
	d.Handle(moment(ms), []Event{arrive("m", 0)})
	d.Handle(moment(8600*ms),
		[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected, RetryAfter: 2400 * ms}})
	for _, a := range d.Handle(moment(10*time.Second), []Event{TimerFired{}}) {
		if a, ok := a.(Reject); ok {
			if a.RetryAfter != time.Second {
				t.Errorf("RetryAfter is %v, want 1s, the rest of the destination's Retry-After", a.RetryAfter)
			}
			return
		}
	}
	t.Error("message m was not rejected at 10s, want a rejection with a Retry-After of 1s")
}

func TestWaitingMessagesExpire(t *testing.T) {
	d := start(t, basicSettings())
	got := d.Handle(0, []Event{arrive("m", 2)})
	expect(t, "no endpoint listed", got, "")
	at := actionAs[SetTimer](t, got[len(got)-1]).After
	if at > 10*time.Second || at < 9900*ms {
		t.Errorf("timer is set to %v, want it within 100ms before the 10s deadline", at)
	}
	expect(t, "before its expiry", d.Handle(moment(at-ms), []Event{TimerFired{}}), "")
	expect(t, "at its expiry", d.Handle(moment(at), []Event{TimerFired{}}), "reject m")
	expect(t, "late outcome", d.Handle(moment(at+ms), []Event{AttemptEnded{ID: "m", Outcome: OK}}), "")
}
