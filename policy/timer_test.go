package policy

import (
	"testing"
	"time"
)

// A message waits for a destination that several relays found to refuse, and that has lost its last endpoint.
func TestFindingOnADestinationWithoutEndpoints(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a", Destination: 7})
	const now = 10 * time.Second
	d.Handle(moment(now), []Event{Accused{Destination: 7, Origins: witnesses, First: time.Second, Last: 0, Until: 5 * time.Second}})
	d.Handle(moment(now+ms), []Event{Listed{Endpoints: []Endpoint{{ID: "a", Destination: 7, Gone: true}}}})
	actions := d.Handle(moment(now+2*ms), []Event{Arrived{ID: "m", Destination: 7, Left: 10 * time.Second}})
	expect(t, "no endpoint is listed", actions, "")
	actions = d.Handle(moment(now+3*ms), []Event{Listed{Endpoints: []Endpoint{{ID: "b", Destination: 7}}}})
	if actions = append(actions, d.Handle(moment(now+2*time.Second), nil)...); said(actions) != "m>b" {
		t.Errorf("%q after an endpoint is listed again", said(actions))
	}
}
