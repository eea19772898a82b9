package policy

import (
	"math/rand/v2"
	"slices"

	"milletsail/internal/instant"
)

// Dispatcher makes the decisions of one relay. It is not safe for concurrent use.
//
// The state that concerns one destination or endpoint is in queue and endpoint; the fields here concern the
// whole relay.
type Dispatcher struct {
	settings Settings
	now      instant.Time // time of the current batch of events
	actions  []Action     // actions of the current batch so far
	random   *rand.Rand

	destinations     map[int]*destination
	endpoints        map[string]*endpoint
	queues           []*queue // all queues; in the order of creation, unless state is kept on demand
	active           []*queue // queues with waiting messages or calls in flight
	unavailableCount int      // number of endpoints for which isUnavailable holds

	messages      messageTable
	keys          orderedKeys
	slots         slotScheduler
	latencyPriors latencyPriors
	meanPriority  float64 // mean PriorityWeight of the classes
	watch         endpointWatch
	timer         timerState
	fleet         fleetState
	zones         zoneTable
	canaryCount   int
	store         stateStore
	// suspicionChanges holds the endpoints with a failed call, or a first success after one, in this batch.
	suspicionChanges []*endpoint

	stopping        bool // whether the process is about to end, so that nothing more is sent
	storageReadOnly bool // whether attempts cannot be recorded for a later process
}

// New returns a dispatcher without endpoints or messages, or an error if a setting is invalid. The seed
// determines its random decisions.
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
		dispatcher.watch.subscribeAt = 0 // the first call of Handle emits Subscribe
	}
	for _, class := range settings.Classes {
		dispatcher.meanPriority += class.PriorityWeight / float64(len(settings.Classes))
	}
	return dispatcher, nil
}

// never is the latest possible time, and means that something does not happen at all.
const never = instant.Never

// emit adds an action to those that the current call of Handle returns.
func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// remove removes the first occurrence of an element from a slice and keeps the order of the others.
func remove[T comparable](list []T, element T) []T {
	if i := slices.Index(list, element); i >= 0 {
		return append(list[:i], list[i+1:]...)
	}
	return list
}
