package policy

import (
	"container/list"
	"math/rand/v2"
	"milletsail/internal/instant"
)

// Dispatcher decides for one relay. It is not safe for concurrent use.
type Dispatcher struct {
	settings      Settings
	now           instant.Time
	endpoints     map[string]*endpoint
	destinations  map[int]*destination
	active        []*queue // those with messages held or calls out
	queues        []*queue // in the order in which they were first seen
	messages      map[string]*message
	unfinished    []*message // unfinished, in the order of arrival
	blockingKeys  []*message // over, but their keys rest
	orderedKeys   map[string][]*message
	callsInFlight int // calls out
	// unansweredShare is the share of calls out for stuckAfter mean latencies that had no success.
	unansweredShare  float64
	lastSequence     int
	lastCall         int
	meanPriority     float64
	subscribeAt      instant.Time // when to subscribe
	timerDueAt       instant.Time // when the next timer is due; 0 for none
	lastGossipAt     instant.Time // when the last note came
	publishAt        instant.Time // when to share a pace next
	publishNext      int          // among queues
	liveRelays       int          // that count as there; 0 for unknown
	zones            map[int]*zone
	isolated         bool // nothing answers in all zones but the own
	stopping         bool // send nothing more
	storageReadOnly  bool // attempts leave no trace for a later process
	actions          []Action
	random           *rand.Rand
	latencyPriors    map[int]*latencyEstimate // by kind of destination
	canaryCount      int                      // endpoints with a trial
	unavailableCount int                      // endpoints that countsAsBad
	firstListedAt    instant.Time             // of the first Listed; never before it
	idleDestinations list.List                // of *destination: on demand only, by idleSince; those that have become busy may still be in it
}

// New returns a dispatcher that knows nothing yet. Settings that make no sense give an error.
func New(s Settings, seed int64) (*Dispatcher, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	d := &Dispatcher{settings: s, endpoints: map[string]*endpoint{}, destinations: map[int]*destination{},
		messages: map[string]*message{}, orderedKeys: map[string][]*message{},
		latencyPriors: map[int]*latencyEstimate{}, random: rand.New(rand.NewPCG(uint64(seed), 0)), subscribeAt: never, firstListedAt: never}
	if s.Subscribe {
		d.subscribeAt = 0 // at once
	}
	for _, c := range s.Classes {
		d.meanPriority += c.PriorityWeight / float64(len(s.Classes))
	}
	return d, nil
}

// never is later than every moment.
const never = instant.Never

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// indicator is 1 for what is so.
func indicator(so bool) float64 {
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
