// Package live runs a fleet.Node in a relay's process: it gives it the time, carries its notes, and turns what the
// relay observes into facts.
//
// It promises never to hold its caller up, to send nothing but notes of at most fleet.MaxNote bytes by the function that
// it was given, and that everything works without it: a nil Service takes all calls and does nothing. All methods may
// be called from any goroutine.
package live

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"milletsail/internal/fleet"
)

// fresh is how old what this relay has said of a thing may be before it says it again.
const fresh = time.Second

// Options are what a Service is made with.
type Options struct {
	Self, Size int    // number of this relay, and how many there are
	Version    string // of the program
	Zone       int
	Seed       uint64
	Send       func(to int, note []byte) // to a relay, or to all (fleet.All); it must not block
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
		node: fleet.NewNode(o.Self, o.Size, uint32(begun.Unix()), o.Version, o.Zone, o.Seed, 0)}
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
	out, _ := s.node.Heard(from, note, time.Since(s.begun))
	s.mu.Unlock()
	s.send(out)
}

// learn says a thing, unless this relay has just said it.
func (s *Service) learn(kind fleet.Kind, key string, value uint64) {
	s.mu.Lock()
	now := time.Since(s.begun)
	own, ok := s.node.Get(fleet.ID{Kind: kind, Origin: uint16(s.o.Self), Key: key}, now)
	said := ok && own.Age < fresh
	if !said {
		s.node.Learn(kind, key, value, now)
	}
	s.mu.Unlock()
	if !said {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// Refused says that a destination refused a call, and for how long it told to wait; 0 for no word of that.
func (s *Service) Refused(dest int, wait time.Duration) {
	if s != nil {
		s.learn(fleet.Closed, strconv.Itoa(dest), uint64(max(0, wait.Milliseconds())))
	}
}

// Took says that a destination took a call, if it is known to have been closed.
func (s *Service) Took(dest int) {
	if s == nil {
		return
	}
	key := strconv.Itoa(dest)
	s.mu.Lock()
	closed, _ := s.node.Agreed(fleet.Closed, key, time.Since(s.begun))
	s.mu.Unlock()
	if closed > 0 {
		s.learn(fleet.Open, key, 0)
	}
}

// Health says that an endpoint is out, or serves again.
func (s *Service) Health(endpoint string, out bool) {
	kind := fleet.Back
	if out {
		kind = fleet.Out
	}
	if s != nil {
		s.learn(kind, endpoint, 1)
	}
}

// NoRoom says that an endpoint took no connection.
func (s *Service) NoRoom(endpoint string) {
	if s != nil {
		s.learn(fleet.NoRoom, endpoint, 0)
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
		v.Beliefs = append(v.Beliefs, Belief{b.Name, a.Key, int(a.Origin), a.Value, a.Age.Seconds(), b.Until.Seconds(), a.Fading, a.Incarnation})
	}
	return v
}

// Text is the view as the operators' door gives it: one line of JSON.
func (s *Service) Text() []byte {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(s.View()); err != nil {
		return []byte("{}\n") // numbers and texts always have a form
	}
	return b.Bytes()
}
