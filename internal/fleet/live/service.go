// Package live runs the gossip protocol of package fleet in a relay's process: it supplies the clock and the transport, and
// converts what the relay observes into facts and the facts of others into assessments.
//
// A call never blocks on the network, and messages are sent only by Options.Send. Relays work without gossip: Run, Accepts,
// ObserveHealth, ObserveFailure and ObserveRate do nothing on a nil *Service. All methods are safe for concurrent use.
package live

import (
	"context"
	"sync"
	"time"

	"milletsail/internal/fleet"
)

const (
	// repeatInterval is the age below which this relay's own report of an endpoint is not repeated.
	repeatInterval = 400 * time.Millisecond
	// maxEventAge is the age up to which a new fact is passed to OnFact. Older ones arrive by anti-entropy and count in
	// assessments only.
	maxEventAge = time.Second
	// minTimerDelay keeps Run from spinning when a tick is already due.
	minTimerDelay = time.Millisecond
)

// Options configure a Service.
type Options struct {
	Incarnation uint32 // of this process; higher than that of the process before: see NextIncarnation
	Self        int    // number of this relay
	Size        int    // number of relays
	Version     string // of the program
	Zone        int    // of this relay
	Seed        uint64 // of random numbers
	// Send sends a message to a relay, or to all others for fleet.AllRelays. It must not block.
	Send func(to int, message []byte)
	// OnAssessment is called when a new fact changes the assessment of a destination or endpoint. It must not block.
	OnAssessment func(PeerAssessment)
	// OnFact is called with each new fact that another relay has just observed. It must not block.
	OnFact func(f fleet.Fact, age time.Duration)
}

// Service runs a fleet.Node.
type Service struct {
	options   Options
	startedAt time.Time
	reset     chan struct{} // has Run compute its next tick anew

	mu   sync.Mutex
	node *fleet.Node
}

// New returns a service, which sends nothing before Run is called.
func New(options Options) *Service {
	return &Service{
		options:   options,
		startedAt: time.Now(),
		reset:     make(chan struct{}, 1),
		node: fleet.NewNode(options.Self, options.Size, options.Incarnation, options.Version, options.Zone,
			options.Seed, 0),
	}
}

// now returns the time by the node's clock.
func (s *Service) now() time.Duration { return time.Since(s.startedAt) }

// Run sends the messages that are due until ctx is cancelled.
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
		case <-s.reset:
		}
		s.mu.Lock()
		now := s.now()
		messages := s.node.Tick(now)
		next := s.node.NextTick()
		s.mu.Unlock()
		s.send(messages)
		timer.Reset(max(minTimerDelay, next-now))
	}
}

func (s *Service) send(messages []fleet.Outgoing) {
	for _, message := range messages {
		s.options.Send(message.To, message.Message)
	}
}

// Accepts reports whether a datagram has the mark of gossip messages.
func (s *Service) Accepts(datagram []byte) bool {
	return s != nil && len(datagram) > 0 && datagram[0] == fleet.MessageMagic
}

// Receive takes in a message of another relay, sends the answers, and calls OnFact and OnAssessment for what was new.
func (s *Service) Receive(from int, message []byte) {
	s.mu.Lock()
	now := s.now()
	answers, fresh := s.node.Receive(from, message, now)
	assessments := s.assessAll(fresh, now)
	s.mu.Unlock()
	s.send(answers)
	for _, fact := range fresh {
		if age := now - fact.ObservedAt; age < maxEventAge {
			s.options.OnFact(fact, max(0, age))
		}
	}
	s.report(assessments)
}

// report calls OnAssessment with each assessment.
func (s *Service) report(assessments []PeerAssessment) {
	for _, assessment := range assessments {
		s.options.OnAssessment(assessment)
	}
}

// LiveRelays returns the relays that count as live.
func (s *Service) LiveRelays() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.LiveMembers(s.now())
}
