package relay

import (
	"context"
	"encoding/base64"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"milletsail/internal/fleet/live"
	"milletsail/internal/journal"
	"milletsail/policy"
)

// inboxSize events wait for the loop without holding up the goroutines that bring them.
const inboxSize = 1024

// jsonGrowth is how much longer a byte of an id or a key can become in JSON.
const jsonGrowth = 6

// The events that goroutines send the loop.
type (
	// arrival is a message that a client hands in.
	arrival struct {
		entry   *journal.Entry
		verdict chan verdict // room for one
		left    chan bool    // closed when the client has left, where another process has its connection
	}
	// departure says that a client left before its message was answered.
	departure struct{ arrival *arrival }
	// ended is the end of a call, for each of its messages.
	ended []answered
	// answered is the end of a call for one message.
	answered struct {
		id      string
		attempt int
		host    string
		took    time.Duration
		result
	}
	// told is a list, or a change of it.
	told struct{ Members }
	// heard is a note of another relay.
	heard struct{ note []byte }
	// watchEnded says that the watch on discovery ended or could not be had.
	watchEnded struct{}
	// received says that the platform has notices.
	received struct{ ids []string }
	// stopSending says that the process is about to end.
	stopSending struct{}
	// takeover is a newer process that asks for the folder.
	takeover struct{ link *link }
	// heirGone says that the newer process is gone.
	heirGone struct{}
	// question asks whether anything is still to be done.
	question struct{ idle chan bool }
)

// message is what the loop holds of a message taken on.
type message struct {
	*journal.Entry
	replies []chan verdict     // of those that handed it in, until they are answered
	copied  bool               // a further copy of it was answered 202
	call    int                // the module's number of the call out
	cancel  context.CancelFunc // ends the wait for the call out; nil while there is none
	over    bool               // ended, but a call is still out
	pending bool               // taken on and not ended, as the figures have it
}

// loop owns the dispatcher and the journal: nothing else touches their state. It batches events by tick,
// hands them to the module, and carries out what that decides. It never waits for a socket.
type loop struct {
	cfg      *Config
	d        *policy.Dispatcher
	journal  *journal.Journal
	inbox    chan any
	pool     *pool
	watch    *watcher
	notices  *notifier
	peers    *peers
	shared   *live.Service // nil where nothing is shared
	zoning   *zoning       // nil where zones are off
	figures  *figures
	start    time.Time
	messages map[string]*message
	hosts    map[string]Member
	dests    map[int]bool // named by some list
	wakeAt   time.Duration
	stepped  time.Duration // when the last batch was handled
	calls    context.Context
	events   []policy.Event
	fresh    []*message // arrivals of this batch
	sends    []send     // of this batch
	effects  []func()   // of this batch, once its records are written

	gate      *gate
	owner     *journal.Ownership
	successor *link            // asks for the folder
	heir      *link            // has it: nothing is decided here any more
	ceded     chan bool        // closed then
	retired   func()           // ends what only the owner of the folder does
	asked     map[int]*arrival // that the heir decides on
	arrivals  int              // numbers of these
	reported  int              // connections that the heir was told of
	orphaned  bool             // the heir is gone
}

// send is a message of a call that the module wants made.
type send struct {
	m       *message
	call    int
	attempt int
	host    Member
	timeout time.Duration
	within  time.Duration // to be written in; 0 for no bound
	left    time.Duration // until the message is given up
}

// now is the module's clock: the time since 1970 as of the start, and steady from there on, so that the
// times in the journal and the module's are of one kind.
func (l *loop) now() time.Duration { return time.Duration(l.start.UnixNano()) + time.Since(l.start) }

// clock turns a wall time into the module's.
func (l *loop) clock(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// wall turns the module's time into a wall time.
func (l *loop) wall(t time.Duration) time.Time { return time.Unix(0, int64(t)) }

// put hands the loop an event.
func (l *loop) put(e any) { l.inbox <- e }

// restore takes up what the journal holds, the list that the configuration gives, and what the process before has
// out, where that one handed over.
func (l *loop) restore(k *link, off *offer) {
	list := l.cfg.Known
	if told, ok := remembered(l.journal.Listed()); ok && told.Seq > list.Seq {
		// The configuration's list may be older than what an earlier process was told: a host that drains
		// gets nothing new from this one either.
		list = told
	}
	list.Whole = true
	l.told(list)
	if l.zoning != nil && len(l.zoning.pending) > 0 {
		l.step() // an order goes on before anything is sent
	}
	l.watch.seq = list.Seq
	out := map[string]attemptOut{}
	if off != nil {
		for _, a := range off.Out {
			out[a.ID] = a
		}
		for _, learned := range off.Learned {
			l.events = append(l.events, learned)
		}
		l.gate.lend(off.Clients)
	}
	for _, e := range l.journal.Entries() {
		m := &message{Entry: e}
		l.messages[e.ID] = m
		l.pend(m)
		if o, ok := out[e.ID]; ok {
			o.agree(e)
		}
		if e.Owed != nil {
			m.over = true
			l.settle(m)
			l.notices.owe(*e.Owed)
			continue // a call of it that is still out follows below
		}
		class := l.class(e.Class)
		if class < 0 { // the settings have changed, and the module could not end it
			l.refuse(m, verdict{}, undeliverable)
			continue
		}
		// A clock that was set back over the restart gives no message more time than its class has.
		a := policy.Arrived{ID: e.ID, Class: class, Destination: e.Dest, Resumed: true,
			Left: min(l.clock(e.Expires)-l.now(), l.cfg.policy.Classes[class].Deadline), Size: bundled(e)}
		for _, t := range e.Attempts {
			// An attempt that was out when the process ended may have run.
			a.Tried = append(a.Tried, policy.Tried{Endpoint: t.Host, Sent: l.sentAt(t), Unrun: t.Ended && t.Unrun})
		}
		if o, ok := out[e.ID]; ok && o.Attempt == len(e.Attempts)-1 {
			delete(out, e.ID)
			l.rejoin(k, m, o, &a)
		}
		l.events = append(l.events, a)
	}
	for _, o := range out { // their messages are over, but they hold slots
		m := l.messages[o.ID]
		if m == nil {
			m = &message{Entry: &journal.Entry{ID: o.ID, Class: o.Class, Dest: o.Dest, Attempts: make([]journal.Attempt, o.Attempt+1)}, over: true}
			l.messages[o.ID] = m
		}
		a := policy.Arrived{ID: o.ID, Class: l.class(o.Class), Destination: o.Dest, Resumed: true, Over: true,
			Tried: slices.Repeat([]policy.Tried{{Endpoint: o.Host, Sent: l.clock(o.Begun)}}, o.Attempt+1)}
		l.rejoin(k, m, o, &a)
		l.events = append(l.events, a)
	}
	l.step()
}

// sentAt is when an attempt of an earlier process was sent: long ago where its record tells no time, or one that is
// still to come, since the clock was set back.
func (l *loop) sentAt(a journal.Attempt) time.Duration {
	if at := l.clock(a.Begun); !a.Begun.IsZero() && at <= l.now() {
		return at
	}
	return 0
}

// rejoin marks the last attempt of a message as still out in the process before.
func (l *loop) rejoin(k *link, m *message, o attemptOut, a *policy.Arrived) {
	last := &a.Tried[o.Attempt]
	last.Out, last.Call = true, o.Call
	m.call = o.Call
	m.cancel = func() { k.put(line{Cancel: &attemptOut{ID: o.ID, Attempt: o.Attempt}}) }
}

// class gives the number of a class, or -1.
func (l *loop) class(name string) int {
	for i := range l.cfg.policy.Classes {
		if l.cfg.policy.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

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
			l.pool.sweep()
			if l.heir == nil {
				l.stored(l.journal.Retry())
			}
			continue
		case e := <-l.inbox:
			if l.heir != nil {
				l.pass(e)
				continue
			}
			l.accept(e)
		case <-timer.C:
			if l.heir != nil {
				continue
			}
		}
		// What comes within a tick of the last batch is one batch.
		tick := time.NewTimer(l.stepped + l.cfg.policy.Tick - l.now())
		for more := true; more; {
			select {
			case e := <-l.inbox:
				l.accept(e)
			case <-tick.C:
				more = false
			}
		}
		l.step()
		if k := l.successor; k != nil {
			l.successor = nil
			if l.cede(k) {
				l.pool.retire()
				l.retired()
				close(l.ceded)
			}
		}
	}
}

// due is the time until the module has something to act on: at once where a batch left events of its own. The
// module's timer stays as it is then, since the module does not ask for it twice.
func (l *loop) due() time.Duration {
	switch {
	case l.heir != nil:
		return time.Hour
	case len(l.events) > 0:
		return 0
	}
	return max(0, l.wakeAt-l.now())
}

// accept turns one event into the module's terms.
func (l *loop) accept(e any) {
	switch e := e.(type) {
	case *arrival:
		l.arrive(e)
	case departure:
		l.departed(e.arrival)
	case ended:
		for _, a := range e {
			// A message may have had its end before the call that it was part of.
			if m := l.messages[a.id]; m != nil && m.cancel != nil && a.attempt == len(m.Attempts)-1 {
				l.answered(a)
			}
		}
	case told:
		l.told(e.Members)
		if e.Whole {
			for host := range l.journal.Health() {
				if _, ok := l.hosts[host]; !ok {
					l.journal.Forget(host)
				}
			}
		}
		l.journal.List(Members{Seq: e.Seq, Whole: true, Hosts: slices.Collect(maps.Values(l.hosts))}.kept())
	case heard:
		l.events = append(l.events, policy.Heard{Note: e.note})
	case doorCall:
		e.reply <- e.answer()
	case live.Said:
		l.events = append(l.events, said(e)...)
	case watchEnded:
		l.events = append(l.events, policy.ListFailed{})
	case received:
		for _, id := range e.ids {
			if m := l.messages[id]; m != nil {
				l.end(m)
			}
		}
	case takeover:
		if l.successor != nil {
			l.successor.close()
		}
		l.successor = e.link
	case stopSending:
		l.events = append(l.events, policy.Stopping{})
	case question:
		e.idle <- len(l.messages) == 0
	}
}

// arrive takes in a message that is handed in.
func (l *loop) arrive(a *arrival) {
	if m := l.messages[a.entry.ID]; m != nil {
		// The same message once more, as after a connection that broke: it is ours already, unless it is over or
		// still undecided.
		switch {
		case m.over && l.mayHaveRun(m): // 503 would say that handing it in again is harmless
			a.verdict <- verdict{status: http.StatusBadGateway}
		case m.over:
			a.verdict <- verdict{status: http.StatusServiceUnavailable}
		case m.replies != nil:
			m.replies = append(m.replies, a.verdict)
		default:
			m.copied = true
			a.verdict <- verdict{status: http.StatusAccepted}
		}
		return
	}
	if !l.dests[a.entry.Dest] || !l.journal.Reserve(a.entry) {
		// Guards the module against destinations that no list has named, and the disk against overflow.
		l.figures.end(l.class(a.entry.Class), rejected)
		a.verdict <- verdict{status: http.StatusServiceUnavailable, after: l.cfg.policy.MaxStayAway}
		return
	}
	m := &message{Entry: a.entry, replies: []chan verdict{a.verdict}}
	l.messages[m.ID] = m
	l.fresh = append(l.fresh, m)
	l.events = append(l.events, policy.Arrived{ID: m.ID, Class: l.class(m.Class), Destination: m.Dest,
		Left: l.clock(m.Expires) - l.now(), Size: bundled(m.Entry)})
}

// mayHaveRun tells whether an attempt of a message may have run that must not be made again elsewhere.
func (l *loop) mayHaveRun(m *message) bool {
	no := l.class(m.Class)
	if no < 0 {
		return false
	}
	class := l.cfg.policy.Classes[no]
	if class.Effect == policy.Safe || class.Effect == policy.Keyed && !class.ByZone {
		return false
	}
	return slices.ContainsFunc(m.Attempts, func(a journal.Attempt) bool { return !a.Ended || !a.Unrun })
}

// departed withdraws a message whose client left without an answer. Others may have handed in the same id, by
// chance or on purpose: their leaving takes back nothing, and what one of them was told is owed to it.
func (l *loop) departed(a *arrival) {
	m := l.messages[a.entry.ID]
	if m == nil || m.over || m.Entry != a.entry || m.copied || len(m.replies) > 1 {
		return
	}
	slog.Info("withdrawn", "id", m.ID, "dest", m.Dest, "attempts", len(m.Attempts))
	l.events = append(l.events, policy.Withdrawn{ID: m.ID})
	l.end(m)
}

// bundled is the room that a message takes up in the body of a call with several.
func bundled(e *journal.Entry) int {
	return len(`{"id":"","key":"","body":""},`) + jsonGrowth*(len(e.ID)+len(e.Key)) + base64.StdEncoding.EncodedLen(len(e.Body))
}

// answered takes in the end of a call for a message.
func (l *loop) answered(e answered) {
	m := l.messages[e.id] // stays as long as a call is out
	m.cancel = nil
	if e.outcome != policy.OK {
		slog.Info("call without delivery", "id", e.id, "dest", m.Dest, "host", e.host, "attempt", e.attempt,
			"outcome", e.outcome, "took", e.took, "wait", e.wait)
	}
	l.observed(e)
	unrun := e.outcome == policy.QueueFull || e.outcome == policy.ConnectError || e.outcome == policy.Ignored
	if l.journal.Get(m.ID) == m.Entry {
		l.journal.End(m.Entry, unrun)
	}
	l.events = append(l.events, policy.Ended{ID: e.id, Endpoint: e.host, Attempt: e.attempt, Outcome: e.outcome,
		Wait: e.wait, Took: e.took, Over: e.over, Spent: e.spent, Report: e.report})
	if !m.over && e.outcome == policy.OK {
		l.figures.end(l.class(m.Class), completed)
	} else if !m.over && e.over { // its end came without us
		l.figures.end(l.class(m.Class), failed)
	}
	if e.over || m.over && m.Owed == nil {
		l.end(m)
	}
}

// told takes in a change of the list.
func (l *loop) told(m Members) {
	named := map[string]bool{}
	var recalled []policy.Event
	for _, h := range m.Hosts {
		if !m.Whole {
			slog.Info("told", "seq", m.Seq, "host", h.Host, "dest", h.Block, "health", h.Health, "dial", h.Dial)
		}
		named[h.Host] = true
		old, had := l.hosts[h.Host]
		if had && (old.Dial != h.Dial || h.Health == deleted) {
			l.pool.closeIdle(old.Dial)
		}
		if h.Health == deleted {
			l.forget(h.Host)
			continue
		}
		l.hosts[h.Host] = h
		l.dests[h.Block] = true
		if health, ok := l.journal.Health()[h.Host]; ok && !had {
			// An earlier process saw it go out; the list that came with the configuration may lack it.
			recalled = append(recalled, policy.Recalled{Endpoint: h.Host, Sick: health.Sick, At: l.clock(health.At)})
		}
	}
	if m.Whole {
		for id, h := range l.hosts {
			if !named[id] {
				l.pool.closeIdle(h.Dial)
				l.forget(id)
			}
		}
	}
	l.events = append(append(l.events, m.listed(&l.cfg.Settings)), recalled...)
}

func (l *loop) forget(host string) {
	delete(l.hosts, host)
	l.journal.Forget(host)
}

// end notes that nothing more is owed for a message.
func (l *loop) end(m *message) {
	m.over = true
	l.settle(m)
	if l.journal.Get(m.ID) == m.Entry {
		l.journal.Over(m.Entry)
	}
	m.Owed = nil
	if m.cancel == nil {
		delete(l.messages, m.ID)
	}
}

// pend counts a message as taken on until it is settled.
func (l *loop) pend(m *message) {
	m.pending = true
	l.figures.pending.Add(1)
}

// settle notes that a message taken on has its end.
func (l *loop) settle(m *message) {
	if m.pending {
		m.pending = false
		l.figures.pending.Add(-1)
	}
}

// step lets the module act on a batch, and carries its actions out once what they need is in the journal.
func (l *loop) step() {
	now := l.now()
	l.stepped = now
	if l.wakeAt <= now {
		l.wakeAt = now + time.Hour
		l.events = append(l.events, policy.Woken{})
	}
	events := l.events
	l.events = nil
	actions := l.d.Handle(now, events)
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Refuse:
			l.refuse(l.messages[a.ID], verdict{http.StatusTooManyRequests, a.StayAway}, deferred)
		case policy.Fail:
			l.refuse(l.messages[a.ID], verdict{status: http.StatusBadGateway}, undeliverable)
		}
	}
	l.admitted()
	for _, a := range actions {
		l.act(now, a)
	}
	l.commit()
	l.figures.members.Store(int64(len(l.hosts)))
	l.figures.avoided.Store(int64(l.d.Avoided()))
	if l.zoning != nil && len(l.zoning.pending) > 0 {
		l.reorder()
	}
}

// admitted takes on the arrivals of this batch that were not refused.
func (l *loop) admitted() {
	for _, m := range l.fresh {
		if !m.over {
			l.journal.Take(m.Entry)
		}
	}
}

// refuse ends a message undelivered: by its answer if that is still due, else by a notice.
func (l *loop) refuse(m *message, v verdict, status string) {
	if m == nil || m.over {
		return
	}
	slog.Info("undelivered", "id", m.ID, "dest", m.Dest, "class", m.Class, "status", status, "attempts", len(m.Attempts),
		"taken", m.replies == nil, "left", time.Until(m.Expires), "after", v.after)
	how := failed
	if status == deferred {
		how = rejected
	}
	l.figures.end(l.class(m.Class), how)
	if replies := m.replies; replies != nil {
		m.replies = nil
		l.effects = append(l.effects, func() { answer(replies, v) })
		l.end(m)
		return
	}
	m.over = true
	l.settle(m)
	n := journal.Notice{ID: m.ID, Status: status, AgainMS: v.after.Milliseconds()}
	l.journal.Owe(m.Entry, n)
	l.effects = append(l.effects, func() { l.notices.owe(n) })
}

// act carries out one action other than an end.
func (l *loop) act(now time.Duration, a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		l.send(now, a)
	case policy.Cancel:
		if m := l.messages[a.ID]; m != nil && m.cancel != nil && a.Attempt == len(m.Attempts)-1 {
			l.effects = append(l.effects, m.cancel)
		}
	case policy.Withhold:
		if h, ok := l.hosts[a.Endpoint]; ok {
			l.effects = append(l.effects, func() { l.pool.withhold(h.Dial) })
		}
	case policy.CloseIdle:
		if h, ok := l.hosts[a.Endpoint]; ok {
			l.effects = append(l.effects, func() { l.pool.closeIdle(h.Dial) })
		}
	case policy.Wake:
		// The module has one timer and asks anew only where the one it has is no use to it any more.
		l.wakeAt = now + a.After
	case policy.Subscribe:
		l.watch.ask()
	case policy.Tell:
		l.effects = append(l.effects, func() { l.tell(a.Note) })
	case policy.Remember:
		if _, ok := l.hosts[a.Endpoint]; ok {
			l.journal.Remember(a.Endpoint, journal.Health{Sick: a.Sick, At: l.wall(a.At)})
			if !a.Hearsay {
				l.shared.Health(a.Endpoint, a.Sick)
			}
		}
	case policy.Zoned:
		slog.Info("zone", "zone", a.Zone, "state", a.State)
	case policy.Proved:
		slog.Info("new endpoint", "host", a.Endpoint, "share", a.Share, "held", max(0, a.Held-now))
	case policy.Share:
		l.shared.Paced(a.Destination, a.Pace, a.Traffic)
	}
}

// send notes an attempt and makes it ready to go.
func (l *loop) send(now time.Duration, a policy.Send) {
	m := l.messages[a.ID]
	if m == nil || m.over {
		return
	}
	h, ok := l.hosts[a.Endpoint]
	left := l.clock(m.Expires) - now
	s := send{m: m, call: a.Call, attempt: len(m.Attempts), host: h, timeout: left, within: a.Within, left: left}
	if a.Timeout > 0 {
		s.timeout = min(left, a.Timeout)
	}
	l.journal.Begin(m.Entry, a.Endpoint, l.wall(now))
	if !ok || h.Block != m.Dest {
		// Guards the protocol's rule that a message goes only to a listed host of its destination.
		slog.Error("send to a host that is not of the destination", "host", a.Endpoint, "dest", m.Dest)
		l.unsent(s)
		return
	}
	l.sends = append(l.sends, s)
}

// unsent reports an attempt that was not made.
func (l *loop) unsent(s send) {
	l.answered(answered{id: s.m.ID, attempt: s.attempt, host: s.host.Host, result: result{outcome: policy.Ignored}})
}

// commit writes the batch's records, and only then answers clients and makes calls: what was answered with
// 202 and what was sent must be known to a later process.
func (l *loop) commit() {
	err := l.journal.Commit()
	l.stored(err == nil)
	fresh, sends, effects := l.fresh, l.sends, l.effects
	l.fresh, l.sends, l.effects = nil, nil, nil
	if err != nil {
		slog.Debug("nothing taken on, and sent only what may be repeated", "err", err)
	}
	for _, m := range fresh {
		switch {
		case m.replies == nil: // refused
		case err != nil:
			l.figures.end(l.class(m.Class), rejected)
			answer(m.replies, verdict{status: http.StatusServiceUnavailable, after: l.cfg.policy.MaxStayAway})
			l.events = append(l.events, policy.Withdrawn{ID: m.ID})
		default:
			m.copied = len(m.replies) > 1
			l.pend(m)
			answer(m.replies, verdict{status: http.StatusAccepted})
			m.replies = nil
		}
	}
	for i := 0; i < len(sends); {
		n := i + 1
		for n < len(sends) && sends[n].call == sends[i].call {
			n++
		}
		// Without its record a later process may make an attempt again, which is harmless only in a safe class.
		safe := func(s send) bool { return l.cfg.policy.Classes[l.class(s.m.Class)].Effect == policy.Safe }
		if err == nil || !slices.ContainsFunc(sends[i:n], func(s send) bool { return !safe(s) }) {
			l.call(sends[i:n])
		} else {
			for _, s := range sends[i:n] {
				l.unsent(s)
			}
		}
		i = n
	}
	for _, m := range fresh {
		if m.replies != nil { // not taken on after all
			l.end(m)
		}
	}
	for _, do := range effects {
		do()
	}
}

// stored tells the module and the operators when the journal can't be written any more, and when it can again.
func (l *loop) stored(ok bool) {
	if ok == (l.figures.unwritten.Load() == nil) {
		return
	}
	var why *string
	if !ok {
		text := fmt.Sprint(l.journal.Broken())
		why = &text
	}
	l.figures.unwritten.Store(why)
	l.events = append(l.events, policy.Stored{Writable: ok})
}

// answer gives all that handed a message in the same verdict.
func answer(replies []chan verdict, v verdict) {
	for _, reply := range replies {
		reply <- v
	}
}

// call makes a call in a goroutine of its own. Its messages share its fate: it is given up for all of them once the
// time of one is up, and for none while any of them is still waited for. Clients count that time from a little earlier,
// and the module's clock has its steps: two of them are left out.
func (l *loop) call(sends []send) {
	ctx, cancel := context.WithCancel(l.calls)
	r := request{addr: sends[0].host.Dial}
	end := func(s send, took time.Duration, res result) answered {
		return answered{id: s.m.ID, attempt: s.attempt, host: s.host.Host, took: took, result: res}
	}
	waiting := len(sends)
	for _, s := range sends {
		r.timeout = max(r.timeout, s.timeout)
	}
	for _, s := range sends {
		p := parcel{ID: s.m.ID, Key: s.m.Key, Body: s.m.Body, fate: new(fate)}
		r.parcels = append(r.parcels, p)
		if len(sends) > 1 {
			r.timeout = max(min(r.timeout, s.left-2*l.cfg.policy.Tick), l.cfg.policy.Tick)
		}
		if s.within > 0 && (r.within == 0 || s.within < r.within) {
			r.within = s.within
		}
		called := false
		s.m.call = s.call
		s.m.cancel = func() {
			if !called {
				called = true
				p.fate.settle()
				if waiting--; waiting == 0 {
					cancel()
				}
			}
		}
	}
	go func() {
		defer cancel()
		begun := time.Now()
		results := l.pool.call(ctx, r)
		all := make(ended, len(sends))
		for i, s := range sends {
			all[i] = end(s, time.Since(begun), results[i])
		}
		l.put(all)
	}()
}
