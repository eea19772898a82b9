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

// inboxSize events wait for the loop without holding up the goroutines that bring them.
const inboxSize = 1024

// message is what the loop holds of a message taken on.
type message struct {
	*journal.Entry
	replies []chan frontend.Response // of those that handed it in, until they are answered
	copied  bool                     // a further copy of it was answered 202
	call    int                      // the module's number of the call out
	cancel  context.CancelFunc       // ends the wait for the call out; nil while there is none
	over    bool                     // ended, but a call is still out
	pending bool                     // taken on and not ended, as the figures have it
	overdue bool                     // reported as held past its time
}

// notificationQueue takes notifications for the platform, and never blocks.
type notificationQueue interface {
	Enqueue(n journal.Notification)
}

// loop owns the dispatcher and the journal: nothing else touches their state. It batches events by tick,
// hands them to the module, and carries out what that decides. It never waits for a socket.
type loop struct {
	cfg      *config.Config
	d        *policy.Dispatcher
	journal  *journal.Journal
	inbox    chan event
	pool     *upstream.Pool
	watch    *discovery.Watcher
	notifier notificationQueue
	gossip   *gossip.Transport
	shared   *live.Service // nil where nothing is shared
	zoning   *zoning       // nil where zones are off
	metrics  *metrics.Metrics
	messages map[string]*message
	clocks   clock.Pair // as last read, to tell steps of the wall clock
	list     *endpointList
	wakeAt   instant.Time
	stepped  instant.Time // when the last batch was handled
	calls    context.Context
	events   []policy.Event
	fresh    []*message // arrivals of this batch
	sends    []send     // of this batch
	effects  []func()   // of this batch, once its records are written
	// unrecorded are the notices whose messages' ends are not on disk yet.
	unrecorded []unrecordedNotification

	clients  *frontend.ConnectionLimiter
	owner    *journal.Ownership
	handover handoverState
}

// put hands the loop an event.
func (l *loop) put(e event) { l.inbox <- e }

// run serves until ctx ends.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	sweep := time.NewTicker(time.Second)
	defer sweep.Stop()
	for {
		timer.Reset(l.due())
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			l.pool.Sweep()
			l.checkClocks()
			if l.handover.decides() {
				l.stored(l.journal.Retry())
				l.list.maintainStore()
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
		tick := time.NewTimer(clock.Until(l.stepped.Add(l.cfg.Policy.BatchInterval)))
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

// due is the time until the module has something to act on: at once where a batch left events of its own. The
// module's timer stays as it is then, since the module does not ask for it twice.
func (l *loop) due() time.Duration {
	switch {
	case !l.handover.decides():
		return time.Hour
	case len(l.events) > 0 || l.list.removing != nil:
		return 0
	}
	wait := max(0, clock.Until(l.wakeAt))
	if l.list.storing {
		wait = min(wait, storeEvery)
	}
	for _, n := range l.unrecorded {
		wait = min(wait, max(0, clock.Until(n.expiresAt)))
	}
	return wait
}

// accept takes in one event.
func (l *loop) accept(e event) { e.apply(l) }

// class gives the number of a class, or -1.
func (l *loop) class(name string) int {
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
	l.stepped = now
	if l.wakeAt <= now {
		l.wakeAt = now.Add(time.Hour)
		l.events = append(l.events, policy.TimerFired{})
	}
	l.removeUnlisted()
	events := l.events
	l.events = nil
	actions := l.d.Handle(now, events)
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Reject:
			l.refuse(l.messages[a.ID], frontend.Response{Status: http.StatusTooManyRequests, RetryAfter: a.RetryAfter}, notifier.StatusDeferred, a.Reason)
		case policy.Fail:
			l.refuse(l.messages[a.ID], frontend.Response{Status: http.StatusBadGateway}, notifier.StatusUndeliverable, a.Reason)
		}
	}
	l.admitted()
	for _, a := range actions {
		l.act(now, a)
	}
	l.commit()
	l.list.maintainStore()
	l.metrics.Endpoints.Store(int64(l.list.table.Len()))
	l.metrics.UnavailableEndpoints.Store(int64(l.avoided()))
	if l.zoning != nil && len(l.zoning.pending) > 0 {
		l.reorder()
	}
}
