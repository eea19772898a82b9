package policy

import (
	"container/list"
	"math/rand/v2"

	"milletsail/internal/instant"
)

// Dispatcher decides for one relay. It is not safe for concurrent use.
//
// What concerns a destination or an endpoint is in the parts of its queue and endpoint; here are the parts
// that concern the whole relay.
type Dispatcher struct {
	settings Settings
	now      instant.Time
	actions  []Action // of the batch that is handled
	random   *rand.Rand

	destinations     map[int]*destination
	endpoints        map[string]*endpoint
	queues           []*queue // in the order in which they were first seen
	active           []*queue // those with messages waiting or calls out
	unavailableCount int      // endpoints for which isUnavailable holds

	messages      messageTable
	keys          orderedKeys
	slots         slotScheduler
	latencyPriors map[int]*latencyEstimate // by kind of destination
	meanPriority  float64                  // mean priority weight of the classes
	watch         endpointWatch
	timer         timerState
	publisher     ratePublisher
	liveRelays    int          // that share the traffic now; 0 for unknown
	lastGossipAt  instant.Time // when the last gossip message was received
	zones         zoneTable
	canaryCount   int
	// idleDestinations holds each *destination whose state may be dropped, by idleSince; some may have become
	// active.
	idleDestinations list.List

	stopping        bool // send nothing more
	storageReadOnly bool // attempts leave no record for a later process
}

// New returns a dispatcher that knows nothing yet. Settings that make no sense give an error.
func New(s Settings, seed int64) (*Dispatcher, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	d := &Dispatcher{
		settings:      s,
		random:        rand.New(rand.NewPCG(uint64(seed), 0)),
		destinations:  map[int]*destination{},
		endpoints:     map[string]*endpoint{},
		messages:      messageTable{byID: map[string]*message{}},
		keys:          orderedKeys{waiting: map[string][]*message{}},
		latencyPriors: map[int]*latencyEstimate{},
		watch:         endpointWatch{subscribeAt: never, firstListedAt: never},
	}
	if s.Subscribe {
		d.watch.subscribeAt = 0 // at once
	}
	for _, c := range s.Classes {
		d.meanPriority += c.PriorityWeight / float64(len(s.Classes))
	}
	return d, nil
}

// never is later than every moment.
const never = instant.Never

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// remove takes v out of a slice and keeps the order.
func remove[T comparable](list []T, v T) []T {
	for i := range list {
		if list[i] == v {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
