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
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/notifier"
	"milletsail/internal/relay/upstream"
	"milletsail/policy"
)

const (
	// inboxCapacity events wait for the loop without blocking the goroutines that bring them.
	inboxCapacity = 1024
	// maintenanceInterval is the time between two rounds of maintenance.
	maintenanceInterval = time.Second
)

// message is what the loop has of an accepted message, or of one that is being decided on.
type message struct {
	*journal.Entry
	responses       []chan frontend.Response // to those that submitted it, until they are answered
	resubmitted     bool                     // a further submission of it was answered 202
	call            int                      // the policy's number of the call in flight
	cancel          context.CancelFunc       // ends the wait for the call in flight; nil while there is none
	ended           bool                     // ended, but a call is still in flight
	countedPending  bool                     // accepted and not ended, as the metrics have it
	reportedOverdue bool                     // reported as overdue
}

// notificationQueue takes notifications for the platform, and never blocks.
type notificationQueue interface {
	Enqueue(n journal.Notification)
}

// batch is what the loop gathers until its next step, and what that step decides.
type batch struct {
	events      []policy.Event
	newMessages []*message // that clients submitted
	sends       []send     // that the policy wants
	afterCommit []func()   // to be done once the step's records are written
}

// loop is the event loop. It owns the policy, the journal, the endpoint list and the message table: while run is active no other
// goroutine touches them, and all that others bring comes through the inbox. It gathers events for a batch interval, lets the
// policy decide on them, and executes its actions. It never waits for a socket.
type loop struct {
	inbox chan event
	cfg   *config.Config

	// The state that the loop owns.
	dispatcher *policy.Dispatcher
	journal    *journal.Journal
	endpoints  *endpointList
	messages   map[string]*message // by id; the message table
	batch      batch
	timerAt    instant.Time // when the policy wants to act next
	lastStep   instant.Time
	lastClocks clock.Pair  // to notice steps of the wall clock
	zones      *zoneOrders // nil where zones are off
	// unrecordedNotifications are those whose messages' ends are not on disk yet.
	unrecordedNotifications []unrecordedNotification

	// The process's relation to the state directory.
	owner    *journal.Ownership
	handover handoverState

	// The parts beside the loop, all of them safe for concurrent use.
	clients  *frontend.ConnectionLimiter
	pool     *upstream.Pool
	watcher  *discovery.Watcher
	notifier notificationQueue
	gossip   *gossip.Transport
	fleet    *live.Service // nil where nothing is shared
	metrics  *metrics.Metrics
}

// enqueue hands the loop an event.
func (l *loop) enqueue(e event) { l.inbox <- e }

// run handles events until ctx ends. Run of this package waits for it.
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

// maintain does what is due from time to time.
func (l *loop) maintain() {
	l.pool.Sweep()
	l.checkClocks()
	if l.handover.ownsState() {
		l.setWritable(l.journal.Retry())
		l.endpoints.maintainStore()
		l.checkOverdue()
	}
}

// collectBatch accepts further events for the batch: all that come within an interval of the last one.
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

// handOverIfRequested hands over to a successor that has requested the state directory, if there is one.
func (l *loop) handOverIfRequested(ctx context.Context) {
	requester := l.handover.requester
	if requester == nil {
		return
	}
	l.handover.requester = nil
	if l.handOver(ctx, requester) {
		l.pool.DisableKeepAlives()
		l.handover.stopOwnerTasks()
		close(l.handover.completed)
	}
}

// untilNextStep returns the time until there is something to act on: at once where a step left events of its own. The policy's
// timer stays as it is then, since the policy does not set it twice.
func (l *loop) untilNextStep() time.Duration {
	switch {
	case !l.handover.ownsState():
		return time.Hour
	case len(l.batch.events) > 0 || l.endpoints.sweeping != nil:
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

// handleEvent takes in one event.
func (l *loop) handleEvent(e event) { e.apply(l) }

// classIndex returns the index of a class, or -1 where the settings do not have it.
func (l *loop) classIndex(name string) int {
	for i := range l.cfg.Policy.Classes {
		if l.cfg.Policy.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// step lets the policy decide on the batch, and executes its actions once what they need is in the journal. Calls that it starts
// end with ctx.
func (l *loop) step(ctx context.Context) {
	now := clock.Now()
	l.lastStep = now
	if l.timerAt <= now {
		l.timerAt = now.Add(time.Hour)
		l.batch.events = append(l.batch.events, policy.TimerFired{})
	}
	l.removeUnlisted()
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

// endRejected ends the messages that the policy rejects or gives up, so that the new ones among them are not accepted.
func (l *loop) endRejected(actions []policy.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Reject:
			response := frontend.Response{Status: http.StatusTooManyRequests, RetryAfter: a.RetryAfter}
			l.endUndelivered(l.messages[a.ID], response, notifier.StatusDeferred, a.Reason)
		case policy.Fail:
			l.endUndelivered(l.messages[a.ID], frontend.Response{Status: http.StatusBadGateway}, notifier.StatusUndeliverable, a.Reason)
		}
	}
}
