// Package policy decides what a relay does with its messages: which it admits, where and when it sends them,
// when it retries, and when it gives up. It has no I/O, no clock and no goroutines: [Dispatcher.Handle] takes
// a batch of events and returns actions. The interface (settings, events, actions) is in policy/api.go.
//
// Admission control is the core: Hyytiä's value-function bound for parallel first-come queues (admission.go).
// The other files treat what that model leaves out, one concern each: outlier detection, circuit state, slow
// start, send rate, scheduling, retries, canary analysis, zones and the exchange with other relays.
package policy

import (
	"slices"

	"milletsail/internal/instant"
)

// handleEvent takes in one event, and gives the message that is up for admission by it, if any.
func (d *Dispatcher) handleEvent(e Event) *message {
	switch e := e.(type) {
	case Arrived:
		return d.accept(e)
	case AttemptEnded:
		d.handleAttemptEnded(e)
	case Withdrawn:
		d.withdraw(e.ID)
	case EndpointsUpdated: // taken in ahead of the others
	case WatchFailed:
		if d.settings.Subscribe {
			d.watch.subscribeAt = d.now.Add(resubscribeDelay)
		}
	case StateRestored:
		d.restoreHealth(e)
	case StateInherited:
		d.restoreInherited(e)
	case GossipReceived:
		d.handleGossip(e.Message)
	case PeerSuspected:
		d.handlePeerSuspected(e)
	case PeerRateReceived:
		d.handlePeerRate(e)
	case StorageChanged:
		d.storageReadOnly = !e.Writable
	case ShutdownStarted:
		d.stopping = true
	}
	return nil
}

// Handle takes in the events of one batch and returns what is to be done, in order.
func (d *Dispatcher) Handle(now instant.Time, events []Event) []Action {
	d.now, d.actions = max(now, d.now), nil
	for _, m := range slices.Clone(d.keys.blocked) {
		d.releaseKey(m)
	}
	// Changes of the list go first: a Directory has them already, and what else a batch brings is to meet the
	// same list with one as without.
	for _, e := range events {
		if listed, ok := e.(EndpointsUpdated); ok {
			d.updateEndpoints(listed)
		}
	}
	var fresh []*message
	for _, e := range events {
		if m := d.handleEvent(e); m != nil {
			fresh = append(fresh, m)
		}
	}
	if d.now >= d.watch.subscribeAt {
		d.watch.subscribeAt = never
		d.emit(Subscribe{})
	}
	for _, m := range fresh {
		if !m.done {
			d.admit(m)
		}
	}
	d.evaluateZones()
	d.evaluateCanaries()
	d.expireMessages()
	d.dispatch()
	d.cancelStalledCalls()
	d.publishRate()
	d.deactivateIdle()
	d.evictIdle()
	d.armTimer()
	return d.actions
}
