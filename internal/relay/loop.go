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

// inboxCapacity events wait for the loop without holding up the goroutines that bring them.
const inboxCapacity = 1024

// message is what the loop holds of a message taken on.
type message struct {
	*journal.Entry
	responses       []chan frontend.Response // of those that handed it in, until they are answered
	resubmitted     bool                     // a further copy of it was answered 202
	call            int                      // the module's number of the call out
	cancel          context.CancelFunc       // ends the wait for the call out; nil while there is none
	ended           bool                     // ended, but a call is still out
	countedPending  bool                     // taken on and not ended, as the figures have it
	reportedOverdue bool                     // reported as held past its time
}

// notificationQueue takes notifications for the platform, and never blocks.
type notificationQueue interface {
	Enqueue(n journal.Notification)
}

// loop owns the dispatcher and the journal: nothing else touches their state. It batches events by tick,
// hands them to the module, and carries out what that decides. It never waits for a socket.
type loop struct {
	cfg         *config.Config
	dispatcher  *policy.Dispatcher
	journal     *journal.Journal
	inbox       chan event
	pool        *upstream.Pool
	watcher     *discovery.Watcher
	notifier    notificationQueue
	gossip      *gossip.Transport
	fleet       *live.Service // nil where nothing is shared
	zones       *zoneOrders   // nil where zones are off
	metrics     *metrics.Metrics
	messages    map[string]*message
	lastClocks  clock.Pair // as last read, to tell steps of the wall clock
	endpoints   *endpointList
	timerAt     instant.Time
	lastStep    instant.Time // when the last batch was handled
	calls       context.Context
	events      []policy.Event
	newMessages []*message // arrivals of this batch
	sends       []send     // of this batch
	afterCommit []func()   // of this batch, once its records are written
	// unrecordedNotifications are the notices whose messages' ends are not on disk yet.
	unrecordedNotifications []unrecordedNotification

	clients  *frontend.ConnectionLimiter
	owner    *journal.Ownership
	handover handoverState
}

// enqueue hands the loop an event.
func (l *loop) enqueue(e event) { l.inbox <- e }

// run serves until ctx ends.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	sweep := time.NewTicker(time.Second)
	defer sweep.Stop()
	for {
		timer.Reset(l.untilNextStep())
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			l.pool.Sweep()
			l.checkClocks()
			if l.handover.decides() {
				l.setWritable(l.journal.Retry())
				l.endpoints.maintainStore()
				l.checkOverdue()
			}
			continue
		case e := <-l.inbox:
			if !l.handover.decides() {
				l.handleAfterHandover(e)
				continue
			}
			l.accept(e)
		case <-timer.C:
			if !l.handover.decides() {
				continue
			}
		}
		// What comes within a tick of the last batch is one batch.
		tick := time.NewTimer(clock.Until(l.lastStep.Add(l.cfg.Policy.BatchInterval)))
		for more := true; more; {
			select {
			case e := <-l.inbox:
				l.accept(e)
			case <-tick.C:
				more = false
			}
		}
		l.step()
		if requester := l.handover.requester; requester != nil {
			l.handover.requester = nil
			if l.handOver(requester) {
				l.pool.DisableKeepAlives()
				l.handover.endOwnerTasks()
				close(l.handover.completed)
			}
		}
	}
}

// untilNextStep is the time until the module has something to act on: at once where a batch left events of its own. The
// module's timer stays as it is then, since the module does not ask for it twice.
func (l *loop) untilNextStep() time.Duration {
	switch {
	case !l.handover.decides():
		return time.Hour
	case len(l.events) > 0 || l.endpoints.sweeping != nil:
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

// accept takes in one event.
func (l *loop) accept(e event) { e.apply(l) }

// classIndex gives the number of a class, or -1.
func (l *loop) classIndex(name string) int {
	for i := range l.cfg.Policy.Classes {
		if l.cfg.Policy.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// step lets the module act on a batch, and carries its actions out once what they need is in the journal.
func (l *loop) step() {
	now := clock.Now()
	l.lastStep = now
	if l.timerAt <= now {
		l.timerAt = now.Add(time.Hour)
		l.events = append(l.events, policy.TimerFired{})
	}
	l.removeUnlisted()
	events := l.events
	l.events = nil
	actions := l.dispatcher.Handle(now, events)
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Reject:
			l.endUndelivered(l.messages[a.ID], frontend.Response{Status: http.StatusTooManyRequests, RetryAfter: a.RetryAfter}, notifier.StatusDeferred, a.Reason)
		case policy.Fail:
			l.endUndelivered(l.messages[a.ID], frontend.Response{Status: http.StatusBadGateway}, notifier.StatusUndeliverable, a.Reason)
		}
	}
	l.acceptNewMessages()
	for _, a := range actions {
		l.execute(now, a)
	}
	l.commit()
	l.endpoints.maintainStore()
	l.metrics.Endpoints.Store(int64(l.endpoints.table.Len()))
	l.metrics.UnavailableEndpoints.Store(int64(l.unavailableEndpoints()))
	if l.zones != nil && len(l.zones.pending) > 0 {
		l.resumeZoneOrders()
	}
}
