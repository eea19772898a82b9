// Package live runs a fleet.Node in a relay's process: it gives it the time, carries its notes, and turns what the
// relay observes into facts.
//
// It promises never to hold its caller up, to send nothing but notes of at most fleet.MaxNote bytes by the function that
// it was given, and that everything works without it: a nil Service takes all calls and does nothing. All methods may
// be called from any goroutine.
package live

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"milletsail/internal/fleet"
)

const (
	// fresh is how old what this relay has said of a thing may be before it says it again.
	fresh = 400 * time.Millisecond
	// just is how old an observation of another relay may be that is handed on by itself, and not only in what is said of
	// the thing altogether: what comes later by anti-entropy is no news.
	just = time.Second
)

// Options are what a Service is made with.
type Options struct {
	Incarnation uint32 // of this process; above that of the one before
	Self, Size  int    // number of this relay, and how many there are
	Version     string // of the program
	Zone        int
	Seed        uint64
	Send        func(to int, note []byte) // to a relay, or to all (fleet.All); it must not block
	// OnAssessment is called with what the fleet says of a thing, when it says something new, and Heard with what another relay
	// has just observed. They must not block.
	OnAssessment func(PeerAssessment)
	OnFact       func(f fleet.Fact, age time.Duration)
}

// PeerAssessment is what the fleet says of one destination, or of one endpoint.
type PeerAssessment struct {
	Dest     int    // where Endpoint is empty
	Endpoint string // or empty
	fleet.Assessment
	Rank       int // of this relay for the duty of trying it, among those that count as there
	LiveRelays int // how many these are
	Rates      fleet.RateSummary
	// ArrivalRateByZone is what arrives in each zone, over its relays; nil where that is not known.
	ArrivalRateByZone []float64
}

// Service is a node with a clock.
type Service struct {
	o     Options
	begun time.Time
	wake  chan struct{}

	mu   sync.Mutex
	node *fleet.Node
}

// New gives a service that does nothing until Run.
func New(o Options) *Service {
	begun := time.Now()
	return &Service{o: o, begun: begun, wake: make(chan struct{}, 1),
		node: fleet.NewNode(o.Self, o.Size, o.Incarnation, o.Version, o.Zone, o.Seed, 0)}
}

// Run sends what is due until ctx ends.
func (s *Service) Run(ctx context.Context) {
	if s == nil {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wake:
		}
		s.mu.Lock()
		now := time.Since(s.begun)
		out := s.node.Tick(now)
		next := s.node.NextTick()
		s.mu.Unlock()
		s.send(out)
		timer.Reset(max(time.Millisecond, next-now))
	}
}

func (s *Service) send(out []fleet.Outgoing) {
	for _, o := range out {
		s.o.Send(o.To, o.Message)
	}
}

// Accepts tells whether a note is one of ours.
func (s *Service) Accepts(note []byte) bool {
	return s != nil && len(note) > 0 && note[0] == fleet.MessageMark
}

// Receive takes in a note of another relay.
func (s *Service) Receive(from int, note []byte) {
	s.mu.Lock()
	now := time.Since(s.begun)
	out, news := s.node.Receive(from, note, now)
	said := s.about(news, now)
	s.mu.Unlock()
	s.send(out)
	for _, f := range news {
		if age := now - f.ObservedAt; age < just {
			s.o.OnFact(f, max(0, age))
		}
	}
	s.say(said)
}

// about sums up what is said of the things that facts are about.
func (s *Service) about(facts []fleet.Fact, now time.Duration) (all []PeerAssessment) {
	if len(facts) == 0 {
		return nil
	}
	live := s.node.LiveMembers(now)
	type thing struct {
		dest     int
		endpoint string
	}
	done := map[thing]bool{}
	for _, f := range facts {
		said := PeerAssessment{Dest: -1, LiveRelays: len(live)}
		switch f.Kind {
		case fleet.KindDestinationClosed, fleet.KindDestinationOpen, fleet.KindSendRate:
			dest, err := strconv.Atoi(f.Key)
			if err != nil {
				continue
			}
			said.Dest = dest
		case fleet.KindEndpointEjected, fleet.KindEndpointRecovered:
			said.Endpoint = f.Key
		default:
			continue
		}
		if t := (thing{said.Dest, said.Endpoint}); done[t] {
			continue
		} else {
			done[t] = true
		}
		if said.Endpoint != "" {
			said.Assessment = s.node.Assess(fleet.KindEndpointEjected, fleet.KindEndpointRecovered, f.Key, s.near, now)
		} else {
			said.Assessment = s.node.Assess(fleet.KindDestinationClosed, fleet.KindDestinationOpen, f.Key, nil, now)
			said.Rates = s.node.SummarizeRates(f.Key, s.o.Self, now)
			if said.Rates.Reporters > 0 {
				said.ArrivalRateByZone = byZone(said.Rates.ArrivalRateByZone, s.node.LiveByZone(live, now))
			}
		}
		if said.Observers > 0 {
			said.Rank = fleet.Rank(f.Key, live, s.o.Self)
		}
		all = append(all, said)
	}
	return all
}

// byZone is what arrives in each zone: what its tellers get, times its relays. Nil where a zone has no teller.
func byZone(each, relays map[int]float64) (all []float64) {
	for zone, n := range relays {
		traffic, told := each[zone]
		if !told {
			return nil
		}
		for len(all) <= zone {
			all = append(all, 0)
		}
		all[zone] = traffic * n
	}
	return all
}

func (s *Service) say(all []PeerAssessment) {
	for _, said := range all {
		s.o.OnAssessment(said)
	}
}

// zoned is the value of a verdict on an endpoint: its observer's zone.
func (s *Service) zoned() uint64 { return uint64(max(0, s.o.Zone)) }

// near tells whether a verdict comes from this relay's own zone.
func (s *Service) near(f fleet.Fact) bool { return f.Value == s.zoned() }

// Observe says what this relay has seen an age ago, which all have to hear of; where it is common, many see it at once,
// and some of them are enough.
func (s *Service) Observe(kind fleet.Kind, key string, value uint64, common bool, age time.Duration) {
	s.mu.Lock()
	now := time.Since(s.begun)
	s.node.Observe(kind, key, value, common, now-age, now)
	news := s.about([]fleet.Fact{{FactID: fleet.FactID{Kind: kind, Key: key}}}, now)
	s.mu.Unlock()
	s.say(news)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// learn says a thing, unless this relay has just said it.
func (s *Service) learn(kind fleet.Kind, key string, value uint64) {
	s.mu.Lock()
	own, ok := s.node.Get(fleet.FactID{Kind: kind, Origin: uint16(s.o.Self), Key: key}, time.Since(s.begun))
	s.mu.Unlock()
	if !ok || own.Age >= fresh {
		s.Observe(kind, key, value, true, 0)
	}
}

// ObserveHealth says that an endpoint is out, or serves again.
func (s *Service) ObserveHealth(endpoint string, out bool) {
	kind := fleet.KindEndpointRecovered
	if out {
		kind = fleet.KindEndpointEjected
	}
	if s != nil {
		s.learn(kind, endpoint, s.zoned())
	}
}

// ObserveFailure says that a call to an endpoint failed. That is told of where it is known to be out: it was tried in vain.
func (s *Service) ObserveFailure(endpoint string) {
	if s == nil {
		return
	}
	s.mu.Lock()
	out, _ := s.node.CountReporters(fleet.KindEndpointEjected, endpoint, time.Since(s.begun))
	s.mu.Unlock()
	if out > 0 {
		s.learn(fleet.KindEndpointEjected, endpoint, s.zoned())
	}
}

// ObserveRate says what this relay sends a destination, in parts of an even share of the listed rate, and how many messages a
// second arrive for it.
func (s *Service) ObserveRate(dest int, pace, traffic float64) {
	if s != nil {
		s.mu.Lock()
		s.node.ObserveRate(strconv.Itoa(dest), fleet.EncodeRate(pace, traffic, s.o.Zone))
		s.mu.Unlock()
	}
}

// FactView is one fact as operators see it.
type FactView struct {
	Kind        string  `json:"kind"`
	Key         string  `json:"key"`
	Origin      int     `json:"origin"`
	Value       uint64  `json:"value"`
	AgeS        float64 `json:"age_s"`
	BoundS      float64 `json:"bound_s"`
	Fading      bool    `json:"fading,omitempty"`
	KnownS      float64 `json:"known_s"` // for how long this relay has known anything of the kind and key
	Via         int     `json:"via"`     // the relay that it came from
	Incarnation uint32  `json:"incarnation"`
}

// View is what a relay believes.
type View struct {
	Self      int        `json:"self"`
	Live      []int      `json:"live"` // relays that count as there
	Suspected []int      `json:"suspected,omitempty"`
	Digest    uint32     `json:"digest"`
	Facts     []FactView `json:"beliefs"`
}

// LiveRelays gives the relays that count as there.
func (s *Service) LiveRelays() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.LiveMembers(time.Since(s.begun))
}

// View gives what this relay believes, from whom, and how old it is.
func (s *Service) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.begun)
	v := View{Self: s.o.Self, Live: s.node.LiveMembers(now), Digest: s.node.Digest(now), Facts: []FactView{}}
	for _, m := range v.Live {
		if m != s.o.Self && s.node.Suspected(m, now) {
			v.Suspected = append(v.Suspected, m)
		}
	}
	for _, a := range s.node.Facts(0, now) {
		b := fleet.Lifetimes[a.Kind]
		v.Facts = append(v.Facts, FactView{b.Name, a.Key, int(a.Origin), a.Value, a.Age.Seconds(), b.ExpiresAfter.Seconds(), a.Fading,
			s.node.KnownFor(a.Kind, a.Key, now).Seconds(), int(a.Via), a.Incarnation})
	}
	return v
}

// JSON is the view as the admin endpoint returns it: one line of JSON.
func (s *Service) JSON() string {
	text, err := json.Marshal(s.View())
	if err != nil {
		return "{}" // numbers and texts always have a form
	}
	return string(text)
}
