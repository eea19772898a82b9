package relay

import (
	"context"
	"net/http"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/fleet/live"
	"milletsail/internal/instant"
	"milletsail/internal/journal"
	"milletsail/internal/relay/config"
	"milletsail/internal/relay/discovery"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/gossip"
	"milletsail/internal/relay/memory"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/notifier"
	"milletsail/internal/relay/upstream"
	"milletsail/policy"
)

const (
	// inboxCapacity is how many events may wait for the loop before enqueue blocks.
	inboxCapacity = 1024
	// maintenanceInterval is the time between two calls of maintain.
	maintenanceInterval = time.Second
)

// message is the loop's state for a message that is accepted or awaits the policy's decision, and for one that has ended while a
// call or its notification is outstanding.
type message struct {
	*journal.Entry
	responses       []chan frontend.Response // receive the response, one for each submission; nil once answered
	resubmitted     bool                     // a duplicate submission was answered 202
	call            int                      // the policy's number of the call that has not ended
	attempt         int                      // index of the call's attempt in Attempts, once it is begun
	begun           bool                     // the start of that attempt is recorded, and its call may have been written
	cancel          context.CancelFunc       // cancels the message's part of the call that has not ended; nil if there is none
	ended           bool                     // no further attempt follows; a call or notification may be outstanding
	countedPending  bool                     // counted in the metric of pending messages
	reportedOverdue bool                     // checkOverdue has reported it
	clientLeft      func() bool              // reports whether the client that submitted the message first has left; nil if unknown
	delivered       bool                     // an attempt has delivered it
	keptUntil       instant.Time             // until when the entry of a withdrawn message is kept; zero for no such message
}

// notificationQueue accepts notifications for the platform. Enqueue never blocks.
type notificationQueue interface {
	Enqueue(n journal.Notification)
}

// batch collects the input of the loop's next step, and the results of the step until they are committed.
type batch struct {
	events      []policy.Event  // input of the policy
	newMessages []*message      // messages that clients have submitted, rejected ones included
	sends       []send          // attempts that the policy has decided on
	connected   []*outgoingCall // calls that have opened a connection and wait for their record
	afterCommit []func()        // other actions to take after the commit
}

// loop is the event loop. It owns the policy, the journal, the endpoint list and the message table: while run is active no other
// goroutine accesses them, and other goroutines communicate with the loop through the inbox. The loop collects events for a batch
// interval, passes them to the policy, and executes the actions that the policy returns. Outside of a handover it never waits for
// a socket.
type loop struct {
	inbox chan event
	cfg   *config.Config

	// The state that the loop owns.
	dispatcher    *policy.Dispatcher
	journal       *journal.Journal
	endpoints     *endpointList
	messages      map[string]*message // by id; the message table, which addMessage and removeMessage change
	batch         batch
	timerAt       instant.Time // when the policy's timer fires
	lastStep      instant.Time // when the last step began
	lastClocks    clock.Pair   // last reading of checkClocks
	memoryPeak    memory.PeakLogger
	messageMemory *memory.Pool // memory of the messages in the table; nil for no limit
	plannedFor    planInput    // of the last applyPlan
	keptMemory    *memory.Pool // memory of the withdrawn messages that are kept; nil for no limit
	ended         endedIDs     // messages that must not be executed again
	zones         *zoneOrders  // operators' zone orders; nil if zones are disabled
	// unrecordedNotifications are held back until the ends of their messages are on disk, or the messages have expired.
	unrecordedNotifications []unrecordedNotification

	// The ownership of the state directory.
	owner    *journal.Ownership
	handover handoverState

	// The components that run outside the loop. All are safe for concurrent use.
	clients  *frontend.ConnectionLimiter
	pool     *upstream.Pool
	watcher  *discovery.Watcher
	notifier notificationQueue
	gossip   *gossip.Transport
	fleet    *live.Service // shares observations with other relays; nil if that is disabled
	metrics  *metrics.Metrics
}

// enqueue sends the loop an event. It blocks while the inbox is full.
func (l *loop) enqueue(e event) { l.inbox <- e }

// run handles events until ctx ends. The function Run waits for it to return.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	maintenance := time.NewTicker(maintenanceInterval)
	defer maintenance.Stop()
	for {
		timer.Reset(l.untilNextStep())
		select {
		case <-ctx.Done():
			return
		case <-maintenance.C:
			l.maintain()
			continue
		case e := <-l.inbox:
			if !l.handover.ownsState() {
				l.handleAfterHandover(e)
				continue
			}
			l.handleEvent(e)
		case <-timer.C:
			if !l.handover.ownsState() {
				continue
			}
		}
		l.collectBatch()
		l.step(ctx)
		l.handOverIfRequested(ctx)
	}
}

// maintain does the periodic work: it closes connections that have been idle for too long, checks the clocks and, in the owner of
// the state directory, retries failed journal writes, continues the store's compaction and reports overdue messages.
func (l *loop) maintain() {
	l.pool.Maintain()
	l.checkClocks()
	l.memoryPeak.Check("clients", l.clients.Count(), "messages", len(l.messages))
	l.clients.LogClosed()
	if l.handover.ownsState() {
		l.setWritable(l.journal.Retry())
		l.endpoints.maintainStore()
		l.checkOverdue()
		l.releaseKept()
		l.updatePlan()
	}
}

// collectBatch handles further events for the batch until a batch interval has passed since the last step.
func (l *loop) collectBatch() {
	interval := time.NewTimer(clock.Until(l.lastStep.Add(l.cfg.Policy.BatchInterval)))
	for {
		select {
		case e := <-l.inbox:
			l.handleEvent(e)
		case <-interval.C:
			return
		}
	}
}

// handOverIfRequested hands over to a successor, if one has requested the state directory.
func (l *loop) handOverIfRequested(ctx context.Context) {
	requester := l.handover.requester
	if requester == nil {
		return
	}
	l.handover.requester = nil
	previous := l.plannedFor.inHandover
	l.applyPlan(true)
	if !l.handOver(ctx, requester) {
		l.applyPlan(previous)
		return
	}
	l.releaseTransferred()
	l.pool.DisableKeepAlives()
	l.handover.stopOwnerTasks()
	close(l.handover.completed)
}

// untilNextStep returns the time until the next step is due. It is 0 if events are waiting, as when a step itself has caused
// some; timerAt stays unchanged in that case, since the policy does not set its timer again.
func (l *loop) untilNextStep() time.Duration {
	switch {
	case !l.handover.ownsState():
		return time.Hour
	case len(l.batch.events) > 0 || l.endpoints.removingUnlisted != nil:
		return 0
	}
	wait := max(0, clock.Until(l.timerAt))
	if l.endpoints.compacting {
		wait = min(wait, compactionInterval)
	}
	for _, n := range l.unrecordedNotifications {
		wait = min(wait, max(0, clock.Until(n.expiresAt)))
	}
	return wait
}

// handleEvent adds one event to the batch.
func (l *loop) handleEvent(e event) { e.apply(l) }

// classIndex returns the index of a class in the policy's settings, or -1 if there is none with this name.
func (l *loop) classIndex(name string) int {
	for i := range l.cfg.Policy.Classes {
		if l.cfg.Policy.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// step passes the batch's events to the policy and executes the actions that it returns. Responses, calls and cancellations
// follow only once the journal's records are written (see commit). Canceling ctx cancels the calls that the step starts.
func (l *loop) step(ctx context.Context) {
	now := clock.Now()
	l.lastStep = now
	if l.timerAt <= now {
		l.timerAt = now.Add(time.Hour)
		l.batch.events = append(l.batch.events, policy.TimerFired{})
	}
	l.removeUnlisted()
	l.withdrawLeft()
	events := l.batch.events
	l.batch.events = nil
	actions := l.dispatcher.Handle(now, events)
	l.endRejected(actions)
	l.acceptNewMessages()
	for _, a := range actions {
		l.execute(now, a)
	}
	l.commit(ctx)
	l.endpoints.maintainStore()
	l.metrics.Endpoints.Store(int64(l.endpoints.table.Len()))
	l.metrics.UnavailableEndpoints.Store(int64(l.unavailableEndpoints()))
	if l.zones != nil && len(l.zones.pending) > 0 {
		l.resumeZoneOrders()
	}
}

// endRejected ends the messages that the policy rejects or gives up. It runs before acceptNewMessages, so that rejected new
// messages are not recorded as accepted.
func (l *loop) endRejected(actions []policy.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Reject:
			response := frontend.Response{Status: http.StatusTooManyRequests, RetryAfter: a.RetryAfter}
			l.endUndelivered(l.messages[a.ID], response, notifier.StatusDeferred, a.Reason)
		case policy.Fail:
			response := frontend.Response{Status: http.StatusBadGateway}
			l.endUndelivered(l.messages[a.ID], response, notifier.StatusUndeliverable, a.Reason)
		}
	}
}
