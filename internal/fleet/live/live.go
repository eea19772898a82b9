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
	// Said is called with what the fleet says of a thing, when it says something new, and Heard with what another relay
	// has just observed. They must not block.
	Said  func(Said)
	Heard func(f fleet.Fact, age time.Duration)
}

// Said is what the fleet says of one destination, or of one endpoint.
type Said struct {
	Dest     int    // where Endpoint is empty
	Endpoint string // or empty
	fleet.Word
	Rank  int // of this relay for the duty of trying it, among those that count as there
	Live  int // how many these are
	Paces fleet.Paces
	// ByZone is what arrives in each zone, over its relays; nil where that is not known.
	ByZone []float64
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
		next := s.node.Next()
		s.mu.Unlock()
		s.send(out)
		timer.Reset(max(time.Millisecond, next-now))
	}
}

func (s *Service) send(out []fleet.Send) {
	for _, o := range out {
		s.o.Send(o.To, o.Note)
	}
}

// Takes tells whether a note is one of ours.
func (s *Service) Takes(note []byte) bool { return s != nil && len(note) > 0 && note[0] == fleet.Mark }

// Heard takes in a note of another relay.
func (s *Service) Heard(from int, note []byte) {
	s.mu.Lock()
	now := time.Since(s.begun)
	out, news := s.node.Heard(from, note, now)
	said := s.about(news, now)
	s.mu.Unlock()
	s.send(out)
	for _, f := range news {
		if age := now - f.Seen; age < just {
			s.o.Heard(f, max(0, age))
		}
	}
	s.say(said)
}

// about sums up what is said of the things that facts are about.
func (s *Service) about(facts []fleet.Fact, now time.Duration) (all []Said) {
	if len(facts) == 0 {
		return nil
	}
	live := s.node.Live(now)
	type thing struct {
		dest     int
		endpoint string
	}
	done := map[thing]bool{}
	for _, f := range facts {
		said := Said{Dest: -1, Live: len(live)}
		switch f.Kind {
		case fleet.Closed, fleet.Open, fleet.Pace:
			dest, err := strconv.Atoi(f.Key)
			if err != nil {
				continue
			}
			said.Dest = dest
		case fleet.Out, fleet.Back:
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
			said.Word = s.node.Word(fleet.Out, fleet.Back, f.Key, s.near, now)
		} else {
			said.Word = s.node.Word(fleet.Closed, fleet.Open, f.Key, nil, now)
			said.Paces = s.node.Paces(f.Key, s.o.Self, now)
			if said.Paces.Tellers > 0 {
				said.ByZone = byZone(said.Paces.ByZone, s.node.Zones(live, now))
			}
		}
		if said.Origins > 0 {
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

func (s *Service) say(all []Said) {
	for _, said := range all {
		s.o.Said(said)
	}
}

// zoned is the value of a verdict on an endpoint: its observer's zone.
func (s *Service) zoned() uint64 { return uint64(max(0, s.o.Zone)) }

// near tells whether a verdict comes from this relay's own zone.
func (s *Service) near(f fleet.Fact) bool { return f.Value == s.zoned() }

// Observed says what this relay has seen an age ago, which all have to hear of; where it is common, many see it at once,
// and some of them are enough.
func (s *Service) Observed(kind fleet.Kind, key string, value uint64, common bool, age time.Duration) {
	s.mu.Lock()
	now := time.Since(s.begun)
	s.node.Learn(kind, key, value, common, now-age, now)
	news := s.about([]fleet.Fact{{ID: fleet.ID{Kind: kind, Key: key}}}, now)
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
	own, ok := s.node.Get(fleet.ID{Kind: kind, Origin: uint16(s.o.Self), Key: key}, time.Since(s.begun))
	s.mu.Unlock()
	if !ok || own.Age >= fresh {
		s.Observed(kind, key, value, true, 0)
	}
}

// Health says that an endpoint is out, or serves again.
func (s *Service) Health(endpoint string, out bool) {
	kind := fleet.Back
	if out {
		kind = fleet.Out
	}
	if s != nil {
		s.learn(kind, endpoint, s.zoned())
	}
}

// Failed says that a call to an endpoint failed. That is told of where it is known to be out: it was tried in vain.
func (s *Service) Failed(endpoint string) {
	if s == nil {
		return
	}
	s.mu.Lock()
	out, _ := s.node.Agreed(fleet.Out, endpoint, time.Since(s.begun))
	s.mu.Unlock()
	if out > 0 {
		s.learn(fleet.Out, endpoint, s.zoned())
	}
}

// Paced says what this relay sends a destination, in parts of an even share of the listed rate, and how many messages a
// second arrive for it.
func (s *Service) Paced(dest int, pace, traffic float64) {
	if s != nil {
		s.mu.Lock()
		s.node.LearnPace(strconv.Itoa(dest), fleet.PaceValue(pace, traffic, s.o.Zone))
		s.mu.Unlock()
	}
}

// Belief is one fact as operators see it.
type Belief struct {
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
	Self      int      `json:"self"`
	Live      []int    `json:"live"` // relays that count as there
	Suspected []int    `json:"suspected,omitempty"`
	Digest    uint32   `json:"digest"`
	Beliefs   []Belief `json:"beliefs"`
}

// Live gives the relays that count as there.
func (s *Service) Live() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Live(time.Since(s.begun))
}

// View gives what this relay believes, from whom, and how old it is.
func (s *Service) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.begun)
	v := View{Self: s.o.Self, Live: s.node.Live(now), Digest: s.node.Digest(now), Beliefs: []Belief{}}
	for _, m := range v.Live {
		if m != s.o.Self && s.node.Suspected(m, now) {
			v.Suspected = append(v.Suspected, m)
		}
	}
	for _, a := range s.node.All(0, now) {
		b := fleet.Bounds[a.Kind]
		v.Beliefs = append(v.Beliefs, Belief{b.Name, a.Key, int(a.Origin), a.Value, a.Age.Seconds(), b.Until.Seconds(), a.Fading,
			s.node.Known(a.Kind, a.Key, now).Seconds(), int(a.Via), a.Incarnation})
	}
	return v
}

// Text is the view as the admin endpoint returns it: one line of JSON.
func (s *Service) Text() string {
	text, err := json.Marshal(s.View())
	if err != nil {
		return "{}" // numbers and texts always have a form
	}
	return string(text)
}
