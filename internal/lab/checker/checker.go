// Package checker judges a history by the protocol's rules, after the run. It shares no code with the relay nor with
// the stand-ins: all that it goes by is the history, and so it runs alone on one as well.
//
// It promises that each broken rule comes with the message or relay that it concerns and the lines of the history that
// show it, that a run in which the lab was late is void and never kept, and that what a history cut off in the middle
// can't show is not held against anyone.
package checker

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"strconv"
	"time"

	"milletsail/internal/lab/history"
)

// The rules.
const (
	Lost        = "lost"          // taken on, and no end in time
	AfterEnd    = "after-end"     // sent on after the relay had ended it, or was told that it is over
	SecondCopy  = "second-copy"   // two attempts out at once
	Attempts    = "attempts"      // more attempts than the limit
	Repeat      = "repeat"        // sent again though its class forbids it
	HandedBack  = "handed-back"   // deferred or refused though it may have run and its class forbids a repeat
	WrongHost   = "wrong-host"    // to an endpoint that is not of its destination, or not on the relay's list
	Drain       = "drain"         // to an endpoint that drains or is gone
	Wait        = "wait"          // to a destination in a told wait
	PushedOver  = "pushed-over"   // a cold endpoint got too much from relays that saw it fail
	Unknown     = "unknown"       // a message that no client handed in
	NoteTooLong = "note-too-long" // a datagram of over 256 bytes
	PeerLeft    = "peer-left"     // a malformed peer got neither an error nor a close in time, or was taken on
	Crash       = "crash"         // a relay ended by itself, or did not start
	Stale       = "stale"         // a relay believes something past its declared bound
	LeftZone    = "left-zone"     // to a zone that operators had ordered to be left
	Limits      = "limits"        // memory, descriptors or disk
)

// Rules are all rules, in the order of a report.
var Rules = []string{Lost, AfterEnd, SecondCopy, Attempts, Repeat, HandedBack, WrongHost, Drain, Wait, PushedOver, Unknown,
	NoteTooLong, PeerLeft, Crash, Stale, LeftZone, Limits}

// The protocol's slack.
const (
	slack       = 50 * time.Millisecond  // on each time limit
	endWithin   = 300 * time.Millisecond // after a message's time is up
	afterStart  = 1500 * time.Millisecond
	toldAfter   = 6 * time.Second // what discovery has to tell counts as told
	toldReload  = 4 * time.Second // after SIGHUP
	passWait    = 100 * time.Millisecond
	peerWithin  = 3 * time.Second
	leaveWithin = 500 * time.Millisecond // of an order, a call that was decided before it begins
	lostWithin  = 100 * time.Millisecond // of its end a process may not have taken in what it was told
	coldSlack   = 2.0                    // roots of the budget: the protocol leaves room for chance
	knowing     = 2.0 / 3
	mostLate    = 0.001 // of the lab's own events, in a run that counts
	fewLate     = 3     // are none to speak of in any run
	mostLines   = 30    // of a violation
)

// Violation is one broken rule.
type Violation struct {
	Rule  string `json:"rule"`
	Relay int    `json:"relay"`
	ID    string `json:"id,omitempty"` // of the message, where it is about one
	Text  string `json:"text"`
	Lines []int  `json:"lines"` // of the history
}

// Verdict is what a history shows.
type Verdict struct {
	Violations    []Violation `json:"violations"`
	InvalidReason string      `json:"void,omitempty"` // why the run does not count
	Truncated     bool        `json:"cut,omitempty"`  // the history has no end
	Messages      int         `json:"messages"`       // taken on, and judged to their end
	Calls         int         `json:"calls"`
}

// Kept tells whether the run counts and no rule is broken.
func (v *Verdict) Passed() bool { return len(v.Violations) == 0 && v.InvalidReason == "" }

// String names the verdict in a word or two.
func (v *Verdict) String() string {
	switch {
	case len(v.Violations) > 0:
		return fmt.Sprintf("%d broken", len(v.Violations))
	case v.InvalidReason != "":
		return "void: " + v.InvalidReason
	case v.Truncated:
		return "kept as far as it goes"
	}
	return "kept"
}

// us is a moment of the history.
type us = history.Micros

// call is one call as the history has it.
type call struct {
	history.Event
	end    us // of its being out on an open connection; forever while there is none
	proven map[string]bool
	told   us // when the relay was told the end of the message; 0 for never
	states map[string]string
	lines  []int
}

const forever = us(math.MaxInt64)

// handed is one message at one relay under one id.
type handed struct {
	relay   int
	id      string
	in      history.Event
	class   history.Class
	taken   us // when its client heard; 0 for never
	refused us
	final   string // status of a refusal
	left    us
	notices []history.Event
	calls   []*call
	lines   []int
}

// key is a message at a relay.
type key struct {
	relay int
	id    string
}

// life is what the history tells of one relay's processes.
type life struct {
	alive   int
	dark    []window // no notice is overdue in these
	gaps    []us     // moments at which no process was left
	hups    []us
	stopped []window
	wiped   []us
	turned  []us // bits in its journal, one entry for each
}

type window struct{ from, to us }

// checker is one pass over a history.
type checker struct {
	facts   *history.Parameters
	events  []history.Event
	end     us
	v       Verdict
	handed  map[key]*handed
	order   []*handed
	calls   map[int]*call
	ordered []*call
	lives   []*life
	outages map[string][]outage
	orders  map[int]map[string]order // in force, by relay and zone
	changes []history.Event
	told    map[int][]history.Event // by relay
}

// outage is one outage of an endpoint.
type outage struct {
	from, back us
	rate       float64
	fell       us
}

// Check judges a history in the order of time, as history.Read gives it. cut says that it has no end.
func Check(events []history.Event, cut bool) Verdict {
	c := &checker{facts: events[0].Parameters, events: events, handed: map[key]*handed{}, calls: map[int]*call{},
		outages: map[string][]outage{}, orders: map[int]map[string]order{}, told: map[int][]history.Event{}}
	c.v.Truncated = cut
	for range c.facts.Relays {
		c.lives = append(c.lives, &life{})
	}
	c.end = events[len(events)-1].Time
	for i := range events {
		c.see(&events[i])
	}
	c.closeLives()
	for _, h := range c.order {
		c.judge(h)
	}
	c.judgeWaits()
	c.judgeLists()
	c.judgeCold()
	c.judgePeers()
	c.v.Calls = len(c.ordered)
	sort.SliceStable(c.v.Violations, func(i, j int) bool {
		a, b := c.v.Violations[i], c.v.Violations[j]
		return cmp.Or(cmp.Compare(slices.Index(Rules, a.Rule), slices.Index(Rules, b.Rule)), cmp.Compare(first(a.Lines), first(b.Lines))) < 0
	})
	return c.v
}

func first(lines []int) int {
	if len(lines) == 0 {
		return 0
	}
	return lines[0]
}

// broken notes a broken rule.
func (c *checker) broken(rule string, relay int, id, text string, lines ...int) {
	lines = slices.Clone(lines)
	slices.Sort(lines)
	lines = slices.Compact(lines)
	if len(lines) > mostLines {
		lines = lines[:mostLines]
	}
	c.v.Violations = append(c.v.Violations, Violation{rule, relay, id, text, lines})
}

// of is the relay of an event.
func of(e *history.Event) int {
	if e.Relay == nil {
		return -1
	}
	return *e.Relay
}

// see takes in one event.
func (c *checker) see(e *history.Event) {
	switch e.Kind {
	case history.Relay:
		c.seeRelay(e)
	case history.HandIn:
		k := key{of(e), e.ID}
		if c.handed[k] == nil { // one that crossed a closing connection comes once more under its id
			h := &handed{relay: k.relay, id: e.ID, in: *e, class: c.facts.Classes[e.Class], lines: []int{e.Line}}
			c.handed[k] = h
			c.order = append(c.order, h)
		}
	case history.Answer:
		if h := c.latest(e.ID); h != nil {
			h.lines = append(h.lines, e.Line)
			if e.Status == "202" || e.Status == "200" {
				h.taken = e.Time
			} else {
				h.refused, h.final = e.Time, e.Status
			}
		}
	case history.Left:
		if h := c.latest(e.ID); h != nil {
			h.left = e.Time
			h.lines = append(h.lines, e.Line)
		}
	case history.Notice:
		if h := c.handed[key{of(e), e.ID}]; h != nil {
			h.notices = append(h.notices, *e)
			h.lines = append(h.lines, e.Line)
		}
	case history.Call:
		c.seeCall(e)
	case history.Reply, history.Gone, history.Broken:
		c.seeEnd(e)
	case history.List:
		if e.SentToRelay {
			c.told[of(e)] = append(c.told[of(e)], *e)
		} else {
			c.changes = append(c.changes, *e)
		}
	case history.Outage:
		c.outages[e.Host] = append(c.outages[e.Host], outage{from: e.Time, back: forever, fell: forever})
	case history.Back, history.Fell:
		if all := c.outages[e.Host]; len(all) > 0 {
			o := &all[len(all)-1]
			if e.Kind == history.Back {
				o.back, o.rate = e.Time, e.Rate
			} else {
				o.fell = min(o.fell, e.Time)
			}
		}
	case history.Note:
		c.broken(NoteTooLong, of(e), "", fmt.Sprintf("a datagram of %d bytes", e.Bytes), e.Line)
	case history.Usage:
		c.seeUsage(e)
	case history.View:
		if e.OldestAgeRatio >= 1 {
			c.broken(Stale, of(e), "", fmt.Sprintf("a belief of %.3g times its bound", e.OldestAgeRatio), e.Line)
		}
	case history.Order:
		if c.orders[of(e)] == nil {
			c.orders[of(e)] = map[string]order{}
		}
		c.orders[of(e)][e.Zone] = order{from: e.Time, until: e.EndTime}
	case history.Void:
		c.v.InvalidReason = e.Detail
	case history.End:
		if e.LateEvents > fewLate && float64(e.LateEvents) > mostLate*float64(e.TimedEvents) {
			c.v.InvalidReason = fmt.Sprintf("the lab itself was late for %d of %d events", e.LateEvents, e.TimedEvents)
		}
	}
}

// latest is a message by its id alone: the hand-in that was last.
func (c *checker) latest(id string) (found *handed) {
	for r := range c.facts.Relays {
		if h := c.handed[key{r, id}]; h != nil && (found == nil || h.in.Time > found.in.Time) {
			found = h
		}
	}
	return found
}

func (c *checker) seeRelay(e *history.Event) {
	if of(e) < 0 || of(e) >= len(c.lives) {
		return
	}
	l := c.lives[of(e)]
	darken := func() {
		if n := len(l.dark); n == 0 || l.dark[n-1].to != forever {
			l.dark = append(l.dark, window{e.Time, forever})
		}
	}
	switch e.Detail {
	case "started":
		l.alive++
	case "term", "killed", "frozen":
		darken()
		if e.Detail == "frozen" {
			l.stopped = append(l.stopped, window{e.Time, forever})
		}
	case "ready", "thawed":
		if n := len(l.dark); n > 0 && l.dark[n-1].to == forever {
			l.dark[n-1].to = e.Time + history.ToMicros(afterStart)
		}
		if n := len(l.stopped); e.Detail == "thawed" && n > 0 {
			l.stopped[n-1].to = e.Time + history.ToMicros(afterStart)
		}
	case "ended", "crashed":
		if l.alive--; l.alive == 0 {
			l.gaps = append(l.gaps, e.Time)
		}
		if e.Detail == "crashed" {
			darken()
			c.broken(Crash, of(e), "", "the relay ended by itself: "+e.Status, e.Line)
		}
	case "refused-start":
		c.broken(Crash, of(e), "", "the relay did not start", e.Line)
	case "hup":
		l.hups = append(l.hups, e.Time)
	case "turned":
		l.turned = append(l.turned, slices.Repeat([]us{e.Time}, e.Bytes)...)
	case "wiped":
		l.wiped = append(l.wiped, e.Time)
	}
}

// closeLives ends the windows of an upgrade: the new process was ready before the old one was told to end.
func (c *checker) closeLives() {
	for _, l := range c.lives {
		for i := range l.dark {
			if w := &l.dark[i]; w.to == forever && l.alive > 0 {
				w.to = w.from + history.ToMicros(afterStart)
			}
		}
	}
}

func (c *checker) seeCall(e *history.Event) {
	k := &call{Event: *e, end: forever, proven: map[string]bool{}, states: map[string]string{}, lines: []int{e.Line}}
	c.calls[e.Call] = k
	c.ordered = append(c.ordered, k)
	c.seeZone(e)
	for _, id := range e.IDs {
		if h := c.handed[key{of(e), id}]; h != nil {
			h.calls = append(h.calls, k)
		} else {
			c.broken(Unknown, of(e), id, "a call with a message that no client handed in to this relay", e.Line)
		}
	}
}

// order is one to leave a zone.
type order struct{ from, until history.Micros }

// seeZone judges a call by the orders of operators. A destination that is in the zone alone is served, and so is a
// message that only endpoints of the zone may know.
func (c *checker) seeZone(e *history.Event) {
	host := c.facts.Hosts[e.Host]
	o, ordered := c.orders[of(e)][host.Zone]
	if !ordered || e.FirstByte <= o.from+history.ToMicros(leaveWithin) || e.FirstByte >= o.until {
		return
	}
	for _, id := range e.IDs {
		if h := c.handed[key{of(e), id}]; h != nil && h.class.Group == "zone" {
			return
		}
	}
	for _, other := range c.facts.Hosts {
		if other.Dest == host.Dest && other.Zone != host.Zone {
			c.broken(LeftZone, of(e), firstID(e.IDs), "sent to "+e.Host+" in zone "+host.Zone+", left by order since "+ms(e.FirstByte-o.from), e.Line)
			return
		}
	}
}

// never are the answers and states that prove that a message did not run.
var never = map[string]bool{"429": true, "503": true, "504": true, "410": true, "400": true, "413": true,
	"refused": true, "over": true, "spent": true}

func (c *checker) seeEnd(e *history.Event) {
	k := c.calls[e.Call]
	if k == nil {
		return
	}
	k.lines = append(k.lines, e.Line)
	// A connection on which an answer got lost stays open until the relay gives the call up.
	if e.Kind != history.Broken || e.Detail == "reset" || e.Detail == "spoilt" || e.Detail == "closed" {
		k.end = min(k.end, e.Time)
	}
	if e.Kind != history.Reply {
		return
	}
	if e.Detail == "unknown" {
		c.broken(Unknown, of(&k.Event), firstID(k.IDs), "a call with a message that no client handed in in this form", k.lines...)
	}
	k.told = e.Time
	for i, id := range k.IDs {
		state := e.Status
		if i < len(e.States) {
			state = e.States[i]
		} else if state == "200" {
			state = "delivered"
		}
		k.states[id], k.proven[id] = state, never[state]
	}
}

func (c *checker) seeUsage(e *history.Event) {
	f := c.facts
	for _, u := range []struct {
		what      string
		used, max float64
	}{{"MB of memory", e.MemoryMB, f.MemoryMB}, {"descriptors", float64(e.FDs), float64(f.Sockets)}, {"MB of disk", e.DiskMB, f.DiskMB}} {
		if u.max > 0 && u.used > u.max {
			c.broken(Limits, of(e), "", fmt.Sprintf("%.4g %s, %.4g at most", u.used, u.what, u.max), e.Line)
		}
	}
}

// judge looks at one message at one relay.
func (c *checker) judge(h *handed) {
	broken := func(rule, text string, lines ...int) {
		c.broken(rule, h.relay, h.id, text, append(slices.Clone(h.lines), lines...)...)
	}
	all := func() (lines []int) {
		for _, k := range h.calls {
			lines = append(lines, k.lines...)
		}
		return lines
	}
	c.judgeEnd(h, func(text string) { broken(Lost, text, all()...) })
	if len(h.calls) > c.facts.MaxAttempts {
		broken(Attempts, fmt.Sprintf("%d attempts, %d at most", len(h.calls), c.facts.MaxAttempts), all()...)
	}
	var over us // when the relay ended the message, or knew that it is over
	if h.refused > 0 {
		over = h.refused
	}
	for _, n := range h.notices {
		if over == 0 || n.Time < over {
			over = n.Time
		}
	}
	for i, k := range h.calls {
		if over > 0 && k.Time > over+history.ToMicros(slack) {
			broken(AfterEnd, "sent on "+ms(k.Time-over)+" after the relay had ended it", k.lines...)
		}
		var ran *call // the first that may have run
		for _, before := range h.calls[:i] {
			if before.end > k.Time+history.ToMicros(slack) && !c.gapBetween(h.relay, before.Time, k.Time) {
				broken(SecondCopy, "a second attempt while one was out", append(slices.Clone(before.lines), k.lines...)...)
			}
			if ran == nil && !before.proven[h.id] {
				ran = before
			}
			told := before.states[h.id] == "delivered" || before.states[h.id] == "over"
			if told && before.told > 0 && k.Time > before.told+history.ToMicros(slack) && !c.gapBetween(h.relay, before.told, k.Time) {
				broken(AfterEnd, "sent again "+ms(k.Time-before.told)+" after it was answered as over", append(slices.Clone(before.lines), k.lines...)...)
			}
		}
		if ran != nil {
			if text := c.forbidden(h, ran, k); text != "" {
				broken(Repeat, text, append(slices.Clone(ran.lines), k.lines...)...)
			}
		}
		if host, ok := c.facts.Hosts[k.Host]; !ok || h.in.Dest == nil || host.Dest != *h.in.Dest {
			broken(WrongHost, "sent to "+k.Host+", which is not of its destination", k.lines...)
		}
	}
	c.judgeHandedBack(h, func(text string) { broken(HandedBack, text, all()...) })
}

// judgeEnd looks whether a message taken on had its end in time.
func (c *checker) judgeEnd(h *handed, lost func(string)) {
	l := c.lives[h.relay]
	if h.taken == 0 || h.left > 0 || slices.ContainsFunc(l.wiped, func(t us) bool { return t > h.taken }) {
		return
	}
	due := h.in.Time + h.in.TimeLeft + history.ToMicros(endWithin+slack)
	for _, w := range append(slices.Clone(l.dark), l.stopped...) {
		if due >= w.from && due <= w.to {
			due = w.to
		}
	}
	end := forever
	for _, n := range h.notices {
		end = min(end, n.Time)
	}
	for _, k := range h.calls {
		if k.states[h.id] == "delivered" && k.told <= c.fateOf(k) {
			end = min(end, k.told)
		}
		// "over" is the platform's own word that nothing more is owed.
		if k.states[h.id] == "over" || k.states[h.id] == "410" {
			end = min(end, k.told)
		}
	}
	switch {
	case end <= due:
		c.v.Messages++
	case due > c.end: // the history does not go so far
	case c.costs(l, h.taken, due): // a bit that turned may cost the record that it is in
	case end == forever:
		lost("taken on, and never ended; its end was due " + ms(due-h.in.Time) + " after it was handed in")
	default:
		lost("taken on, and ended " + ms(end-due) + " too late")
	}
}

// fateOf is until when the answer to a call counts: messages that share a call share its fate, and the time of one that is
// up ends it for all.
func (c *checker) fateOf(k *call) us {
	until := forever
	if len(k.IDs) > 1 {
		for _, id := range k.IDs {
			if h := c.handed[key{of(&k.Event), id}]; h != nil {
				until = min(until, h.in.Time+h.in.TimeLeft+history.ToMicros(slack))
			}
		}
	}
	return until
}

// costs tells whether a bit that turned while a message was held can have cost it; each costs one at most.
func (c *checker) costs(l *life, from, to us) bool {
	i := slices.IndexFunc(l.turned, func(t us) bool { return t > from && t < to })
	if i < 0 {
		return false
	}
	l.turned = slices.Delete(l.turned, i, i+1)
	return true
}

// forbidden tells why an attempt may not follow one that may have run.
func (c *checker) forbidden(h *handed, ran, k *call) string {
	switch h.class.Effect {
	case "fragile":
		return "sent again though an attempt may have run, and its class may never be repeated"
	case "dedup":
		if age := k.Time - ran.Time; age > h.class.Memory+history.ToMicros(slack) {
			return "sent again " + ms(age) + " after an attempt that may have run; receivers remember it for " + ms(h.class.Memory)
		}
		if h.class.Group == "zone" && c.facts.Hosts[k.Host].Zone != c.facts.Hosts[ran.Host].Zone {
			return "sent again in a zone that does not know of the attempt that may have run"
		}
	}
	return ""
}

// judgeHandedBack looks whether a message was handed back that may have run.
func (c *checker) judgeHandedBack(h *handed, broken func(string)) {
	if h.class.Effect == "retryable" || h.class.Effect == "dedup" && h.class.Group == "all" {
		return
	}
	var back us
	if h.final == "429" || h.final == "503" {
		back = h.refused
	}
	for _, n := range h.notices {
		if n.Status == "deferred" && (back == 0 || n.Time < back) {
			back = n.Time
		}
	}
	for _, k := range h.calls {
		if back > 0 && k.Time < back && !k.proven[h.id] {
			broken("handed back though an attempt may have run, and its class forbids a repeat")
			return
		}
	}
}

// gapBetween tells whether a relay had a moment without a process, after which it may not know what it was told. What
// was written to a process that had just ended counts as well: the lab sees that a little late.
func (c *checker) gapBetween(relay int, from, to us) bool {
	return slices.ContainsFunc(c.lives[relay].gaps, func(t us) bool { return t >= from-history.ToMicros(slack) && t <= to })
}

// judgeWaits looks at the calls to destinations in a told wait.
func (c *checker) judgeWaits() {
	type wait struct {
		from, to us
		by       *call
	}
	type at struct{ relay, dest int }
	waits := map[at][]wait{}
	for _, e := range c.events {
		if k := c.calls[e.Call]; e.Kind == history.Reply && e.RetryAfter > 0 && k != nil {
			a := at{of(&k.Event), c.facts.Hosts[k.Host].Dest}
			waits[a] = append(waits[a], wait{e.Time, e.Time + e.RetryAfter, k})
		}
	}
	for _, k := range c.ordered {
		for _, w := range waits[at{of(&k.Event), c.facts.Hosts[k.Host].Dest}] {
			if k.Time > w.from+history.ToMicros(passWait) && k.Time < w.to-history.ToMicros(slack) && !c.gapBetween(of(&k.Event), w.from, k.Time) {
				c.broken(Wait, of(&k.Event), firstID(k.IDs), "sent "+ms(k.Time-w.from)+" into a told wait of "+ms(w.to-w.from),
					append(slices.Clone(w.by.lines), k.lines...)...)
				break
			}
		}
	}
}

func firstID(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

// judgeLists looks at the calls to endpoints that drain, are gone, or were never on the relay's list.
func (c *checker) judgeLists() {
	type leaving struct {
		at   us
		line int
		back us // listed as serving again
	}
	named := map[string]bool{} // a host that some change brought: it is not on the first list
	gone := map[string][]leaving{}
	for _, e := range c.changes {
		for _, h := range e.Hosts {
			if h.Health == "SERVING" {
				named[h.Host] = true
				if all := gone[h.Host]; len(all) > 0 {
					all[len(all)-1].back = e.Time
				}
			} else {
				gone[h.Host] = append(gone[h.Host], leaving{e.Time, e.Line, forever})
			}
		}
	}
	for _, k := range c.ordered {
		relay := of(&k.Event)
		if named[k.Host] && !c.heardOf(relay, k.Host, k.FirstByte) {
			c.broken(WrongHost, relay, firstID(k.IDs), "sent to "+k.Host+", which the relay's list never had", k.lines...)
		}
		for _, l := range gone[k.Host] {
			told, line := c.toldOf(relay, k.Host, l.at)
			limit := told + c.facts.DrainGrace + history.ToMicros(slack)
			if k.FirstByte > limit && k.FirstByte < l.back {
				c.broken(Drain, relay, firstID(k.IDs), "sent to "+k.Host+" "+ms(k.FirstByte-told)+" after the relay was told that it drains or is gone",
					append([]int{l.line, line}, k.lines...)...)
				break
			}
		}
	}
}

// heardOf tells whether a relay was told of an endpoint before a moment.
func (c *checker) heardOf(relay int, host string, by us) bool {
	return slices.ContainsFunc(c.told[relay], func(e history.Event) bool {
		return e.Time <= by && slices.ContainsFunc(e.Hosts, func(h history.ListEntry) bool { return h.Host == host && h.Health != "DELETED" })
	})
}

// toldOf is when a relay counts as told of a change that was made at a moment, and the line that shows it.
func (c *checker) toldOf(relay int, host string, at us) (us, int) {
	told, line := at+history.ToMicros(toldAfter), 0
	l := c.lives[relay]
	for _, hup := range l.hups {
		if hup >= at {
			told = min(told, hup+history.ToMicros(toldReload))
		}
	}
	for _, e := range c.told[relay] {
		names := e.Detail == "whole" || slices.ContainsFunc(e.Hosts, func(h history.ListEntry) bool { return h.Host == host && h.Health != "SERVING" })
		takenIn := !slices.ContainsFunc(l.gaps, func(t us) bool { return t >= e.Time && t <= e.Time+history.ToMicros(lostWithin) })
		if e.Time >= at && names && takenIn && !c.listsServing(e, host) {
			if e.Time < told {
				told, line = e.Time, e.Line
			}
			break
		}
	}
	// A machine that was lost is told anew.
	for _, wiped := range l.wiped {
		if wiped > told {
			told = wiped + history.ToMicros(toldAfter)
		}
	}
	return told, line
}

func (c *checker) listsServing(e history.Event, host string) bool {
	return slices.ContainsFunc(e.Hosts, func(h history.ListEntry) bool { return h.Host == host && h.Health == "SERVING" })
}

// judgeCold looks whether endpoints that came back cold were pushed over by relays that had seen them fail.
func (c *checker) judgeCold() {
	f := c.facts
	at := map[string][]*call{}
	for _, k := range c.ordered {
		at[k.Host] = append(at[k.Host], k)
	}
	for host, outages := range c.outages {
		for _, o := range outages {
			if o.back == forever || !(o.rate > 0) {
				continue
			}
			saw := map[int]bool{}
			for _, k := range at[host] {
				if k.Time >= o.from && k.Time < o.back && !slices.Contains([]string{"200"}, status(k)) && k.end < forever {
					saw[of(&k.Event)] = true
				}
				if k.Time < o.from && k.end >= o.from && k.end < o.back && k.told == 0 {
					saw[of(&k.Event)] = true // it was out when the outage began, and broke
				}
			}
			var window []*call
			for _, k := range at[host] {
				if k.Time < o.back || k.Time > min(o.back+f.RampTime, o.fell) {
					continue
				}
				window = append(window, k)
				for window[0].Time < k.Time-f.OverloadFor {
					window = window[1:]
				}
				warmth := math.Min(1, f.ColdShare+(1-f.ColdShare)*float64(k.Time-o.back)/float64(f.RampTime))
				budget := f.OverloadFactor * o.rate * warmth * f.OverloadFor.Duration().Seconds()
				if float64(len(window)) <= budget+coldSlack*math.Sqrt(budget) {
					continue
				}
				knew, lines := 0, []int{}
				for _, w := range window {
					lines = append(lines, w.lines[0])
					if saw[of(&w.Event)] {
						knew++
					}
				}
				if float64(knew) >= knowing*float64(len(window)) {
					c.broken(PushedOver, of(&k.Event), "", fmt.Sprintf("%s got %d calls within %s, %.0f at most, %s after its return; %d came from relays that had seen it fail",
						host, len(window), ms(f.OverloadFor), budget, ms(k.Time-o.back), knew), lines...)
					break
				}
			}
		}
	}
}

// status is the answer to a call, where there was one.
func status(k *call) string {
	for _, s := range k.states {
		if s == "delivered" {
			return "200"
		}
		return s
	}
	return ""
}

// judgePeers looks whether malformed peers got an error or a close in time.
func (c *checker) judgePeers() {
	came := map[int]history.Event{}
	for _, e := range c.events {
		if e.Kind != history.Peer {
			continue
		}
		if e.Detail == "came" {
			came[e.Peer] = e
			continue
		}
		begun, ok := came[e.Peer]
		if !ok {
			continue
		}
		delete(came, e.Peer)
		took := e.Time - begun.Time
		code, _ := strconv.Atoi(e.Detail)
		excused := slices.ContainsFunc(append(slices.Clone(c.lives[of(&e)].dark), c.lives[of(&e)].stopped...), func(w window) bool {
			return begun.Time <= w.to && e.Time >= w.from
		})
		switch {
		case excused:
		case code >= 200 && code < 300:
			c.broken(PeerLeft, of(&e), "", "a malformed peer was answered "+e.Detail, begun.Line, e.Line)
		case e.Detail == "left waiting" || took > history.ToMicros(peerWithin+slack):
			c.broken(PeerLeft, of(&e), "", "a malformed peer had neither an error nor a close after "+ms(took), begun.Line, e.Line)
		}
	}
}

// ms writes a time.
func ms(t us) string { return t.Duration().Round(time.Millisecond).String() }
