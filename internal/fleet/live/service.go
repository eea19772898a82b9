// Package live runs the gossip protocol of package fleet in a relay's process. It supplies the clock and the transport, converts
// the relay's observations into facts, and converts the facts of other relays into assessments.
//
// Messages are sent by Options.Send only, which must not block, so no method blocks on the network. Relays can run without gossip:
// Run, Accepts, ObserveHealth, ObserveFailure and ObserveRate do nothing on a nil *Service. All methods are safe for concurrent
// use.
package live

import (
	"context"
	"sync"
	"time"

	"milletsail/internal/fleet"
)

const (
	// repeatInterval is the minimum time between two reports of the same kind by this relay on the same endpoint.
	repeatInterval = 400 * time.Millisecond
	// maxEventAge is the age below which a new fact is passed to OnFact. Older facts, which arrive by anti-entropy, are used in
	// assessments only.
	maxEventAge = time.Second
	// minTimerDelay is the minimum delay between two ticks of Run. It avoids a busy loop when the next tick is already due.
	minTimerDelay = time.Millisecond
)

// Options configure a Service.
type Options struct {
	Incarnation uint32 // incarnation of this process, as NextIncarnation returns it
	Self        int    // number of this relay
	Size        int    // number of relays in the configuration
	Version     string // version of the program
	Zone        int    // zone of this relay
	Seed        uint64 // seed of the random numbers
	// Send sends a message to a relay, or to all others for fleet.AllRelays. It must not block.
	Send func(to int, message []byte)
	// OnAssessment is called with the assessment of each destination or endpoint on which a new fact was received, or an
	// observation of this relay was recorded. It must not block.
	OnAssessment func(PeerAssessment)
	// OnFact is called with each new fact from another relay whose age is below maxEventAge. It must not block.
	OnFact func(f fleet.Fact, age time.Duration)
}

// Service runs a fleet.Node by the monotonic clock of the process.
type Service struct {
	options   Options
	startedAt time.Time
	reset     chan struct{} // wakes Run to tick and compute the time of the next tick

	mu   sync.Mutex
	node *fleet.Node
}

// New returns a service. It sends no periodic messages until Run is called.
func New(options Options) *Service {
	return &Service{
		options:   options,
		startedAt: time.Now(),
		reset:     make(chan struct{}, 1),
		node: fleet.NewNode(options.Self, options.Size, options.Incarnation, options.Version, options.Zone,
			options.Seed, 0),
	}
}

// now returns the time since the service was created, which is the node's clock.
func (s *Service) now() time.Duration { return time.Since(s.startedAt) }

// Run sends the node's messages when they are due, until ctx is cancelled.
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

// send passes messages to Options.Send.
func (s *Service) send(messages []fleet.Outgoing) {
	for _, message := range messages {
		s.options.Send(message.To, message.Message)
	}
}

// Accepts reports whether a datagram starts with the first byte of gossip messages, fleet.MessageMagic.
func (s *Service) Accepts(datagram []byte) bool {
	return s != nil && len(datagram) > 0 && datagram[0] == fleet.MessageMagic
}

// Receive processes a message from another relay: it merges the facts, sends the answers, and calls OnFact and OnAssessment for
// the facts that were new.
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

// LiveRelays returns the numbers of the relays that count as live, this relay included.
func (s *Service) LiveRelays() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.LiveMembers(s.now())
}
