package policy

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// dispatcherPair runs a dispatcher that keeps state for all endpoints (always) and one that keeps it on
// demand (onDemand) on the same events.
type dispatcherPair struct {
	t                *rapid.T
	settings         Settings
	list             *directory
	always, onDemand *Dispatcher
	now              time.Duration
	lastNumber       int
	inFlight         []AttemptEnded // one for each attempt in flight, still without Outcome
	attemptsSent     map[string]int
}

// The endpoints of destinations 0 to 3 share a queue, those of 4 and 5 are separate routes, and 6 has
// messages but no listed endpoint.
const sharedDestinations, listedDestinations, usedDestinations = 4, 6, 7

func newDispatcherPair(t *rapid.T) *dispatcherPair {
	p := &dispatcherPair{t: t, settings: onDemandSettings(), list: newDirectory(),
		attemptsSent: map[string]int{}}
	p.settings.FleetSize = rapid.SampledFrom([]int{1, 4, 400}).Draw(t, "relays")
	p.settings.Slots = rapid.IntRange(2, 6).Draw(t, "slots")
	p.settings.Weights = rapid.SampledFrom([]Weights{WeightsOff, WeightsNominal}).Draw(t, "weights")
	seed := rapid.Int64().Draw(t, "seed")
	onDemand := p.settings
	onDemand.Directory = p.list
	var err error
	if p.always, err = New(p.settings, seed); err != nil {
		t.Fatal(err)
	}
	if p.onDemand, err = New(onDemand, seed); err != nil {
		t.Fatal(err)
	}
	var all EndpointsUpdated
	for destination := range listedDestinations {
		for i := range 1 + destination%3 {
			all.Endpoints = append(all.Endpoints, p.endpoint(destination, i))
		}
	}
	p.handle([]Event{all})
	return p
}

func (p *dispatcherPair) endpoint(destination, i int) Endpoint {
	kind := destination % 2
	if destination >= sharedDestinations {
		kind = 2
	}
	return Endpoint{ID: fmt.Sprint("e", destination, "-", i), Destination: destination, Kind: kind,
		Weight: float64(1 + 5*destination), Zone: i}
}

// handle gives both dispatchers the same batch, and checks that their actions and their counts of
// unavailable endpoints agree.
func (p *dispatcherPair) handle(events []Event) {
	for _, e := range events {
		if l, ok := e.(EndpointsUpdated); ok {
			p.list.apply(l)
		}
	}
	want, got := p.always.Handle(moment(p.now), events), p.onDemand.Handle(moment(p.now), events)
	if !reflect.DeepEqual(got, want) {
		p.t.Fatalf("at %v, actions differ after %+v:\n state on demand: %+v\n state of all: %+v", p.now,
			events, got, want)
	}
	for _, a := range got {
		if s, ok := a.(Send); ok {
			p.inFlight = append(p.inFlight,
				AttemptEnded{ID: s.ID, Endpoint: s.Endpoint, Attempt: p.attemptsSent[s.ID]})
			p.attemptsSent[s.ID]++
		}
	}
	draining := 0
	for _, eps := range p.list.endpointsOf {
		for _, e := range eps {
			if e.Draining {
				draining++
			}
		}
	}
	unavailable := 0
	for _, ep := range p.always.endpoints {
		if ep.outlier.ejected || ep.Draining || ep.unresponsive(p.always.now) {
			unavailable++
		}
	}
	if got, always := p.onDemand.UnavailableEndpoints()+draining,
		p.always.UnavailableEndpoints(); got != unavailable || always != unavailable {
		p.t.Fatalf("at %v: %d endpoints unavailable with state on demand, %d with state of all, want %d for "+
			"both", p.now, got, always, unavailable)
	}
}

// anyEndpoint draws a listed endpoint.
func (p *dispatcherPair) anyEndpoint() Endpoint {
	number := rapid.IntRange(0, listedDestinations-1).Draw(p.t, "destination")
	return rapid.SampledFrom(p.list.endpointsOf[number]).Draw(p.t, "endpoint")
}

// listChange draws a change of the endpoint list: an endpoint drains or stops draining, joins or leaves.
func (p *dispatcherPair) listChange() EndpointsUpdated {
	number := rapid.IntRange(0, sharedDestinations-1).Draw(p.t, "destination")
	e := p.endpoint(number, rapid.IntRange(0, 3).Draw(p.t, "endpoint"))
	_, listed := p.list.destinationOf[e.ID]
	switch {
	case listed && len(p.list.endpointsOf[number]) > 1 && rapid.Bool().Draw(p.t, "removed"):
		e.Removed = true
	case listed:
		e.Draining = rapid.Bool().Draw(p.t, "draining")
	}
	return EndpointsUpdated{Endpoints: []Endpoint{e}}
}

// outcome draws the end of a random attempt in flight.
func (p *dispatcherPair) outcome() Event {
	i := rapid.IntRange(0, len(p.inFlight)-1).Draw(p.t, "attempt")
	e := p.inFlight[i]
	p.inFlight = slices.Delete(p.inFlight, i, i+1)
	e.Outcome = rapid.SampledFrom([]Outcome{OK, OK, OK, Failed, Rejected, TimedOut, ConnectError,
		Reset}).Draw(p.t, "outcome")
	if e.Outcome == Rejected {
		e.RetryAfter = time.Duration(rapid.SampledFrom([]int{0, 0, 700, 4000}).Draw(p.t, "Retry-After")) * ms
	}
	return e
}

// inheritedOrPeerEvent draws a report of another relay, or an event with state of an earlier process.
func (p *dispatcherPair) inheritedOrPeerEvent() Event {
	number := rapid.IntRange(0, usedDestinations-1).Draw(p.t, "destination")
	age := time.Duration(rapid.IntRange(0, 5000).Draw(p.t, "age")) * ms
	switch rapid.IntRange(0, 7).Draw(p.t, "event kind") {
	case 0:
		return GossipReceived{Message: limitMessage{destination: number, callAge: age}.encode()}
	case 1:
		return GossipReceived{
			Message: limitMessage{destination: number, accepted: true, callAge: age}.encode()}
	case 2:
		return GossipReceived{Message: encodeEndpointMessage(endpointRecoveredType, p.anyEndpoint().ID)}
	case 3:
		return PeerSuspected{Destination: number, Observers: rapid.IntRange(0, 5).Draw(p.t, "observers"),
			OldestAge: age, NewestAge: age / 2, ValidFor: 5 * time.Second,
			Rank: rapid.IntRange(0, 2).Draw(p.t, "rank")}
	case 4:
		return PeerSuspected{Endpoint: p.anyEndpoint().ID,
			Observers: rapid.IntRange(0, 5).Draw(p.t, "observers"),
			OldestAge: age, NewestAge: age / 2, ValidFor: 5 * time.Second}
	case 5:
		return PeerRateReceived{Destination: number, LiveRelays: p.settings.FleetSize, Reporters: 5,
			RateShare:   rapid.Float64Range(0, 2).Draw(p.t, "rate share"),
			ArrivalRate: 3, ValidFor: 10 * time.Second}
	case 6:
		return StateRestored{Endpoint: p.anyEndpoint().ID, Ejected: rapid.Bool().Draw(p.t, "ejected"),
			At: moment(p.now - age)}
	}
	e := p.anyEndpoint()
	return StateInherited{Endpoints: []InheritedEndpoint{{ID: e.ID, ConsecutiveFailures: 0.5,
		LastSuccessAt: moment(p.now)}}, Outcomes: 9, MeanLatency: 0.2,
		ClassLatency: []float64{0.2, 0.2, 0.2}, Concurrency: 2,
		SendRate: e.Weight / float64(p.settings.FleetSize), Tokens: 1, TokensAt: moment(p.now)}
}

// arrival draws a message: a new one, or a resumed one that an earlier process sent to an endpoint.
func (p *dispatcherPair) arrival() Event {
	p.lastNumber++
	a := Arrived{ID: fmt.Sprint("m", p.lastNumber), Class: rapid.IntRange(0, 2).Draw(p.t, "class"),
		Destination: rapid.IntRange(0, usedDestinations-1).Draw(p.t, "destination"),
		TimeLeft:    10 * time.Second,
		Key:         rapid.SampledFrom([]string{"", "k", "l"}).Draw(p.t, "key")}
	eps := p.list.endpointsOf[a.Destination]
	if len(eps) > 0 && rapid.IntRange(0, 9).Draw(p.t, "resumed") == 0 {
		a.Resumed = true
		a.PriorAttempts = []PriorAttempt{{Endpoint: eps[0].ID, SentAt: moment(p.now - 300*ms),
			NotExecuted: rapid.Bool().Draw(p.t, "not executed")}}
		p.attemptsSent[a.ID]++
	}
	return a
}

// TestOnDemandDecidesAlike guards against decisions or random draws that depend on whether the state of a
// destination is loaded on demand or kept from the start.
func TestOnDemandDecidesAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newDispatcherPair(t)
		for range rapid.IntRange(1, 80).Draw(t, "batches") {
			p.now += time.Duration(rapid.SampledFrom([]int{5, 5, 30, 200, 1400}).Draw(t, "after")) * ms
			var events []Event
			for range rapid.IntRange(0, 3).Draw(t, "events") {
				switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
				case kind < 4 && len(p.inFlight) > 0:
					events = append(events, p.outcome())
				case kind < 8:
					events = append(events, p.arrival())
				case kind == 8:
					updated := p.listChange()
					events = append(events, updated)
					p.list.apply(updated)
				default:
					events = append(events, p.inheritedOrPeerEvent())
				}
			}
			p.handle(events)
		}
	})
}
