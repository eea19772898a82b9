package policy

import (
	"container/list"
	"math/rand/v2"

	"milletsail/internal/instant"
)

// This file holds the dispatcher.

// Dispatcher decides for one relay. It is not safe for concurrent use.
type Dispatcher struct {
	s         Settings
	now       instant.Time
	endpoints map[string]*endpoint
	dests     map[int]*destination
	active    []*queue // those with messages held or calls out
	queues    []*queue // in the order in which they were first seen
	messages  map[string]*message
	live      []*message // unfinished, in the order of arrival
	resting   []*message // over, but their keys rest
	keys      map[string][]*message
	out       int // calls out
	// unanswered is the share of calls out for stuckAfter mean latencies that had no success.
	unanswered float64
	seq        int
	turn       int
	meanWorth  float64
	resub      instant.Time // when to subscribe
	wakeAt     instant.Time // when the next timer is due; 0 for none
	heardAt    instant.Time // when the last note came
	shareAt    instant.Time // when to share a pace next
	shareNext  int          // among queues
	relays     int          // that count as there; 0 for unknown
	zones      map[int]*zone
	cutOff     bool // nothing answers in all zones but the own
	stopping   bool // send nothing more
	unrecorded bool // attempts leave no trace for a later process
	actions    []Action
	chance     *rand.Rand
	pools      map[int]*latencies // by kind of destination
	onTrial    int                // endpoints with a trial
	bad        int                // endpoints that countsAsBad
	listedAt   instant.Time       // of the first Listed; never before it
	idle       list.List          // of *destination: on demand only, by idleSince; those that have become busy may still be in it
}

// New returns a dispatcher that knows nothing yet. Settings that make no sense give an error.
func New(s Settings, seed int64) (*Dispatcher, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	d := &Dispatcher{s: s, endpoints: map[string]*endpoint{}, dests: map[int]*destination{},
		messages: map[string]*message{}, keys: map[string][]*message{},
		pools: map[int]*latencies{}, chance: rand.New(rand.NewPCG(uint64(seed), 0)), resub: never, listedAt: never}
	if s.Subscribe {
		d.resub = 0 // at once
	}
	for _, c := range s.Classes {
		d.meanWorth += c.PriorityWeight / float64(len(s.Classes))
	}
	return d, nil
}

// never is later than every moment.
const never = instant.Never

func (d *Dispatcher) act(a Action) { d.actions = append(d.actions, a) }

// truth is 1 for what is so.
func truth(so bool) float64 {
	if so {
		return 1
	}
	return 0
}

// remove takes v out of a slice and keeps the order.
func remove[T comparable](list []T, v T) []T {
	for i := range list {
		if list[i] == v {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// apply takes in one event, and gives the message that is up for admission by it, if any.
func (d *Dispatcher) apply(e Event) *message {
	switch e := e.(type) {
	case Arrived:
		return d.take(e)
	case AttemptEnded:
		d.ended(e)
	case Withdrawn:
		d.withdraw(e.ID)
	case EndpointsUpdated: // taken in ahead of the others
	case WatchFailed:
		if d.s.Subscribe {
			d.resub = d.now.Add(subscribeAgain)
		}
	case StateRestored:
		d.recall(e)
	case StateInherited:
		d.inherit(e)
	case GossipReceived:
		d.heard(e.Message)
	case PeerSuspected:
		d.accused(e)
	case PeerRateReceived:
		d.pacedBy(e)
	case StorageChanged:
		d.unrecorded = !e.Writable
	case ShutdownStarted:
		d.stopping = true
	}
	return nil
}
