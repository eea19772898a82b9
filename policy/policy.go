// Package policy decides what a relay does with its messages: which it admits, where and when it sends them,
// when it retries, and when it gives up. It has no I/O, no clock and no goroutines: [Dispatcher.Handle] takes
// a batch of events and returns actions. The interface is in policy/api.go (settings), policy/event.go and
// policy/action.go.
//
// Admission control is the core: Hyytiä's value-function bound for parallel first-come queues (admission.go,
// queueing_delay.go). The other files each implement one mechanism that this model does not
// cover:
//
//   - Messages: classes and their value (value.go), order by key (ordered_keys.go), retries and timeouts
//     (retry.go), expiry (expiry.go), handover to the next process (handover.go).
//   - Calls: choice of a route and an endpoint (routing.go, endpoint_selection.go), slots (scheduler.go),
//     stalled calls (stalled_calls.go), outcomes (outcome.go).
//   - Limits of a destination: send rate (sendrate.go), circuit state and backoff (circuit.go), slow start of
//     all its endpoints together (destination_budget.go).
//   - Health of an endpoint: outlier detection (outlier.go), suspicion after a failure that ejects nothing
//     (suspicion.go), slow start (slowstart.go), connection limit (connection_limit.go), shortage of local
//     resources (resource_backoff.go). What limited a call is in call_limit.go.
//   - New versions: canaries and their analysis (canary.go, canary_analysis.go).
//   - Zones: locality and spillover (locality.go), evacuation and recovery (zone_evacuation.go).
//   - Other relays: their reports (peer_report.go), turns to probe (probing.go), shared rates
//     (rate_sharing.go), gossip messages (gossip_codec.go).
//   - State on demand (state_store.go), and the timer (timer.go).
//
// A destination has one queue, or one for each separate route. An endpoint belongs to one queue. A call
// carries one message or a batch to an endpoint, and an attempt is one message's part in a call.
package policy

import "milletsail/internal/instant"

// Handle processes one batch of events and returns the actions to carry out, in order. A time before that of
// the last batch counts as that time.
func (d *Dispatcher) Handle(now instant.Time, events []Event) []Action {
	d.now, d.actions = max(now, d.now), nil
	d.releaseBlockedKeys()
	d.handleListChanges(events)
	arrived := d.handleEvents(events)
	d.renewWatch()
	d.admitAll(arrived)
	d.evaluateZones()
	d.evaluateCanaries()
	d.expireMessages()
	d.suspectStalled()
	d.dispatch()
	d.cancelStalledCalls()
	d.publishRate()
	d.recordSuspicions()
	d.deactivateIdle()
	d.evictIdle()
	d.armTimer()
	return d.actions
}

// handleListChanges applies the changes of the endpoint list before all other events. A Directory reflects
// them already, and the other events of the batch must find the same list with a Directory as without one.
func (d *Dispatcher) handleListChanges(events []Event) {
	for _, event := range events {
		if updated, ok := event.(EndpointsUpdated); ok {
			d.updateEndpoints(updated)
		}
	}
}

// handleEvents handles the other events, and returns the messages that need an admission decision.
func (d *Dispatcher) handleEvents(events []Event) (arrived []*message) {
	for _, event := range events {
		if m := d.handleEvent(event); m != nil {
			arrived = append(arrived, m)
		}
	}
	return arrived
}

// handleEvent handles one event, and returns the message that needs an admission decision, or nil.
func (d *Dispatcher) handleEvent(event Event) *message {
	switch event := event.(type) {
	case Arrived:
		return d.addArrival(event)
	case AttemptEnded:
		d.handleAttemptEnded(event)
	case Withdrawn:
		d.withdraw(event.ID)
	case EndpointsUpdated: // see handleListChanges
	case TimerFired:
	case WatchFailed:
		if d.settings.Subscribe {
			d.watch.subscribeAt = d.now.Add(resubscribeDelay)
		}
	case StateRestored:
		d.restoreHealth(event)
	case StateInherited:
		d.restoreInherited(event)
	case GossipReceived:
		d.handleGossip(event.Message)
	case PeerSuspected:
		d.handlePeerSuspected(event)
	case PeerRateReceived:
		d.handlePeerRate(event)
	case StorageChanged:
		d.storageReadOnly = !event.Writable
	case ShutdownStarted:
		d.stopping = true
	}
	return nil
}

// admitAll admits or rejects the messages that arrived, unless the same batch has withdrawn them.
func (d *Dispatcher) admitAll(arrived []*message) {
	for _, m := range arrived {
		if !m.done {
			d.admit(m)
		}
	}
}
