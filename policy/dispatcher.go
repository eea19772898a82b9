package policy

import (
	"math/rand/v2"
	"slices"

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
	latencyPriors latencyPriors
	meanPriority  float64 // mean priority weight of the classes
	watch         endpointWatch
	timer         timerState
	fleet         fleetState
	zones         zoneTable
	canaryCount   int
	store         stateStore

	stopping        bool // send nothing more
	storageReadOnly bool // attempts leave no record for a later process
}

// New returns a dispatcher that knows nothing yet, or an error for settings that make no sense. The seed is
// that of its random decisions.
func New(settings Settings, seed int64) (*Dispatcher, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	dispatcher := &Dispatcher{
		settings:      settings,
		random:        rand.New(rand.NewPCG(uint64(seed), 0)),
		destinations:  map[int]*destination{},
		endpoints:     map[string]*endpoint{},
		messages:      messageTable{byID: map[string]*message{}},
		keys:          orderedKeys{waiting: map[string][]*message{}},
		latencyPriors: latencyPriors{byKind: map[int]*latencyEstimate{}, classes: len(settings.Classes)},
		watch:         endpointWatch{subscribeAt: never, firstListedAt: never},
	}
	if settings.Subscribe {
		dispatcher.watch.subscribeAt = 0 // at once
	}
	for _, class := range settings.Classes {
		dispatcher.meanPriority += class.PriorityWeight / float64(len(settings.Classes))
	}
	return dispatcher, nil
}

// never is later than every other time.
const never = instant.Never

// emit adds an action to those of the batch.
func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// remove takes an element out of a slice and keeps the order.
func remove[T comparable](list []T, element T) []T {
	if i := slices.Index(list, element); i >= 0 {
		return append(list[:i], list[i+1:]...)
	}
	return list
}
